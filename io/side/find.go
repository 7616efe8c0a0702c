package side

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/plan"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// ErrStaleEpoch is returned when a worker refuses an epoch because it knows a
// newer one.
var ErrStaleEpoch = fault.New(fault.Fenced, "find the newer planner", "the worker knows a newer epoch")

// ErrNoProcess is returned when no process listens at a worker's address. A reset
// of an open connection is another matter: an unhealthy worker resets connections
// and runs on.
var ErrNoProcess = fault.New(fault.Unreachable, "check that the endpoint is running", "the worker's host refused the connection")

// Timing of the search for the planner and of the connection to it.
const (
	// dialTimeout limits opening a connection, and queryTimeout the wait for the
	// reply to the first frame.
	dialTimeout  = 400 * clock.Millisecond
	queryTimeout = 500 * clock.Millisecond
	// plannerTimeout is how long a planner may send nothing. It replies at once to
	// each report with lists, of which there is about one a second while the worker
	// answers (see holdWait), and to each keepalive.
	plannerTimeout = 1500 * clock.Millisecond
	// A side that has sent nothing for keepaliveIdle, or received nothing for
	// keepaliveUnanswered, sends a keepalive; it checks this every keepaliveInterval.
	keepaliveInterval   = 300 * time.Millisecond
	keepaliveIdle       = 600 * clock.Millisecond
	keepaliveUnanswered = 900 * clock.Millisecond
	// searchDelay is the wait before the next search after one that found no
	// planner, or a planner that could not be connected to.
	searchDelay = 150 * time.Millisecond
	// storeTimeout bounds reading the planner's address from the store.
	storeTimeout = 600 * clock.Millisecond
)

// runLink keeps a connection to the planner with the highest epoch.
func (s *Side) runLink(ctx context.Context) {
	defer s.wg.Done()
	for ctx.Err() == nil {
		addr, epoch := s.findPlanner(ctx)
		if addr == "" || !s.session(ctx, addr, epoch) {
			sleep(ctx, searchDelay)
		}
	}
}

// findPlanner returns the planner with the highest epoch that the fronts know, or
// else the one in the store. It returns "" if there is none, or if its epoch is
// below that of the planner last connected to.
func (s *Side) findPlanner(ctx context.Context) (addr string, epoch int64) {
	best := s.queryFronts(s.sampleFronts())
	if best.Addr == "" {
		best = s.queryStore(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if best.Epoch < s.epoch {
		return "", 0
	}
	return best.Addr, best.Epoch
}

// maxQueried bounds how many fronts one search queries, so that the load of all
// sides' searches does not grow with the number of fronts.
const maxQueried = 3

// sampleFronts returns up to maxQueried fronts in random order.
func (s *Side) sampleFronts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.Fronts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxQueried)]
}

// queryFronts queries several fronts at the same time and returns the reply with
// the highest epoch; among equal ones, the planner's own.
func (s *Side) queryFronts(addrs []string) link.Welcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best link.Welcome
	for _, a := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w, err := queryFront(a, s.Node)
			if err != nil {
				s.Log.Debug("front_unreached", "addr", a, "error", err)
				return
			}
			s.AddFronts(w.Fronts)
			mu.Lock()
			defer mu.Unlock()
			if w.Epoch > best.Epoch || w.Epoch == best.Epoch && w.Planner {
				best = w
			}
		}()
	}
	wg.Wait()
	return best
}

// queryFront asks one front who the planner is.
func queryFront(addr, node string) (link.Welcome, error) {
	c, err := link.Dial(addr, dialTimeout)
	if err != nil {
		return link.Welcome{}, err
	}
	defer c.Close()
	c.Send(link.Frame{Hello: &link.Hello{Node: node, QueryOnly: true}})
	f, err := c.Receive(queryTimeout)
	if err != nil {
		return link.Welcome{}, err
	}
	if f.Welcome == nil {
		return link.Welcome{}, errors.New("front replied without a welcome frame")
	}
	return *f.Welcome, nil
}

// queryStore reads the planner's address and those of all fronts from the store.
// A planner's epoch is the revision of its key.
func (s *Side) queryStore(ctx context.Context) link.Welcome {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	if kvs, _, err := s.Store.List(ctx, store.FrontRoot()); err == nil {
		for _, kv := range kvs {
			s.AddFronts([]string{string(kv.Value)})
		}
	}
	kv, ok, err := s.Store.Get(ctx, store.PlannerKey)
	if err != nil || !ok {
		s.Log.Debug("planner_not_in_store", "error", err)
		return link.Welcome{}
	}
	var p struct {
		Addr string `json:"addr"`
	}
	if err := json.Unmarshal(kv.Value, &p); err != nil {
		s.Log.Error("planner_key_unreadable", "revision", kv.Rev, "error", err)
		return link.Welcome{}
	}
	return link.Welcome{Epoch: kv.Rev, Addr: p.Addr}
}

// maxFronts bounds how many front addresses are kept; the oldest are dropped,
// configured ones too.
const maxFronts = 64

// AddFronts adds addresses of fronts that can be queried for the planner.
func (s *Side) AddFronts(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		if link.CheckAddr(a) != nil {
			continue
		}
		known := false
		for _, f := range s.Fronts {
			known = known || f == a
		}
		if !known {
			if len(s.Fronts) >= maxFronts {
				s.Fronts = s.Fronts[1:]
			}
			s.Fronts = append(s.Fronts, a)
		}
	}
}

// session connects to a planner and exchanges frames with it until the connection
// is lost or the planner no longer is one. It reports whether the planner
// accepted the connection.
func (s *Side) session(ctx context.Context, addr string, epoch int64) bool {
	c, err := link.Dial(addr, dialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.Send(link.Frame{Hello: &link.Hello{Node: s.Node}})
	f, err := c.Receive(queryTimeout)
	if err != nil || f.Welcome == nil || !f.Welcome.Planner || f.Welcome.Epoch < epoch {
		return false
	}
	s.AddFronts(f.Welcome.Fronts)
	s.attach(c, f.Welcome.Epoch)
	defer s.detach(c)
	s.Log.Info("planner_found", "epoch", f.Welcome.Epoch, "addr", addr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.runKeepalive(ctx, c)
	slots := make(chan struct{}, maxOrders)
	check := &plannerCheck{side: s, conn: c}
	defer check.end()
	for ctx.Err() == nil {
		f, err := c.Receive(plannerTimeout)
		if err != nil {
			s.Log.Info("planner_lost", "addr", addr, "error", err)
			return true
		}
		if f.Welcome != nil && !f.Welcome.Planner {
			return true
		}
		if f.LeaseInDoubt {
			check.begin(ctx)
		}
		if f.LeaseCertain {
			check.end()
		}
		if f.Grant != nil {
			s.applyGrant(*f.Grant)
		}
		if f.Order != nil {
			go s.runOrder(ctx, c, slots, *f.Order)
		}
	}
	return true
}

func (s *Side) attach(c *link.Conn, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.epoch, s.attachedAt = c, epoch, s.Clock.Monotonic()
	if s.departed != nil {
		c.Send(link.Frame{Report: s.departed})
	}
	if s.endpoint != nil {
		c.Send(link.Frame{Report: s.newReport(*s.endpoint)})
	}
	s.notifyChanged()
}

func (s *Side) detach(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.conn = nil
		s.notifyChanged()
	}
}

func (s *Side) applyGrant(g plan.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Epoch == s.epoch {
		s.grant = g
		if g.SpeedWeight > 0 && s.endpoint != nil && s.endpoint.Incarnation == g.Incarnation {
			s.speed = workerSpeed{s.endpoint.Kind, g.SpeedPermille, g.SpeedWeight}
		}
		s.notifyChanged()
	}
}

// runKeepalive sends a keepalive when the connection is idle or the planner has no reason to
// reply to what is sent, and closes the connection when ctx ends.
func (s *Side) runKeepalive(ctx context.Context, c *link.Conn) {
	tick := time.NewTicker(keepaliveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case <-c.Done():
			return
		case <-tick.C:
			if c.SinceSend() >= keepaliveIdle || c.SinceReceive() >= keepaliveUnanswered {
				c.Send(link.Frame{Hello: &link.Hello{Node: s.Node}})
			}
		}
	}
}

// plannerCheck looks for a newer planner while the lease of the one behind a connection is
// in doubt.
type plannerCheck struct {
	side   *Side
	conn   *link.Conn
	cancel context.CancelFunc // nil unless it looks
}

// begin starts to look, if it doesn't yet.
func (p *plannerCheck) begin(ctx context.Context) {
	if p.cancel == nil {
		ctx, p.cancel = context.WithCancel(ctx)
		go p.run(ctx)
	}
}

// end stops looking.
func (p *plannerCheck) end() {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// run queries fronts until ctx ends, and closes the connection if it finds a newer planner.
func (p *plannerCheck) run(ctx context.Context) {
	s := p.side
	for ctx.Err() == nil {
		if best := s.queryFronts(s.sampleFronts()); best.Planner && best.Epoch > s.currentEpoch() {
			s.Log.Info("planner_newer", "epoch", best.Epoch, "addr", best.Addr)
			p.conn.Close()
			return
		}
		sleep(ctx, 2*searchDelay)
	}
}

func (s *Side) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// fenceTimeout is how long a side waits for the planner's first grant, which may set a higher
// fence than the epoch, before it takes the planner for a stale one.
const fenceTimeout = 500 * clock.Millisecond

// closeIfStale closes the connection to a planner whose epoch the worker
// refuses.
func (s *Side) closeIfStale(p holdParams, err error) {
	if !errors.Is(err, ErrStaleEpoch) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.granted && s.Clock.Monotonic()-s.attachedAt < fenceTimeout {
		return
	}
	if s.epoch == p.hold.Epoch && s.conn != nil {
		s.conn.Close()
	}
}
