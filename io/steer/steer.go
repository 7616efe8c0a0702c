// Package steer elects one front at a time and runs the planner there.
// Candidates compete to create a key under a lease. The key's revision is the
// epoch, and every write of a term is conditional on the key being unchanged.
package steer

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/centre"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/io/front"
	"gypsumcrank/io/guard"
	"gypsumcrank/io/link"
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/store"
)

// Timing of the election and of the connections to sides.
const (
	// leaseTTL bounds how long the system has no planner after one dies; a
	// takeover must be done within 2 s of the loss.
	leaseTTL = 1500 * clock.Millisecond
	// renewsPerLease is how often a lease is renewed within its TTL, so that
	// three renewals may be lost.
	renewsPerLease = 4
	// renewTimeout bounds one renewal; a slow store responds in 200 ms.
	renewTimeout = 600 * clock.Millisecond
	// renewRetry is how long after a failed renewal the next one is tried.
	renewRetry = 100 * clock.Millisecond
	// campaignInterval is how often a candidate checks whether the planner key
	// is free.
	campaignInterval = 50 * time.Millisecond
	// rejectedRetry is how long a candidate waits after the store has rejected its lease.
	rejectedRetry = time.Second
	// campaignTimeout bounds one attempt to become the planner.
	campaignTimeout = 1500 * clock.Millisecond
	// tickInterval is how often the planner gets a TickMsg.
	tickInterval = 100 * time.Millisecond
	// helloTimeout is how long a new connection may take to send its first
	// frame.
	helloTimeout = 2 * clock.Second
	// sideTimeout is how long a side may send nothing before its connection is
	// closed; it reports at least every second.
	sideTimeout = 4 * clock.Second
)

// plannerValue is the value of the planner key.
type plannerValue struct {
	Node  string `json:"node"`
	Addr  string `json:"addr"`
	Nonce uint64 `json:"nonce"`
}

// Coordinator takes part in the election, and runs the planner while it is
// elected. Set the exported fields before Start.
type Coordinator struct {
	Node string
	// Announce is the address at which other processes connect.
	Announce string
	Store    store.TxnStore
	Mirror   *mirror.Mirror // of store.Root
	Index    *front.Index
	Config   *route.Current
	Closed   *centre.Current // the data centres that are closed for new work
	Plan     plan.Settings
	// LeaseMin is the shortest lease that the store grants.
	LeaseMin clock.Millis
	Clock    clock.Clock
	Log      *slog.Logger
	// ServePeer serves a connection of another front, beginning with its first
	// frame.
	ServePeer func(c *link.Conn, first link.Frame)
	// OnJobEnd is called with the revision at which the end of a job was stored.
	OnJobEnd func(rev int64)
	// OnForecast is called with the planner's forecast at intervals.
	OnForecast func(f *admit.Forecast)
	Listener   guard.Listener // for sides and other fronts

	mu     sync.Mutex
	term   *term
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start opens the listener and starts to campaign.
func (s *Coordinator) Start(context.Context, *kern.Kernel) error {
	if s.Listener.Guard == nil {
		s.Listener.Guard = &guard.Guard{Log: s.Log}
	}
	if err := s.Listener.Open(); err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "listen for sides on %q: %v", s.Listener.Addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(2)
	go s.run(ctx)
	go s.runAccept()
	return nil
}

// Stop ends the term and revokes its lease, so that another front takes over at
// once.
func (s *Coordinator) Stop(context.Context) error {
	s.cancel()
	_ = s.Listener.Close()
	s.wg.Wait()
	return nil
}

// SetPlanSettings sets the planner's settings from the next term on.
func (s *Coordinator) SetPlanSettings(settings plan.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Plan = settings
}

func (s *Coordinator) planSettings() plan.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Plan
}

func (s *Coordinator) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Coordinator) setTerm(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

func (s *Coordinator) run(ctx context.Context) {
	defer s.wg.Done()
	for ctx.Err() == nil {
		if _, taken := s.Mirror.Get(store.PlannerKey); s.Mirror.Rev() > 0 && !taken {
			s.campaign(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(campaignInterval):
		}
	}
}

// campaign tries to become the planner, and serves the term if it is elected.
func (s *Coordinator) campaign(ctx context.Context) {
	campaignCtx, cancel := context.WithTimeout(ctx, campaignTimeout.Duration())
	defer cancel()
	sent := s.Clock.Boottime()
	ttl := max(leaseTTL, s.LeaseMin)
	lease, err := s.Store.Grant(campaignCtx, ttl)
	if err != nil {
		s.logNoLease(ctx, err)
		return
	}
	value, err := json.Marshal(plannerValue{Node: s.Node, Addr: s.Announce, Nonce: rand.Uint64()})
	if err != nil {
		s.Log.Error("election_value", "error", err)
		return
	}
	res, err := store.CommitWithRetry(campaignCtx, s.Store, store.Txn{
		If:  []store.Condition{{Key: store.PlannerKey}},
		Put: []store.Item{{Key: store.PlannerKey, Value: value, Lease: lease}},
	}, 1)
	if err != nil || !res.Committed {
		s.Log.Info("election_lost", "error", err)
		s.revokeLease(lease)
		return
	}
	if err := s.Mirror.Wait(campaignCtx, res.Rev); err != nil {
		s.Log.Warn("election_mirror_behind", "epoch", res.Rev, "revision", s.Mirror.Rev(), "error", err)
		s.revokeLease(lease)
		return
	}
	t := &term{coord: s, epoch: res.Rev, lease: lease, leaseTTL: ttl, leaseValidUntil: sent + ttl}
	s.Log.Info("planner_elected", "epoch", t.epoch)
	t.serve(ctx)
	s.revokeLease(lease)
}

// logNoLease logs why a candidate got no lease. One that the store rejects is logged as a warning, and not tried
// again at once.
func (s *Coordinator) logNoLease(ctx context.Context, err error) {
	if !fault.Is(err, fault.Rejected) {
		s.Log.Debug("election_no_lease", "error", err)
		return
	}
	s.Log.Warn("election_no_lease", "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(rejectedRetry):
	}
}

func (s *Coordinator) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout.Duration())
	defer cancel()
	if err := s.Store.Revoke(ctx, lease); err != nil {
		s.Log.Info("lease_not_ended", "error", err)
	}
}

func (s *Coordinator) runAccept() {
	defer s.wg.Done()
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(link.New(raw))
	}
}

// runConn serves one connection, of a side or of another front.
func (s *Coordinator) runConn(c *link.Conn) {
	defer c.Close()
	f, err := c.Receive(helloTimeout)
	if err == nil && f.Hello == nil && s.ServePeer != nil {
		s.ServePeer(c, f)
		return
	}
	if err != nil || f.Hello == nil {
		return
	}
	t := s.currentTerm()
	c.Send(link.Frame{Welcome: s.welcome(t)})
	if t == nil || f.Hello.QueryOnly {
		// The asking side closes the connection once it has read the reply.
		_, _ = c.Receive(helloTimeout)
		return
	}
	node := f.Hello.Node
	if !t.loop.Send(connMsg{node, c}) {
		return
	}
	defer t.loop.Send(connLostMsg{node, c})
	for {
		f, err := c.Receive(sideTimeout)
		if err != nil {
			return
		}
		alive := true
		switch {
		case f.Report != nil:
			alive = t.loop.Send(*f.Report)
			if alive && c.Heavy() {
				alive = t.loop.Do(func() {}) // until the planner has done with it
			}
		case f.Result != nil:
			alive = t.loop.Send(*f.Result)
		case f.Hello != nil:
			c.Send(link.Frame{Welcome: &link.Welcome{Planner: s.currentTerm() == t, Epoch: t.epoch}})
		}
		if !alive {
			return
		}
	}
}

func (s *Coordinator) welcome(t *term) *link.Welcome {
	w := &link.Welcome{Fronts: s.Index.Fronts()}
	if t != nil {
		w.Planner, w.Epoch, w.Addr = true, t.epoch, s.Announce
		return w
	}
	w.Addr, w.Epoch = s.Planner()
	return w
}

// Planner returns the planner's address and epoch according to the mirror; they
// are zero if there is no planner.
func (s *Coordinator) Planner() (addr string, epoch int64) {
	kv, ok := s.Mirror.Get(store.PlannerKey)
	if !ok {
		return "", 0
	}
	var p plannerValue
	if err := json.Unmarshal(kv.Value, &p); err != nil {
		s.Log.Error("planner_key_unreadable", "revision", kv.Rev, "error", err)
		return "", 0
	}
	return p.Addr, kv.Rev
}
