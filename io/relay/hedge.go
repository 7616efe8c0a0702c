package relay

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
	"gypsumcrank/io/meter"
)

// Timing of calls that may be sent through several routes.
const (
	// peerPollWait is the longest wait of a poll through the first peer: until it is
	// over, a peer that waits for changes can't be told from one that is gone.
	peerPollWait = 300 * clock.Millisecond
	// hedgeDelay is how long a call waits for one route, beyond the wait of a poll,
	// before it is sent through others as well; a slow store responds in 250 ms.
	hedgeDelay = 300 * clock.Millisecond
	// bulkTime is how much longer a list of Relay.Bulk may take: 1 MB takes 0.8 s at
	// 10 Mbit/s, and more beside other traffic.
	bulkTime = 1700 * clock.Millisecond
	// hedgeWidth is through how many peers a call is sent at once if one before did not
	// reply in time.
	hedgeWidth = 2
	// maxSilent is how many peers that don't reply one call waits for.
	maxSilent = 5
)

// hedge is a call that is sent through one route after another, until one replies.
type hedge struct {
	relay   *Relay
	peers   []string // that were not asked yet
	replies chan hedgeReply
	pending int
	refused int // peers that replied with the store's refusal, or that could not be reached
}

type hedgeReply struct {
	reply  link.Reply
	err    error
	direct bool
}

// mayRepeat reports whether a call may be sent through several routes: it changes
// nothing, or nothing more when it is repeated.
func mayRepeat(op link.Op) bool {
	return op == link.OpGet || op == link.OpList || op == link.OpPoll || op == link.OpKeepAlive
}

// extraTime returns the time that a call takes beyond the wait for other calls.
func (r *Relay) extraTime(c link.Call) clock.Millis {
	switch {
	case c.Op == link.OpPoll:
		return c.Wait
	case c.Op == link.OpList && c.Key == r.Bulk:
		return bulkTime
	}
	return 0
}

// callPeersHedged makes a call that may be repeated through peers, and directly if none of
// them replies. It is made directly at once when the direct route is found to work again.
func (r *Relay) callPeersHedged(ctx context.Context, c link.Call) (link.Reply, error) {
	r.mu.Lock()
	directBack := r.directCtx.Done() // calls were switched to peers, so the next switch is back
	viaPeers := r.viaPeers
	r.mu.Unlock()
	if !viaPeers {
		return r.callDirect(ctx, c)
	}
	c.Wait = min(c.Wait, peerPollWait)
	peersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := r.newHedge()
	h.send(peersCtx, c, 1)
	for h.pending > 0 {
		select {
		case got := <-h.replies:
			h.pending--
			if got.err == nil || !fault.Is(got.err, fault.StoreUnavailable) {
				return got.reply, got.err
			}
			if h.refused++; h.refused < maxRefused {
				h.send(peersCtx, c, 1)
			}
		case <-time.After(r.routeWait(c).Duration()):
			c.Wait = 0 // a poll that waits can't be told from one that is lost
			if h.pending >= maxSilent || h.send(peersCtx, c, hedgeWidth) == 0 {
				return r.retryDirect(ctx, c)
			}
		case <-directBack:
			return r.retryDirect(ctx, c)
		case <-ctx.Done():
			return link.Reply{}, unavailable("the %s call was cancelled: %v", c.Op, ctx.Err())
		}
	}
	return r.retryDirect(ctx, c)
}

// callDirectHedged makes a call directly. If no response comes in time, it is sent through
// peers as well, and calls are switched to peers if one of them replies first.
func (r *Relay) callDirectHedged(ctx context.Context, c link.Call) (link.Reply, error) {
	if !mayRepeat(c.Op) || c.Op == link.OpPoll {
		return r.callDirect(ctx, c) // the sender of a poll bounds its time
	}
	h := r.newHedge()
	hedgeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.pending++
	go h.runDirect(hedgeCtx, c)
	for {
		select {
		case got := <-h.replies:
			h.pending--
			if got.direct {
				return got.reply, got.err
			}
			if got.err == nil {
				r.setViaPeers(true, unavailable("no direct response to a %s call in %s", c.Op, r.routeWait(c)))
				return got.reply, nil
			}
		case <-time.After(r.routeWait(c).Duration()):
			if h.pending < maxSilent {
				h.send(hedgeCtx, c, hedgeWidth)
			}
		}
	}
}

func (r *Relay) newHedge() *hedge {
	peers := r.rankedPeers()
	return &hedge{relay: r, peers: peers, replies: make(chan hedgeReply, len(peers)+1)}
}

// send sends the call through up to n more peers and returns how many there were.
func (h *hedge) send(ctx context.Context, c link.Call, n int) int {
	n = min(n, len(h.peers))
	for _, addr := range h.peers[:n] {
		h.pending++
		go h.run(ctx, c, addr)
	}
	h.peers = h.peers[n:]
	return n
}

// retryDirect makes a call directly after the peers failed. If that works, the direct
// route is used again from now on.
func (r *Relay) retryDirect(ctx context.Context, c link.Call) (link.Reply, error) {
	reply, err := r.callDirect(ctx, c)
	if err == nil {
		r.setViaPeers(false, nil)
	}
	return reply, err
}

// routeWait is how long a call waits for one route before it is sent through others.
func (r *Relay) routeWait(c link.Call) clock.Millis { return r.extraTime(c) + hedgeDelay }

func (h *hedge) runDirect(ctx context.Context, c link.Call) {
	reply, err := h.relay.callDirect(ctx, c)
	h.replies <- hedgeReply{reply: reply, err: err, direct: true}
}

func (h *hedge) run(ctx context.Context, c link.Call, addr string) {
	reply, err := h.relay.callPeer(ctx, c, addr)
	h.replies <- hedgeReply{reply: reply, err: err}
}

// callPeer makes a call through one peer, and records how it ended. The connection to a
// peer that does not reply in time is closed, because it may have gone silent.
func (r *Relay) callPeer(ctx context.Context, c link.Call, addr string) (link.Reply, error) {
	p, err := r.peer(addr)
	if err != nil {
		r.recordPeer(addr, silent)
		return link.Reply{}, unavailable("peer %s is unreachable: %v", addr, err)
	}
	began := clock.System().Monotonic()
	reply, err := p.call(ctx, c, callTimeout+r.extraTime(c))
	took := clock.System().Monotonic() - began
	late := took >= r.routeWait(c)
	if err == nil && reply.Err != nil {
		err = reply.Err
		if fault.Is(err, fault.StoreUnavailable) {
			r.recordPeer(addr, refused)
			r.recordRefusal()
		}
	} else if err == nil {
		r.recordPeer(addr, served)
	} else if ctx.Err() == nil || late {
		r.recordPeer(addr, silent)
		r.dropPeer(addr, p)
	}
	if err != nil && (ctx.Err() == nil || late) {
		r.failures.write(r.Log, addr, c, took, err)
	}
	return reply, err
}

// recordPeer records how a call through a peer ended.
func (r *Relay) recordPeer(addr string, o outcome) {
	meter.Count("relayed_calls", 1, string(o))
	if changed, before := r.ranking.record(addr, o, clock.System().Monotonic()); changed {
		r.Log.Info("store_relay_peer", "peer", addr, "last", before)
	}
}
