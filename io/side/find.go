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

// ErrStaleEpoch says that a worker refused an epoch because it knows a newer one.
var ErrStaleEpoch = fault.New(fault.Fenced, "find the newer planner", "the worker knows a newer epoch")

// Times of the search for the planner.
const (
	dialTimeout = 400 * clock.Millisecond
	askTimeout  = 500 * clock.Millisecond
	// silence is how long a planner may say nothing; it answers each report
	// at once, and there is one each second.
	silence = 1500 * clock.Millisecond
	// A side that has said nothing for aliveAfter speaks; it looks at that each
	// aliveEvery.
	aliveEvery = 300 * time.Millisecond
	aliveAfter = 600 * clock.Millisecond
	// searchPause is the wait between two searches.
	searchPause = 150 * time.Millisecond
	// storeTimeout bounds the look into the store for the planner's address.
	storeTimeout = 600 * clock.Millisecond
)

// runLink keeps a connection to the newest planner.
func (s *Side) runLink(ctx context.Context) {
	defer s.ended.Done()
	for ctx.Err() == nil {
		addr, epoch := s.search(ctx)
		if addr == "" || !s.session(ctx, addr, epoch) {
			sleep(ctx, searchPause)
		}
	}
}

// search asks everyone who might know for the planner of the highest epoch. It
// returns "" if none is known that is at least as new as the last one.
func (s *Side) search(ctx context.Context) (addr string, epoch int64) {
	best := s.askAll(s.known())
	if best.Addr == "" {
		best = s.askStore(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if best.Epoch < s.epoch {
		return "", 0
	}
	return best.Addr, best.Epoch
}

// askedAtOnce bounds how many fronts one search asks, so that the searches of
// all sides do not grow with the number of fronts.
const askedAtOnce = 3

// known draws some fronts to ask.
func (s *Side) known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.Fronts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), askedAtOnce)]
}

// askAll asks some fronts at once and returns the newest answer.
func (s *Side) askAll(addrs []string) link.Welcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best link.Welcome
	for _, a := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w, err := ask(a, s.Node)
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

// ask has one front say who the planner is.
func ask(addr, node string) (link.Welcome, error) {
	c, err := link.Dial(addr, dialTimeout)
	if err != nil {
		return link.Welcome{}, err
	}
	defer c.Close()
	c.Send(link.Frame{Hello: &link.Hello{Node: node, QueryOnly: true}})
	f, err := c.Receive(askTimeout)
	if err != nil {
		return link.Welcome{}, err
	}
	if f.Welcome == nil {
		return link.Welcome{}, errors.New("no welcome")
	}
	return *f.Welcome, nil
}

// askStore reads the planner's address and those of all fronts.
func (s *Side) askStore(ctx context.Context) link.Welcome {
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

// mostFronts bounds how many addresses are remembered.
const mostFronts = 64

// AddFronts adds addresses to ask for the planner.
func (s *Side) AddFronts(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		known := false
		for _, f := range s.Fronts {
			known = known || f == a
		}
		if !known {
			if len(s.Fronts) >= mostFronts {
				s.Fronts = s.Fronts[1:]
			}
			s.Fronts = append(s.Fronts, a)
		}
	}
}

// session follows one planner for as long as it answers. It returns whether
// the connection stood.
func (s *Side) session(ctx context.Context, addr string, epoch int64) bool {
	c, err := link.Dial(addr, dialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.Send(link.Frame{Hello: &link.Hello{Node: s.Node}})
	f, err := c.Receive(askTimeout)
	if err != nil || f.Welcome == nil || !f.Welcome.Planner || f.Welcome.Epoch < epoch {
		return false
	}
	s.AddFronts(f.Welcome.Fronts)
	s.follow(c, f.Welcome.Epoch)
	defer s.unfollow(c)
	s.Log.Info("planner_found", "epoch", f.Welcome.Epoch, "addr", addr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.runAlive(ctx, c)
	for ctx.Err() == nil {
		f, err := c.Receive(silence)
		if err != nil {
			s.Log.Info("planner_lost", "addr", addr, "error", err)
			return true
		}
		if f.Welcome != nil && !f.Welcome.Planner {
			return true
		}
		if f.LeaseUncertain {
			go s.runCheck(ctx, c)
		}
		if f.Grant != nil {
			s.granted(*f.Grant)
		}
		if f.Order != nil {
			go s.runOrder(ctx, c, *f.Order)
		}
	}
	return true
}

func (s *Side) follow(c *link.Conn, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.epoch = c, epoch
	if s.gone != nil {
		c.Send(link.Frame{Report: s.gone})
	}
	if s.endpoint != nil {
		c.Send(link.Frame{Report: s.about(*s.endpoint)})
	}
	s.wake()
}

func (s *Side) unfollow(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.conn = nil
		s.wake()
	}
}

func (s *Side) granted(g plan.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Epoch == s.epoch {
		s.grant = g
		s.wake()
	}
}

// runAlive speaks now and then, and ends the connection with ctx.
func (s *Side) runAlive(ctx context.Context, c *link.Conn) {
	tick := time.NewTicker(aliveEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case <-c.Done():
			return
		case <-tick.C:
			if c.SinceSend() >= aliveAfter {
				c.Send(link.Frame{Hello: &link.Hello{Node: s.Node}})
			}
		}
	}
}

// runCheck looks for a newer planner while the current one is unsure of itself.
func (s *Side) runCheck(ctx context.Context, c *link.Conn) {
	for ctx.Err() == nil {
		if best := s.askAll(s.known()); best.Planner && best.Epoch > s.current() {
			s.Log.Info("planner_newer", "epoch", best.Epoch, "addr", best.Addr)
			c.Close()
			return
		}
		sleep(ctx, 2*searchPause)
	}
}

func (s *Side) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// deposed drops a planner whose epoch the worker refuses.
func (s *Side) deposed(l look, err error) {
	if !errors.Is(err, ErrStaleEpoch) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == l.hold.Epoch && s.conn != nil {
		s.conn.Close()
	}
}
