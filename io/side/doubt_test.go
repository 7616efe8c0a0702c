package side

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/link"
)

// fakePlanner is a front that is the planner: it counts the queries of sides, and sends
// frames to the one side that is connected.
type fakePlanner struct {
	addr    string
	queries atomic.Int64
	conns   chan *link.Conn
}

func newFakePlanner(t *testing.T) *fakePlanner {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	p := &fakePlanner{addr: ln.Addr().String(), conns: make(chan *link.Conn, 1)}
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(link.New(raw))
		}
	}()
	return p
}

func (p *fakePlanner) serve(c *link.Conn) {
	f, err := c.Receive(clock.Second)
	if err != nil || f.Hello == nil {
		return
	}
	c.Send(link.Frame{Welcome: &link.Welcome{Planner: true, Epoch: 7, Addr: p.addr}})
	if f.Hello.QueryOnly {
		p.queries.Add(1)
		return
	}
	p.conns <- c
}

// Guards against sides that look for another planner for ever: each doubt about the
// planner's lease left one more goroutine that queried three fronts every 0.3 s until the
// connection ended.
func TestSidesLookForAPlannerOnlyWhileTheLeaseIsInDoubt(t *testing.T) {
	c := qt.New(t)
	p := newFakePlanner(t)
	s, _ := newSide()
	s.Fronts = []string{p.addr}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.session(ctx, p.addr, 7)
	conn := <-p.conns
	const doubts = 5
	for range doubts {
		conn.Send(link.Frame{LeaseInDoubt: true})
	}
	time.Sleep(time.Second)
	c.Check(p.queries.Load() >= 2, qt.IsTrue)
	c.Check(p.queries.Load() <= 5, qt.IsTrue, qt.Commentf("%d queries in a second", p.queries.Load()))
	conn.Send(link.Frame{LeaseCertain: true})
	time.Sleep(400 * time.Millisecond)
	before := p.queries.Load()
	time.Sleep(700 * time.Millisecond)
	c.Check(p.queries.Load(), qt.Equals, before)
	conn.Send(link.Frame{LeaseInDoubt: true})
	time.Sleep(400 * time.Millisecond)
	c.Check(p.queries.Load() > before, qt.IsTrue)
}
