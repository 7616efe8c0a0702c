// Package entry implements the daemon of an entry host. It accepts requests and
// jobs from callers over HTTP, sends them to agents, and runs the planner while
// it holds the leader lease.
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
	"gypsumcrank/io/guard"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/store"
	"gypsumcrank/io/wire"
)

var storeCalls = expvar.NewMap("store_calls")

// Entry is the daemon. Set the exported fields before Run.
type Entry struct {
	// Name identifies the entry and is unique in the region.
	Name string
	// Region names the part of the platform's key space that this system uses.
	Region string
	// HTTPListen is the listen address for callers and operators.
	HTTPListen string
	// PeerListen is the listen address for agents and other entries;
	// Advertise is the address announced to them, if it differs.
	PeerListen, Advertise string
	// Peers are the peer addresses of other entries, for a start without
	// the store.
	Peers []string
	// Store is the platform's key-value store.
	Store store.Store
	// OperatorHash is the hash of the operators' bearer token.
	OperatorHash string
	// TLS loads the entry's certificate and key.
	TLS func() (certs.Bundle, error)
	// Grace limits the duration of a graceful shutdown.
	Grace clock.Millis
	// LeaveWait is how long a stopping entry still accepts callers after it
	// reports unready, so that the load balancer notices.
	LeaveWait clock.Millis
	// ClaimsPerSecond limits the rate of run-once requests that this entry
	// accepts.
	ClaimsPerSecond int
	Clock           clock.Clock
	Log             *slog.Logger

	events  *event.Recorder
	ctl     *control
	loop    *kern.Loop
	node    *wire.Node
	http    *httpd.Server
	peers   *peers
	mirror  *mirror
	planner *planner
	leaving atomic.Bool
}

// NewStore returns a client of the platform's store that counts its calls in the
// process metrics.
func NewStore(url string) store.Store {
	return store.NewHTTP(url, func(kind string) { storeCalls.Add(kind, 1) })
}

// HTTPAddr returns the address that callers use. It is valid while the entry
// runs.
func (e *Entry) HTTPAddr() string { return e.http.LocalAddr() }

// nonce returns a random identifier, unique for all practical purposes.
func nonce() string {
	var raw [9]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Run serves until ctx ends, then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	conf, err := certs.TLS(e.TLS)
	if err != nil {
		return err
	}
	e.events = &event.Recorder{Process: e.Name, Clock: e.Clock, Log: e.Log}
	e.ctl = newControl(e)
	e.loop = &kern.Loop{Model: e.ctl}
	e.node = &wire.Node{Addr: e.PeerListen, TLS: conf, Mux: e.mux()}
	e.http = &httpd.Server{Listener: guard.Listener{Name: "http", Addr: e.HTTPListen}, Log: e.Log}
	e.peers = &peers{entry: e}
	e.mirror = &mirror{entry: e}
	e.planner = newPlanner(e)
	e.routes()
	k := &kern.Kernel{Log: e.Log, StopContext: e.grace}
	k.Add("control", &controlService{e})
	k.Add("wire", &wireService{e})
	k.Add("live", e.mirror)
	k.Add("peers", e.peers)
	k.Add("planner", e.planner)
	k.Add("http", e.http)
	k.Add("drain", &drainService{e})
	return k.Run(ctx)
}

func (e *Entry) grace() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), e.Grace.Duration())
}

// withControl runs f in the control goroutine, the only one that may access
// control state, and waits for it. It reports false if the control goroutine
// has ended.
func (e *Entry) withControl(f func(c *control, now clock.Millis)) bool {
	return e.loop.Do(func() { f(e.ctl, e.Clock.Now()) })
}

type controlService struct{ entry *Entry }

// Start starts the control goroutine.
func (s *controlService) Start(context.Context, *kern.Kernel) error {
	s.entry.loop.Start()
	return nil
}

// Stop stops the control goroutine.
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

// Stop drains and closes the peer port.
func (s *wireService) Stop(ctx context.Context) error {
	err := s.entry.node.Drain(ctx)
	_ = s.entry.node.Close()
	return err
}

// drainService is added last and so stopped first: the entry reports unready,
// so that the load balancer sends no more callers, and keeps serving until the
// work in flight is done.
type drainService struct{ entry *Entry }

// Start does nothing.
func (s *drainService) Start(context.Context, *kern.Kernel) error { return nil }

// Stop makes the entry report unready and gives the load balancer time to
// notice.
func (s *drainService) Stop(ctx context.Context) error {
	s.entry.leaving.Store(true)
	s.entry.events.Add(event.Event{Kind: "entry_leaving"})
	sleep(ctx, s.entry.LeaveWait.Duration())
	return nil
}

func (e *Entry) onReady(_ context.Context, r *httpd.Request) {
	ready, why := false, "the entry has stopped"
	e.withControl(func(c *control, now clock.Millis) { ready, why = c.ready(now) })
	if e.leaving.Load() {
		ready, why = false, "the entry is leaving"
	}
	if !ready {
		r.Text(http.StatusServiceUnavailable, why)
		return
	}
	r.Text(http.StatusOK, "ready")
}

// agentHeartbeatInterval returns the time until an agent's next heartbeat.
func (c *control) agentHeartbeatInterval() clock.Millis {
	return fleet.HeartbeatInterval(c.fleet.HomeCount())
}
