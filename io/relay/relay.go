// Package relay reaches the store through another process while the store
// turns this host away but serves others.
//
// A Relay is a store.Keeper over a direct one. After a failed direct call it
// sends calls through a peer, until a probe finds that the direct way works.
package relay

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Times of the relay.
const (
	// probeEvery is how often the direct way is tried while peers are used.
	probeEvery = 400 * time.Millisecond
	// probeTimeout bounds one such try.
	probeTimeout = 300 * time.Millisecond
	// dialTimeout is for a connection to a peer; hosts are milliseconds apart.
	dialTimeout = 300 * clock.Millisecond
	// callTimeout is for a call through a peer, beyond its wait; it leaves the
	// peer's own call its 700 ms.
	callTimeout = 800 * clock.Millisecond
	// idleTime is how long a connection between peers may be quiet.
	idleTime = 20 * clock.Second
	// mostPeers is how many peers one call tries.
	mostPeers = 2
)

// Relay is a store with a way around. Set the exported fields before Start.
type Relay struct {
	Direct store.Keeper
	// Peers lists the addresses of processes that may serve a call.
	Peers func() []string
	Log   *slog.Logger

	mu      sync.Mutex
	around  bool
	way     context.Context // ends when the direct way is avoided
	block   context.CancelFunc
	worked  clock.Millis            // when a call was last answered, on the steady clock
	failed  clock.Millis            // when one last was not
	last    string                  // the peer that served last
	failing map[string]clock.Millis // when a peer last did not answer
	conns   map[string]*peer
	cancel  context.CancelFunc
	ended   chan struct{}
}

// Start begins to watch over the direct way.
func (r *Relay) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.ended = cancel, make(chan struct{})
	r.way, r.block = context.WithCancel(ctx)
	go r.run(ctx)
	return nil
}

// Stop closes the connections to peers.
func (r *Relay) Stop(context.Context) error {
	r.cancel()
	<-r.ended
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.conn.Close()
	}
	return nil
}

// run probes the direct way while it is avoided.
func (r *Relay) run(ctx context.Context) {
	defer close(r.ended)
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.avoiding() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _, err := r.Direct.Get(call, store.PlannerKey)
		cancel()
		if err == nil {
			r.mark(nil)
			r.avoid(false, nil)
		}
	}
}

// outAfter is how long no call may have worked for the store to count as out.
const outAfter = clock.Second

// Out tells whether the store is known to be out of reach on all ways, so that
// a call would only wait.
func (r *Relay) Out() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed > r.worked && clock.System().Monotonic()-r.worked > outAfter
}

// mark remembers how a call went.
func (r *Relay) mark(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || !fault.Is(err, fault.StoreUnavailable) {
		r.worked = clock.System().Monotonic()
	} else {
		r.failed = clock.System().Monotonic()
	}
}

func (r *Relay) avoiding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.around
}

func (r *Relay) avoid(on bool, why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.around != on {
		r.around = on
		r.block()
		r.way, r.block = context.WithCancel(context.Background())
		r.Log.Info("store_relay", "on", on, "error", why)
	}
}

// do makes a call the best way. A write whose direct outcome is not known is
// not repeated here; its conditions let the caller repeat it.
func (r *Relay) do(ctx context.Context, c link.Call, direct func() (link.Reply, error)) (link.Reply, error) {
	if !r.avoiding() {
		reply, err := direct()
		if err == nil || !fault.Is(err, fault.StoreUnavailable) || ctx.Err() != nil {
			return reply, err
		}
		r.avoid(true, err)
		if c.Op == link.OpCommit && fault.Of(err).Outcome != fault.NotRun {
			return reply, err
		}
	}
	reply, err := r.through(ctx, c)
	if err != nil && fault.Of(err).Outcome == fault.NotRun && ctx.Err() == nil {
		return direct()
	}
	return reply, err
}

// through has a peer make the call.
func (r *Relay) through(ctx context.Context, c link.Call) (link.Reply, error) {
	err := error(unreached("no peer is known"))
	for i, addr := range r.order() {
		if i == mostPeers {
			break
		}
		var p *peer
		if p, err = r.peer(addr); err != nil {
			err = unreached("peer %s: %v", addr, err)
			r.fail(addr)
			continue
		}
		var reply link.Reply
		reply, err = p.call(ctx, c)
		if err == nil && reply.Err == nil {
			r.mu.Lock()
			r.last = addr
			r.mu.Unlock()
			return reply, nil
		}
		if err == nil {
			err = reply.Err
		} else {
			r.fail(addr)
			r.drop(addr, p)
		}
		if c.Op == link.OpCommit && fault.Of(err).Outcome != fault.NotRun || !fault.Is(err, fault.StoreUnavailable) {
			return reply, err
		}
	}
	return link.Reply{}, err
}

func unreached(format string, args ...any) *fault.Error {
	return fault.New(fault.StoreUnavailable, "wait until the store serves this host or a peer is up", format, args...).WithOutcome(fault.NotRun)
}

// order lists the peers: the one that served last first, those that failed
// last at the end.
func (r *Relay) order() []string {
	out := slices.Clone(r.Peers())
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := func(a string) clock.Millis {
		if a == r.last {
			return -1
		}
		return r.failing[a]
	}
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}

// tellPause is how long a peer that could not be reached is told no news.
const tellPause = clock.Second

// Tell sends a peer the news that the store is at a revision, without waiting.
// News may be lost; the peer's own watch brings the same.
func (r *Relay) Tell(addr string, rev int64) {
	r.mu.Lock()
	p, failed := r.conns[addr], r.failing[addr]
	r.mu.Unlock()
	switch {
	case p != nil:
		p.conn.Send(link.Frame{News: rev})
	case failed == 0 || clock.System().Monotonic()-failed > tellPause:
		go r.runTell(addr, rev)
	}
}

// runTell connects to a peer before it tells it news.
func (r *Relay) runTell(addr string, rev int64) {
	p, err := r.peer(addr)
	if err != nil {
		r.fail(addr)
		r.Log.Debug("news_not_sent", "to", addr, "revision", rev, "error", err)
		return
	}
	p.conn.Send(link.Frame{News: rev})
}

func (r *Relay) peer(addr string) (*peer, error) {
	r.mu.Lock()
	p := r.conns[addr]
	r.mu.Unlock()
	if p != nil {
		return p, nil
	}
	c, err := link.Dial(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	p = &peer{conn: c, waiting: make(map[uint64]chan link.Reply)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other := r.conns[addr]; other != nil {
		c.Close()
		return other, nil
	}
	if r.conns == nil {
		r.conns = make(map[string]*peer)
	}
	r.conns[addr] = p
	go r.runPeer(addr, p)
	return p, nil
}

func (r *Relay) runPeer(addr string, p *peer) {
	p.loop()
	r.drop(addr, p)
}

// fail remembers that a peer did not answer.
func (r *Relay) fail(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing == nil {
		r.failing = make(map[string]clock.Millis)
	}
	r.failing[addr] = clock.System().Monotonic()
}

func (r *Relay) drop(addr string, p *peer) {
	p.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[addr] == p {
		delete(r.conns, addr)
	}
	if r.last == addr {
		r.last = ""
	}
}
