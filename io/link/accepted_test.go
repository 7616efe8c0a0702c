package link

import (
	"encoding/binary"
	"log/slog"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/plan"
	"gypsumcrank/io/guard"
)

// acceptedPair returns the two ends of a connection: one that sends raw bytes, and an accepted one.
func acceptedPair(c *qt.C, g *guard.Guard) (net.Conn, *Conn) {
	g.Log = slog.New(slog.DiscardHandler)
	l := &guard.Listener{Name: "link", Addr: "127.0.0.1:0", Guard: g}
	c.Assert(l.Open(), qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	peer, err := net.Dial("tcp", l.LocalAddr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() })
	raw, err := l.Accept()
	c.Assert(err, qt.IsNil)
	conn := New(raw)
	c.Cleanup(conn.Close)
	return peer, conn
}

// sender writes a frame to a peer.
type sender struct {
	peer net.Conn
	body string
}

func (s *sender) run() {
	_, _ = s.peer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s.body))))
	_, _ = s.peer.Write([]byte(s.body))
}

// reportOf returns a frame with a report of many running tasks.
func reportOf(c *qt.C, tasks int) string {
	r := &plan.ReportMsg{Node: "side-1"}
	for i := range tasks {
		r.Running = append(r.Running, plan.RunningTask{Task: "00000000000000a1.0.0.1", Run: i + 1})
	}
	body, err := cbor.Marshal(Frame{Report: r})
	c.Assert(err, qt.IsNil)
	return string(body)
}

func TestLargeFramesAreReceivedWithinTheMemory(t *testing.T) {
	c := qt.New(t)
	receiving, handling := FrameMemory()
	peer, conn := acceptedPair(c, &guard.Guard{Receiving: receiving, Handling: handling})
	for _, tasks := range []int{5000, 0, maxListed} {
		go (&sender{peer, reportOf(c, tasks)}).run()
		f, err := conn.Receive(clock.Minute)
		c.Assert(err, qt.IsNil)
		c.Check(f.Report.Running, qt.HasLen, tasks)
		c.Check(conn.Heavy(), qt.Equals, tasks > 0)
	}
}

// Guards against a front that ends for want of memory: an element of a list may take one byte on the
// wire and a hundred in memory.
func TestFramesOfManyElementsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1 << 10, maxListed, maxListed + 1} {
		receiving, handling := FrameMemory()
		peer, conn := acceptedPair(c, &guard.Guard{Receiving: receiving, Handling: handling})
		head := string(binary.BigEndian.AppendUint32([]byte("\xa1\x03\xa2\x01\x66side-y\x0d\x9a"), uint32(n)))
		go (&sender{peer, head + strings.Repeat("\xa0", n)}).run()
		_, err := conn.Receive(clock.Minute)
		c.Check(err, qt.Not(qt.IsNil))
		if n <= maxListed {
			c.Check(fault.Is(err, fault.Invalid), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
}
