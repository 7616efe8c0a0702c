package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// Guards against a job that is never run again: its queue was sent to another service, and the last worker
// of the old one left. While the old one has workers, the job stays there.
func TestAJobFollowsItsQueueOnceItsServiceIsGone(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		c := qt.New(t)
		f := newFleet(t, 3, 3, workerResources)
		for _, h := range f.hosts[1:] {
			h.service = "next"
		}
		f.takeOver()
		send := func(version int64, service string) {
			f.config = (&route.Config{Version: version, Accounts: map[string]route.Account{}, Queues: []route.Queue{{Name: "q", Service: service}}}).Prepare()
			f.send(plan.ConfigMsg{Config: f.config})
		}
		send(2, "svc")
		j := oneTask("a", 8)
		j.Queue, j.Attempts = "q", 2
		j.Steps[0].Count, j.Steps[0].Estimate = 3, 4000
		f.moving = true
		f.submit(j)
		f.run(1000)
		send(3, "next")
		f.run(6000)
		first := f.hosts[0]
		c.Assert(first.runs, qt.HasLen, 1) // the second task
		for _, h := range f.hosts[1:] {
			c.Assert(h.runs, qt.HasLen, 0)
		}
		first.announce(500)
		f.run(500)
		first.vanish()
		gone := first.baseReport()
		gone.Gone = true
		f.send(gone)
		if takeover {
			f.takeOver()
		}
		f.run(3000)
		for _, h := range f.hosts[1:] { // it may be an upgrade
			c.Assert(h.runs, qt.HasLen, 0)
		}
		f.finish(30 * clock.Second)
		c.Check(f.records["a"].State, qt.Equals, task.Completed)
	}
}
