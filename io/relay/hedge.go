package relay

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
)

// Timing of reads through peers.
const (
	// peerPollWait is the longest wait of a poll through a peer: until it is over, a
	// peer that waits for changes can't be told from one that is gone.
	peerPollWait = 300 * clock.Millisecond
	// hedgeDelay is how long a read waits for one route, beyond the wait of a poll,
	// before it is sent through the next as well; a slow store responds in 250 ms.
	hedgeDelay = 300 * clock.Millisecond
)

// hedge is a read that is sent through one route after another, until one replies.
type hedge struct {
	relay   *Relay
	call    link.Call
	replies chan hedgeReply
}

type hedgeReply struct {
	reply link.Reply
	err   error
}

// isRead reports whether a call changes nothing, so that it may be sent through
// several routes.
func isRead(op link.Op) bool { return op == link.OpGet || op == link.OpList || op == link.OpPoll }

// read makes a read through peers, and directly if none of them replies. It is made
// directly at once when the direct route is found to work again.
func (r *Relay) read(ctx context.Context, c link.Call) (link.Reply, error) {
	c.Wait = min(c.Wait, peerPollWait)
	r.mu.Lock()
	directBack := r.directCtx.Done() // calls were switched to peers, so the next switch is back
	viaPeers := r.viaPeers
	r.mu.Unlock()
	if !viaPeers {
		return r.callDirect(ctx, c)
	}
	peersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := r.rankedPeers()
	peers = peers[:min(len(peers), maxPeers)]
	h := &hedge{relay: r, call: c, replies: make(chan hedgeReply, len(peers))}
	for next, pending := 0, 0; next < len(peers) || pending > 0; {
		if next < len(peers) {
			go h.run(peersCtx, peers[next])
			next++
			pending++
		}
		select {
		case got := <-h.replies:
			pending--
			if got.err == nil || !fault.Is(got.err, fault.StoreUnavailable) {
				return got.reply, got.err
			}
		case <-time.After(h.routeWait().Duration()):
			if next == len(peers) {
				return r.retryDirect(ctx, c)
			}
		case <-directBack:
			return r.retryDirect(ctx, c)
		case <-ctx.Done():
			return link.Reply{}, unavailable("the read was cancelled: %v", ctx.Err())
		}
	}
	return r.retryDirect(ctx, c)
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

// routeWait is how long the read waits for one route before it tries the next.
func (h *hedge) routeWait() clock.Millis { return h.call.Wait + hedgeDelay }

// run makes the call through one peer. A peer that does not reply in time is ranked
// last, and its connection is closed, because it may have gone silent.
func (h *hedge) run(ctx context.Context, addr string) {
	r := h.relay
	p, err := r.peer(addr)
	if err != nil {
		r.recordPeerFailure(addr)
		h.replies <- hedgeReply{err: unavailable("peer %s is unreachable: %v", addr, err)}
		return
	}
	began := clock.System().Monotonic()
	reply, err := p.call(ctx, h.call)
	took := clock.System().Monotonic() - began
	late := took >= h.routeWait()
	switch {
	case err == nil && reply.Err == nil:
		r.recordPeerReply(addr)
	case err == nil:
		err = reply.Err
	case ctx.Err() == nil || late:
		r.recordPeerFailure(addr)
		r.dropPeer(addr, p)
	}
	if err != nil && (ctx.Err() == nil || late) {
		r.failures.write(r.Log, addr, h.call, took, err)
	}
	h.replies <- hedgeReply{reply, err}
}
