package side

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
)

// Guards against a connection that is lost every 1.5 s: while its worker does not answer, a side
// reports without lists, to which the planner does not reply, and it sent no keepalive beside them.
func TestASideWhoseWorkerIsLostKeepsItsPlanner(t *testing.T) {
	c := qt.New(t)
	p := newFakePlanner(t)
	s, w := newSide()
	s.Clock = clock.System()
	s.Fronts = []string{p.addr}
	w.there, w.err = incarnation(5), nil
	c.Assert(s.Start(context.Background(), nil), qt.IsNil)
	defer s.Stop(context.Background())
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 1})
	conn := <-p.conns
	for confirmed := false; !confirmed; {
		f, err := conn.Receive(clock.Second)
		c.Assert(err, qt.IsNil)
		confirmed = f.Report != nil
	}
	w.mu.Lock()
	w.err = fault.New(fault.StoreUnavailable, "", "time-out")
	w.mu.Unlock()
	handovers := 0
	for end := time.Now().Add(2 * plannerTimeout.Duration()); time.Now().Before(end); {
		f, err := conn.Receive(clock.Second)
		c.Assert(err, qt.IsNil, qt.Commentf("after %d handovers", handovers))
		if f.Hello != nil {
			conn.Send(link.Frame{Welcome: &link.Welcome{Planner: true, Epoch: 7}})
		}
		if f.Report != nil && f.Report.Handover != nil {
			handovers++
		}
	}
	c.Check(handovers >= 3, qt.IsTrue, qt.Commentf("%d handovers", handovers))
}
