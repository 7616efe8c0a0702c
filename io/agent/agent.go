// Package agent is the one small process beside an endpoint. It admits work
// for its worker, carries requests and answers, starts and stops tasks, and
// reports to its home entry.
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
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/wire"
)

// Agent is the daemon. Set the exported fields before Run.
type Agent struct {
	// Name is the agent's own, unique in the fleet.
	Name string
	// PeerListen is where entries reach the agent; Advertise is the address
	// they are told, if another.
	PeerListen, Advertise string
	// HTTPListen is where the endpoint announces itself.
	HTTPListen string
	// Entries are the peer addresses of some entries.
	Entries []string
	// TLS loads the agent's keys.
	TLS func() (certs.Bundle, error)
	// Grace bounds a planned stop.
	Grace clock.Millis
	Clock clock.Clock
	Log   *slog.Logger

	line   *event.Recorder
	ledger *ledg.Ledger
	loop   *kern.Loop
	node   *wire.Node
	client *endpt.Client
	http   *httpd.Server
	home   *home
	ctl    *control
}

// newIncarnation names a life of an agent; a later life sorts behind.
func newIncarnation(now clock.Millis) string {
	var salt [3]byte
	_, _ = rand.Read(salt[:])
	return fmt.Sprintf("%011x-%s", int64(now), hex.EncodeToString(salt[:]))
}

// Run serves until ctx ends, then stops in good order.
func (a *Agent) Run(ctx context.Context) error {
	a.line = &event.Recorder{Process: a.Name, Clock: a.Clock, Log: a.Log}
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
	a.http = &httpd.Server{Addr: a.HTTPListen, Log: a.Log}
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

// ask reads or changes the ledger in the control goroutine.
func (a *Agent) ask(f func(l *ledg.Ledger, now clock.Millis)) bool {
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

// drainService is stopped first: it turns new work away and waits for the
// requests in flight.
type drainService struct{ agent *Agent }

// Start does nothing.
func (s *drainService) Start(context.Context, *kern.Kernel) error { return nil }

const drainPoll = 20 * time.Millisecond

// Stop drains the agent.
func (s *drainService) Stop(ctx context.Context) error {
	a := s.agent
	a.line.Add(event.Event{Kind: "agent_leaving"})
	a.ask(func(l *ledg.Ledger, _ clock.Millis) { l.Leave() })
	a.home.nudge()
	idle := false
	for !idle || !a.home.told() {
		a.ask(func(l *ledg.Ledger, _ clock.Millis) { idle = l.Idle() })
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "requests were still in flight")
		case <-time.After(drainPoll):
		}
	}
	return nil
}
