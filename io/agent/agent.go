// Package agent implements the daemon that runs beside an endpoint, one per
// endpoint. It admits work for its worker, forwards requests and responses,
// starts and stops tasks, and reports to its home entry.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/ledg"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/endpt"
	"gypsumcrank/io/guard"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/wire"
)

// Agent is the daemon. Set the exported fields before Run.
type Agent struct {
	// Name identifies the agent and is unique in the fleet.
	Name string
	// PeerListen is the listen address for entries; Advertise is the
	// address announced to them, if it differs.
	PeerListen, Advertise string
	// HTTPListen is the listen address on which the endpoint announces
	// itself.
	HTTPListen string
	// Entries are the peer addresses of the entries known at the start.
	Entries []string
	// TLS loads the agent's certificate and key.
	TLS func() (certs.Bundle, error)
	// Grace limits the duration of a graceful shutdown.
	Grace clock.Millis
	Clock clock.Clock
	Log   *slog.Logger

	events *event.Recorder
	ledger *ledg.Ledger
	loop   *kern.Loop
	node   *wire.Node
	client *endpt.Client
	http   *httpd.Server
	home   *home
	ctl    *control
}

// newIncarnation returns the ID of a new incarnation of an agent. The IDs of
// later incarnations sort after those of earlier ones.
func newIncarnation(now clock.Millis) string {
	var salt [3]byte
	_, _ = rand.Read(salt[:])
	return fmt.Sprintf("%011x-%s", int64(now), hex.EncodeToString(salt[:]))
}

// Run serves until ctx ends, then shuts down gracefully.
func (a *Agent) Run(ctx context.Context) error {
	a.events = &event.Recorder{Process: a.Name, Clock: a.Clock, Log: a.Log}
	a.ledger = ledg.New(a.Name, newIncarnation(a.Clock.Now()))
	a.client = endpt.New()
	a.ctl = &control{agent: a}
	a.loop = &kern.Loop{Model: a.ctl}
	a.home = &home{agent: a}
	conf, err := certs.TLS(a.TLS)
	if err != nil {
		return err
	}
	a.node = &wire.Node{Addr: a.PeerListen, TLS: conf, Mux: a.mux()}
	a.http = &httpd.Server{Listener: guard.Listener{Name: "http", Addr: a.HTTPListen}, Log: a.Log}
	a.routes()
	k := &kern.Kernel{Log: a.Log, StopContext: a.grace}
	k.Add("control", &controlService{agent: a})
	k.Add("wire", &wireService{agent: a})
	k.Add("http", a.http)
	k.Add("home", a.home)
	k.Add("worker", &workerService{agent: a})
	k.Add("drain", &drainService{agent: a})
	return k.Run(ctx)
}

func (a *Agent) grace() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), a.Grace.Duration())
}

// withLedger runs f in the control goroutine, the only one that may access the
// ledger, and waits for it. It reports false if the control goroutine has
// ended.
func (a *Agent) withLedger(f func(l *ledg.Ledger, now clock.Millis)) bool {
	return a.loop.Do(func() { f(a.ledger, a.Clock.Now()) })
}

type controlService struct{ agent *Agent }

func (s *controlService) Start(context.Context, *kern.Kernel) error {
	s.agent.loop.Start()
	return nil
}

func (s *controlService) Stop(context.Context) error {
	s.agent.loop.Stop()
	return nil
}

type wireService struct{ agent *Agent }

func (s *wireService) Start(context.Context, *kern.Kernel) error {
	if err := s.agent.node.Listen(); err != nil {
		return err
	}
	if s.agent.Advertise == "" {
		s.agent.Advertise = s.agent.node.LocalAddr()
	}
	return nil
}

func (s *wireService) Stop(ctx context.Context) error {
	err := s.agent.node.Drain(ctx)
	_ = s.agent.node.Close()
	return err
}

// drainService is added last and so stopped first: it refuses new work and
// waits for the requests in flight.
type drainService struct{ agent *Agent }

// Start does nothing.
func (s *drainService) Start(context.Context, *kern.Kernel) error { return nil }

const drainPollInterval = 20 * time.Millisecond

// Stop drains the agent, and waits until its home entry knows that it is
// leaving.
func (s *drainService) Stop(ctx context.Context) error {
	a := s.agent
	a.events.Add(event.Event{Kind: "agent_leaving"})
	a.withLedger(func(l *ledg.Ledger, _ clock.Millis) { l.Leave() })
	a.home.triggerReport()
	idle := false
	for !idle || !a.home.leaveSettled() {
		a.withLedger(func(l *ledg.Ledger, _ clock.Millis) { idle = l.Idle() })
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "requests were still in flight")
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
