package relay

import (
	"context"
	"sync"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
)

// peer is a connection to another process on which calls wait for their replies.
type peer struct {
	conn *link.Conn

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan link.Reply
}

// readLoop delivers replies to the waiting calls until the connection ends.
func (p *peer) readLoop() {
	for {
		f, err := p.conn.Receive(idleTimeout)
		if err != nil {
			p.conn.Close()
			return
		}
		if f.Reply == nil {
			continue
		}
		p.mu.Lock()
		ch := p.waiting[f.Reply.ID]
		delete(p.waiting, f.Reply.ID)
		p.mu.Unlock()
		if ch != nil {
			ch <- *f.Reply
		}
	}
}

// call sends a call and waits for its reply, at most for the given time.
func (p *peer) call(ctx context.Context, c link.Call, wait clock.Millis) (link.Reply, error) {
	ch := make(chan link.Reply, 1)
	p.mu.Lock()
	p.next++
	c.ID = p.next
	p.waiting[c.ID] = ch
	p.mu.Unlock()
	p.conn.Send(link.Frame{Call: &c})
	timeout := time.NewTimer(wait.Duration())
	defer timeout.Stop()
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
	case <-timeout.C:
	case <-p.conn.Done():
	}
	p.mu.Lock()
	delete(p.waiting, c.ID)
	p.mu.Unlock()
	return link.Reply{}, fault.New(fault.StoreUnavailable, "retry", "the peer did not reply to a %s call", c.Op).WithOutcome(fault.Unknown)
}

// Caller carries out one call at the store.
type Caller func(ctx context.Context, c link.Call) (link.Reply, error)

// CallForPeer carries out a call of another process. While the store does not serve this
// host directly, it is refused without asking the store, so that fronts that are turned
// away don't multiply each other's calls.
func (r *Relay) CallForPeer(ctx context.Context, c link.Call) (link.Reply, error) {
	if r.usingPeers() {
		return link.Reply{}, unavailable("the store does not serve this host either")
	}
	return Dispatch(ctx, r.Direct, c)
}

// Serve carries out the calls of one connection, replies to them, and passes its revision
// notifications to notify and its forecasts to forecast, beginning with the first frame,
// until the connection ends.
func Serve(c *link.Conn, call Caller, notify func(rev int64), forecast func(*admit.Forecast), first link.Frame) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &server{conn: c, call: call}
	for f, err := first, error(nil); err == nil; f, err = c.Receive(idleTimeout) {
		if f.Call != nil {
			go s.run(ctx, *f.Call)
		}
		if f.WrittenRev > 0 {
			notify(f.WrittenRev)
		}
		if f.Forecast != nil {
			forecast(f.Forecast)
		}
	}
}

// server carries out calls for a peer.
type server struct {
	conn *link.Conn
	call Caller
}

func (s *server) run(ctx context.Context, c link.Call) {
	reply, err := s.call(ctx, c)
	reply.ID = c.ID
	if err != nil {
		reply.Err = fault.Of(err)
	}
	s.conn.Send(link.Frame{Reply: &reply})
}
