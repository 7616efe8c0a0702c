// Package steer runs the planner on one front at a time. Candidates compete
// for a key under a lease; the key's revision is the epoch, and every write of
// a term is under the condition that the key is unchanged.
package steer

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/io/front"
	"gypsumcrank/io/link"
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/store"
)

// Times of the election.
const (
	// leaseTime bounds how long the system is without a planner after one
	// dies; a takeover has to be done within 2 s of the loss.
	leaseTime = 1500 * clock.Millisecond
	// renewsPerLease leaves room for three lost renewals.
	renewsPerLease = 4
	// renewTimeout is how long one renewal may take; a slow store answers in 200 ms.
	renewTimeout = 600 * clock.Millisecond
	// lookEvery is how often a candidate looks whether the key is free.
	lookEvery = 50 * time.Millisecond
	// campaignTime bounds one attempt to become the planner.
	campaignTime = 1500 * clock.Millisecond
	// tickEvery is how often time passes for the planner.
	tickEvery = 100 * time.Millisecond
	// helloWait is how long a new connection may take to say who it is.
	helloWait = 2 * clock.Second
	// sideSilence is how long a side may be silent; it reports at least each second.
	sideSilence = 4 * clock.Second
)

// planner is the value of the planner key.
type planner struct {
	Node  string `json:"node"`
	Addr  string `json:"addr"`
	Nonce uint64 `json:"nonce"`
}

// Steer is the service. Set the exported fields before Start.
type Steer struct {
	Node string
	Addr string // where it listens for other processes
	// Announce is where other processes connect.
	Announce string
	Store    store.Keeper
	Mirror   *mirror.Mirror // of store.Root
	Index    *front.Index
	Config   *route.Current
	Plan     plan.Settings
	// LeaseMin is the shortest lease that the store gives.
	LeaseMin clock.Millis
	Clock    clock.Clock
	Log      *slog.Logger
	// Relay serves a connection of another front.
	Relay func(c *link.Conn, first link.Frame)
	// Ended passes on that the end of a job was stored at a revision.
	Ended func(rev int64)

	mu       sync.Mutex
	term     *term
	listener net.Listener
	cancel   context.CancelFunc
	ended    sync.WaitGroup
}

// Start opens the port and begins to compete.
func (s *Steer) Start(context.Context, *kern.Kernel) error {
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "listen for sides on %q: %v", s.Addr, err)
	}
	s.listener = ln
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.ended.Add(2)
	go s.run(ctx)
	go s.runAccept()
	return nil
}

// Stop gives up the lease, so that another front takes over at once.
func (s *Steer) Stop(context.Context) error {
	s.cancel()
	_ = s.listener.Close()
	s.ended.Wait()
	return nil
}

// Reconfigure tells the current term about a newer configuration.
func (s *Steer) Reconfigure(c *route.Config) {
	if t := s.current(); t != nil {
		t.loop.Send(plan.ConfigMsg{Config: c})
	}
}

// Reset changes the limits from the next term on.
func (s *Steer) Reset(limits plan.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Plan = limits
}

func (s *Steer) limits() plan.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Plan
}

func (s *Steer) current() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Steer) set(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

func (s *Steer) run(ctx context.Context) {
	defer s.ended.Done()
	for ctx.Err() == nil {
		if _, taken := s.Mirror.Get(store.PlannerKey); s.Mirror.Rev() > 0 && !taken {
			s.compete(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
}

// compete tries to become the planner, and serves the term if it does.
func (s *Steer) compete(ctx context.Context) {
	try, cancel := context.WithTimeout(ctx, campaignTime.Duration())
	defer cancel()
	sent := s.Clock.Monotonic()
	length := max(leaseTime, s.LeaseMin)
	lease, err := s.Store.Grant(try, length)
	if err != nil {
		s.Log.Debug("election_no_lease", "error", err)
		return
	}
	value, err := json.Marshal(planner{Node: s.Node, Addr: s.Announce, Nonce: rand.Uint64()})
	if err != nil {
		s.Log.Error("election_value", "error", err)
		return
	}
	res, err := store.Resolve(try, s.Store, store.Txn{
		If:  []store.Condition{{Key: store.PlannerKey}},
		Put: []store.Item{{Key: store.PlannerKey, Value: value, Lease: lease}},
	}, 1)
	if err != nil || !res.Held {
		s.Log.Info("election_lost", "error", err)
		s.endLease(lease)
		return
	}
	if err := s.Mirror.Wait(try, res.Rev); err != nil {
		s.Log.Warn("election_mirror_behind", "epoch", res.Rev, "revision", s.Mirror.Rev(), "error", err)
		s.endLease(lease)
		return
	}
	t := &term{steer: s, epoch: res.Rev, lease: lease, length: length, valid: sent + length}
	s.Log.Info("planner_elected", "epoch", t.epoch)
	t.serve(ctx)
	s.endLease(lease)
}

func (s *Steer) endLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout.Duration())
	defer cancel()
	if err := s.Store.Revoke(ctx, lease); err != nil {
		s.Log.Info("lease_not_ended", "error", err)
	}
}

func (s *Steer) runAccept() {
	defer s.ended.Done()
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(link.New(raw))
	}
}

// runConn serves one connection of a side.
func (s *Steer) runConn(c *link.Conn) {
	defer c.Close()
	f, err := c.Receive(helloWait)
	if err == nil && f.Hello == nil && s.Relay != nil {
		s.Relay(c, f)
		return
	}
	if err != nil || f.Hello == nil {
		return
	}
	t := s.current()
	c.Send(link.Frame{Welcome: s.welcome(t)})
	if t == nil || f.Hello.Ask {
		// The asking side closes the connection once it has read the answer.
		_, _ = c.Receive(helloWait)
		return
	}
	node := f.Hello.Node
	if !t.loop.Send(connMsg{node, c}) {
		return
	}
	defer t.loop.Send(connLostMsg{node, c})
	for {
		f, err := c.Receive(sideSilence)
		if err != nil {
			return
		}
		alive := true
		switch {
		case f.Report != nil:
			alive = t.loop.Send(*f.Report)
		case f.Result != nil:
			alive = t.loop.Send(*f.Result)
		case f.Hello != nil:
			c.Send(link.Frame{Welcome: &link.Welcome{Planner: s.current() == t, Epoch: t.epoch}})
		}
		if !alive {
			return
		}
	}
}

func (s *Steer) welcome(t *term) *link.Welcome {
	w := &link.Welcome{Fronts: s.Index.Fronts()}
	if t != nil {
		w.Planner, w.Epoch, w.Addr = true, t.epoch, s.Announce
		return w
	}
	w.Addr, w.Epoch = s.Planner()
	return w
}

// Planner is where the planner is and its epoch, as far as the store's copy
// here tells; empty if there is none.
func (s *Steer) Planner() (addr string, epoch int64) {
	kv, ok := s.Mirror.Get(store.PlannerKey)
	if !ok {
		return "", 0
	}
	var p planner
	if err := json.Unmarshal(kv.Value, &p); err != nil {
		s.Log.Error("planner_key_unreadable", "revision", kv.Rev, "error", err)
		return "", 0
	}
	return p.Addr, kv.Rev
}
