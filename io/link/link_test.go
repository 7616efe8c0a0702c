package link

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
)

// Guards against a job of many tasks that never starts: all its starts go to one side at once, and a
// connection was closed when 1,024 frames waited. After it was made again, all were sent again.
func TestTheOrdersOfALargeJobFitAConnection(t *testing.T) {
	c := qt.New(t)
	here, there := net.Pipe()
	sender, receiver := New(here), New(there)
	defer sender.Close()
	defer receiver.Close()
	const orders = 10_000
	for i := range orders {
		sender.Send(Frame{Order: &plan.Order{Kind: plan.OrderStart, Task: "a.0.0.0", Run: i}})
	}
	for i := range orders {
		f, err := receiver.Receive(clock.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(f.Order.Run, qt.Equals, i)
	}
}

// A peer that takes nothing must not let the queue grow for ever.
func TestAPeerThatTakesNothingLosesItsConnection(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	sender := New(here)
	for range 2 * maxQueued {
		sender.Send(Frame{})
	}
	select {
	case <-sender.Done():
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}
