// Package relay reaches the store through another process while the store
// refuses this host but serves others.
//
// A Relay is a store.TxnStore over a direct one. After a failed direct call it
// sends calls through a peer, until a probe finds that the direct route works.
// Reads don't depend on one peer: they are sent through the next one as well if
// the first is late.
package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Timing of the relay.
const (
	// probeInterval is how often the direct route is probed while peers are
	// used.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// dialTimeout bounds connecting to a peer; hosts are milliseconds apart.
	dialTimeout = 300 * clock.Millisecond
	// callTimeout bounds a call through a peer, beyond its wait; it leaves the
	// peer's own call its timeout of 500 ms.
	callTimeout = 800 * clock.Millisecond
	// idleTimeout is how long a connection between peers may be idle.
	idleTimeout = 20 * clock.Second
	// maxRefused is how many peers that pass on the store's refusal one call asks. The
	// next call asks others.
	maxRefused = 4
)

// Relay is a store.TxnStore that falls back to peers. Set the exported fields
// before Start.
type Relay struct {
	Direct store.TxnStore
	// Peers returns the addresses of processes that may serve a call.
	Peers func() []string
	// Bulk is the prefix whose lists are large; they get more time.
	Bulk string
	Log  *slog.Logger

	mu           sync.Mutex
	viaPeers     bool
	directCtx    context.Context // cancelled when calls switch to peers or back
	cancelDirect context.CancelFunc
	lastSuccess  clock.Millis  // when the store last responded to a call, on the monotonic clock
	recovered    chan struct{} // closed when a call succeeds again; nil unless the last one failed
	ranking      ranking
	refusedAt    clock.Millis // when the store, or a peer for it, last refused a call
	conns        map[string]*peer
	failures     failureLog
	cancel       context.CancelFunc
	done         chan struct{}
}

// Start starts to probe the direct route.
func (r *Relay) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.done = cancel, make(chan struct{})
	r.directCtx, r.cancelDirect = context.WithCancel(ctx)
	go r.run(ctx)
	return nil
}

// Stop closes the connections to peers.
func (r *Relay) Stop(context.Context) error {
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.conn.Close()
	}
	return nil
}

// run probes the direct route while peers are used.
func (r *Relay) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.usingPeers() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		sent := clock.System().Monotonic()
		_, _, err := r.Direct.Get(call, store.PlannerKey)
		cancel()
		if err == nil {
			r.recordResult(sent, nil)
			r.setViaPeers(false, nil)
		}
	}
}

// Timing of Await.
const (
	// trustedFor is how long after a response the store counts as responding. A store
	// that goes silent is found out only by a call.
	trustedFor = 300 * clock.Millisecond
	// awaitRetry is the pause after a probe that failed at once.
	awaitRetry = 100 * time.Millisecond
)

// Await waits until the store responds on some route, and reports whether it did before
// ctx ended. It makes a read unless a call has succeeded just now and none has failed
// since. A write that is sent only then is rarely left in doubt.
func (r *Relay) Await(ctx context.Context) bool {
	for {
		r.mu.Lock()
		recovered, since := r.recovered, clock.System().Monotonic()-r.lastSuccess
		r.mu.Unlock()
		if recovered == nil && since <= trustedFor {
			return true
		}
		responds := make(chan bool, 1)
		go r.runProbe(ctx, responds)
		select {
		case ok := <-responds:
			if ok {
				return true
			}
		case <-recovered: // never ready if nil
			return true
		case <-ctx.Done():
			return false
		}
		select {
		case <-time.After(awaitRetry):
		case <-ctx.Done():
			return false
		}
	}
}

// runProbe reads a key on any route and reports whether the store responds.
func (r *Relay) runProbe(ctx context.Context, responds chan<- bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _, err := r.Get(ctx, store.PlannerKey)
	responds <- err == nil
}

// recordResult records whether the store responded to a call that was sent at a time.
// A failure says nothing if another call has succeeded since.
func (r *Relay) recordResult(sent clock.Millis, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil || !fault.Is(err, fault.StoreUnavailable):
		r.lastSuccess = clock.System().Monotonic()
		if r.recovered != nil {
			close(r.recovered)
			r.recovered = nil
		}
	case r.lastSuccess <= sent:
		if r.recovered == nil {
			r.recovered = make(chan struct{})
		}
	}
}

// refusedRecently is how long a refusal shows that the store is disturbed.
const refusedRecently = 2 * clock.Second

// Refused reports whether the store recently refused a call of this host, or a peer replied
// that it can't reach the store either. A call that only got no response does not count: the
// reason may be this host's own processor or link.
func (r *Relay) Refused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusedAt > 0 && clock.System().Monotonic()-r.refusedAt < refusedRecently
}

func (r *Relay) recordRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt = clock.System().Monotonic()
}

func (r *Relay) usingPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viaPeers
}

// setViaPeers switches calls to peers or back, and cancels the polls in progress
// on the direct route.
func (r *Relay) setViaPeers(on bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.viaPeers != on {
		r.viaPeers = on
		r.cancelDirect()
		r.directCtx, r.cancelDirect = context.WithCancel(context.Background())
		r.Log.Info("store_relay", "on", on, "error", cause)
	}
}

// route makes a call directly, or through a peer if the direct route does not
// work. If it is certain that no peer carried it out, it is made directly after
// all. A write whose direct outcome is unknown is not retried here; its
// conditions let the caller retry it.
func (r *Relay) route(ctx context.Context, c link.Call) (link.Reply, error) {
	if !r.usingPeers() {
		began := clock.System().Monotonic()
		reply, err := r.callDirectHedged(ctx, c)
		if err == nil || !fault.Is(err, fault.StoreUnavailable) || ctx.Err() == context.Canceled {
			return reply, err
		}
		r.failures.write(r.Log, directRoute, c, clock.System().Monotonic()-began, err)
		if ctx.Err() != nil {
			return reply, err
		}
		r.setViaPeers(true, err)
		if c.Op == link.OpCommit && fault.Of(err).Outcome != fault.NotRun {
			return reply, err
		}
	}
	if mayRepeat(c.Op) {
		return r.callPeersHedged(ctx, c)
	}
	reply, err := r.callPeers(ctx, c)
	if err != nil && !fault.Is(err, fault.Rejected) && fault.Of(err).Outcome == fault.NotRun && ctx.Err() == nil {
		return r.retryDirect(ctx, c)
	}
	return reply, err
}

// callPeers makes a call that must not be repeated through a peer. It asks the next one if
// it is certain that the call had no effect, or if that would do no harm.
func (r *Relay) callPeers(ctx context.Context, c link.Call) (link.Reply, error) {
	err := error(unavailable("no peer is known"))
	for i, addr := range r.rankedPeers() {
		if i == maxRefused || ctx.Err() != nil {
			break
		}
		var reply link.Reply
		reply, err = r.callPeer(ctx, c, addr)
		if err == nil || !fault.Is(err, fault.StoreUnavailable) {
			return reply, err
		}
		if c.Op == link.OpCommit && fault.Of(err).Outcome != fault.NotRun {
			return reply, err
		}
	}
	return link.Reply{}, err
}

func unavailable(format string, args ...any) *fault.Error {
	return fault.New(fault.StoreUnavailable, "wait until the store serves this host or a peer is up", format, args...).WithOutcome(fault.NotRun)
}

// rankedPeers returns the peers in the order of asking.
func (r *Relay) rankedPeers() []string {
	return r.ranking.order(r.Peers(), clock.System().Monotonic())
}

// notifyBackoff is how long a peer that could not be reached is sent no
// notifications.
const notifyBackoff = clock.Second

// Notify tells a peer that the store has reached a revision, without waiting.
// Notifications may be lost; the peer's own watch delivers the same changes.
func (r *Relay) Notify(addr string, rev int64) { r.Send(addr, link.Frame{WrittenRev: rev}) }

// Send sends a peer a frame that needs no reply, without waiting. It may be lost.
func (r *Relay) Send(addr string, f link.Frame) {
	r.mu.Lock()
	p := r.conns[addr]
	r.mu.Unlock()
	failed := r.ranking.failedAt(addr)
	switch {
	case p != nil:
		p.conn.Send(f)
	case failed == 0 || clock.System().Monotonic()-failed > notifyBackoff:
		go r.runSend(addr, f)
	}
}

// runSend connects to a peer and sends it a frame.
func (r *Relay) runSend(addr string, f link.Frame) {
	p, err := r.peer(addr)
	if err != nil {
		r.recordPeer(addr, silent)
		r.Log.Debug("news_not_sent", "to", addr, "revision", f.WrittenRev, "error", err)
		return
	}
	p.conn.Send(f)
}

// peer returns the connection to a peer, and makes it if there is none.
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
	p.readLoop()
	r.dropPeer(addr, p)
}

func (r *Relay) dropPeer(addr string, p *peer) {
	p.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[addr] == p {
		delete(r.conns, addr)
		r.ranking.closed(addr)
	}
}
