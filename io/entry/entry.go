// Package entry is the daemon on an entry host: it takes callers' requests and
// jobs over HTTP, sends them to agents, and takes its turn as the planner.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"log/slog"
	"net/http"
	"sync/atomic"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/store"
	"gypsumcrank/io/wire"
)

var storeCalls = expvar.NewMap("store_calls")

// Entry is the daemon. Set the exported fields before Run.
type Entry struct {
	// Name is the entry's own, unique in the region.
	Name string
	// Region names the part of the platform's key space that this system uses.
	Region string
	// HTTPListen is where callers and operators come in.
	HTTPListen string
	// PeerListen is where agents and entries come in; Advertise is the address
	// they are told, if another.
	PeerListen, Advertise string
	// Peers are the peer addresses of other entries, for a start without store.
	Peers []string
	// Store is the platform's key-value service.
	Store store.Store
	// OperatorHash is the hash of the operators' bearer token.
	OperatorHash string
	// TLS loads the entry's keys.
	TLS func() (certs.Bundle, error)
	// Grace bounds a planned stop.
	Grace clock.Millis
	// LeaveWait is how long a stopping entry goes on taking callers after it
	// has turned unready, for the balancer to notice.
	LeaveWait clock.Millis
	// ClaimsPerSecond bounds the run-once requests that this entry takes.
	ClaimsPerSecond int
	Clock           clock.Clock
	Log             *slog.Logger

	line    *event.Recorder
	ctl     *control
	loop    *kern.Loop
	node    *wire.Node
	http    *httpd.Server
	peers   *peers
	live    *live
	planner *planner
	leaving atomic.Bool
}

// NewStore returns the client of the platform's store, with its calls counted
// in the process's metrics.
func NewStore(url string) store.Store {
	return store.NewHTTP(url, func(kind string) { storeCalls.Add(kind, 1) })
}

// HTTPAddr is the address that callers use, once the entry runs.
func (e *Entry) HTTPAddr() string { return e.http.LocalAddr() }

// nonce makes a name that nobody else makes.
func nonce() string {
	var raw [9]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Run serves until ctx ends, then stops in good order.
func (e *Entry) Run(ctx context.Context) error {
	conf, err := certs.TLS(e.TLS)
	if err != nil {
		return err
	}
	e.line = &event.Recorder{Process: e.Name, Clock: e.Clock, Log: e.Log}
	e.ctl = newControl(e)
	e.loop = &kern.Loop{Model: e.ctl}
	e.node = &wire.Node{Addr: e.PeerListen, TLS: conf, Mux: e.mux()}
	e.http = &httpd.Server{Addr: e.HTTPListen, Log: e.Log}
	e.peers = &peers{entry: e}
	e.live = &live{entry: e}
	e.planner = newPlanner(e)
	e.routes()
	k := &kern.Kernel{Log: e.Log, StopContext: e.grace}
	k.Add("control", &controlService{e})
	k.Add("wire", &wireService{e})
	k.Add("live", e.live)
	k.Add("peers", e.peers)
	k.Add("planner", e.planner)
	k.Add("http", e.http)
	k.Add("drain", &drainService{e})
	return k.Run(ctx)
}

func (e *Entry) grace() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), e.Grace.Duration())
}

// ask reads or changes control state in the control goroutine.
func (e *Entry) ask(f func(c *control, now clock.Millis)) bool {
	return e.loop.Do(func() { f(e.ctl, e.Clock.Now()) })
}

type controlService struct{ entry *Entry }

// Start begins to apply messages.
func (s *controlService) Start(context.Context, *kern.Kernel) error {
	s.entry.loop.Start()
	return nil
}

// Stop ends control.
func (s *controlService) Stop(context.Context) error {
	s.entry.loop.Stop()
	return nil
}

type wireService struct{ entry *Entry }

// Start opens the peer port.
func (s *wireService) Start(context.Context, *kern.Kernel) error {
	if err := s.entry.node.Listen(); err != nil {
		return err
	}
	if s.entry.Advertise == "" {
		s.entry.Advertise = s.entry.node.LocalAddr()
	}
	return nil
}

// Stop closes it.
func (s *wireService) Stop(ctx context.Context) error {
	err := s.entry.node.Drain(ctx)
	_ = s.entry.node.Close()
	return err
}

// drainService is stopped first: the entry turns unready, so that the balancer
// sends no more, and goes on serving until what is in flight is done.
type drainService struct{ entry *Entry }

// Start does nothing.
func (s *drainService) Start(context.Context, *kern.Kernel) error { return nil }

// Stop turns the entry unready and gives the balancer time to notice.
func (s *drainService) Stop(ctx context.Context) error {
	s.entry.leaving.Store(true)
	s.entry.line.Add(event.Event{Kind: "entry_leaving"})
	pause(ctx, s.entry.LeaveWait.Duration())
	return nil
}

func (e *Entry) onReady(_ context.Context, r *httpd.Request) {
	ready, why := false, "the entry has stopped"
	e.ask(func(c *control, now clock.Millis) { ready, why = c.ready(now) })
	if e.leaving.Load() {
		ready, why = false, "the entry is leaving"
	}
	if !ready {
		r.Text(http.StatusServiceUnavailable, why)
		return
	}
	r.Text(http.StatusOK, "ready")
}

// beatFor tells an agent when to beat next.
func (c *control) beatFor() clock.Millis { return fleet.HeartbeatInterval(c.fleet.HomeCount()) }
