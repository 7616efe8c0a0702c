package relay

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
	"gypsumcrank/io/meter"
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

// Limits of the calls that are carried out for others, until their replies are sent.
const (
	// DefaultPeerCalls is the default of Server.MaxPeerCalls.
	DefaultPeerCalls = 256
	maxLists         = 4 // of all connections; the reply to a list may be large
	// maxUnsent is how many replies may wait on a connection whose peer doesn't take them.
	maxUnsent = 1024
	// maxPollWait is the longest wait of a poll.
	maxPollWait = 2 * clock.Second
)

// Server carries out calls of other processes. Set the exported fields before Serve.
type Server struct {
	Call Caller
	// MaxPeerCalls is how many calls of one connection may be under way, and half of how many may be of
	// all connections; 0 stands for DefaultPeerCalls.
	MaxPeerCalls int
	// OnWrite is called with the revisions that others have written.
	OnWrite func(rev int64)
	// OnForecast is called with forecasts of the planner.
	OnForecast func(*admit.Forecast)

	calls, lists atomic.Int64 // under way
}

// Serve carries out the calls of one connection and replies to them, beginning with the first
// frame, until the connection ends.
func (s *Server) Serve(c *link.Conn, first link.Frame) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &client{server: s, conn: c}
	for f, err := first, error(nil); err == nil; f, err = c.Receive(idleTimeout) {
		if f.Call != nil {
			p.serve(ctx, *f.Call)
		}
		if f.WrittenRev > 0 {
			s.OnWrite(f.WrittenRev)
		}
		if f.Forecast != nil {
			s.OnForecast(f.Forecast)
		}
	}
}

// begin counts a call as under way, or reports that there are too many.
func (s *Server) begin(op link.Op) bool {
	if s.calls.Add(1) > 2*s.maxPeerCalls() {
		s.calls.Add(-1)
		return false
	}
	if op == link.OpList && s.lists.Add(1) > maxLists {
		s.lists.Add(-1)
		s.calls.Add(-1)
		return false
	}
	return true
}

func (s *Server) maxPeerCalls() int64 { return int64(cmp.Or(s.MaxPeerCalls, DefaultPeerCalls)) }

func (s *Server) end(op link.Op) {
	s.calls.Add(-1)
	if op == link.OpList {
		s.lists.Add(-1)
	}
}

// client is a connection whose calls are carried out.
type client struct {
	server *Server
	conn   *link.Conn
	calls  atomic.Int64 // under way
	unsent atomic.Int64 // replies
}

// serve carries out a call, or refuses it if too many are under way.
func (p *client) serve(ctx context.Context, c link.Call) {
	if p.calls.Load() >= p.server.maxPeerCalls() || !p.server.begin(c.Op) {
		meter.Count("peer_calls_refused", 1)
		err := unavailable("too many calls are under way here")
		p.reply(link.Reply{ID: c.ID, Err: err}, func() {})
		return
	}
	p.calls.Add(1)
	if p.conn.Heavy() {
		p.run(ctx, c)
		return
	}
	go p.run(ctx, c)
}

func (p *client) run(ctx context.Context, c link.Call) {
	if c.Op == link.OpPoll {
		c.Wait = min(c.Wait, maxPollWait)
	}
	reply, err := p.server.Call(ctx, c)
	reply.ID = c.ID
	if err != nil {
		reply.Err = fault.Of(err)
	}
	p.reply(reply, func() {
		p.calls.Add(-1)
		p.server.end(c.Op)
	})
}

// reply sends a reply, and calls done when it is sent or never will be.
func (p *client) reply(r link.Reply, done func()) {
	if p.unsent.Add(1) > maxUnsent {
		p.conn.Close()
	}
	p.conn.SendThen(link.Frame{Reply: &r}, func() {
		p.unsent.Add(-1)
		done()
	})
}
