package relay

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
)

// peerServer serves one connection of a peer.
type peerServer struct {
	Server
	conn *link.Conn
}

func (s *peerServer) run() {
	if f, err := s.conn.Receive(clock.Minute); err == nil {
		s.Serve(s.conn, f)
	}
	s.conn.Close()
}

// startServer serves a connection with calls that wait until the returned channel is closed.
func startServer(c *qt.C) (peer *link.Conn, release chan struct{}) {
	here, there := net.Pipe()
	peer, release = link.New(here), make(chan struct{})
	s := &peerServer{conn: link.New(there)}
	s.Call = func(context.Context, link.Call) (link.Reply, error) {
		<-release
		return link.Reply{OK: true}, nil
	}
	s.OnWrite, s.OnForecast = func(int64) {}, func(*admit.Forecast) {}
	go s.run()
	c.Cleanup(peer.Close)
	return peer, release
}

// Guards against a front that ends for want of memory: each call took a goroutine, however many
// there were.
func TestTooManyCallsOfAPeerAreRefused(t *testing.T) {
	c := qt.New(t)
	peer, release := startServer(c)
	const more = 10
	for i := range DefaultPeerCalls + more {
		peer.Send(link.Frame{Call: &link.Call{ID: uint64(i + 1), Op: link.OpGet}})
	}
	for i := range more {
		f, err := peer.Receive(clock.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(f.Reply.ID, qt.Equals, uint64(DefaultPeerCalls+i+1))
		c.Check(fault.Is(f.Reply.Err, fault.StoreUnavailable), qt.IsTrue)
		c.Check(f.Reply.Err.Outcome, qt.Equals, fault.NotRun)
	}
	close(release)
	for range DefaultPeerCalls {
		f, err := peer.Receive(clock.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(f.Reply.OK, qt.IsTrue)
	}
	peer.Send(link.Frame{Call: &link.Call{ID: 1000, Op: link.OpGet}})
	f, err := peer.Receive(clock.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(f.Reply.OK, qt.IsTrue)
}

// The replies to lists may be large: only some are made at a time.
func TestTooManyListsAreRefused(t *testing.T) {
	c := qt.New(t)
	peer, release := startServer(c)
	for i := range maxLists + 1 {
		peer.Send(link.Frame{Call: &link.Call{ID: uint64(i + 1), Op: link.OpList}})
	}
	f, err := peer.Receive(clock.Minute)
	c.Assert(err, qt.IsNil)
	c.Check(f.Reply.ID, qt.Equals, uint64(maxLists+1))
	c.Check(f.Reply.Err, qt.Not(qt.IsNil))
	close(release)
}
