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

// lose makes a worker silent for good: its host is gone, or only its executor, whose side goes on reporting.
func (h *host) lose(wholeHost bool) {
	h.vanish()
	if wholeHost {
		h.partitioned = true
		h.f.send(plan.LinkMsg{Node: h.node})
	}
}

// Guards against a job that is never run again: its queue is sent to another service, and the workers of the old one
// fall silent for good without having said that they leave (review/13). A worker whose leases have ended is not there
// any more, and the job has to run again soon after that.
func TestAJobFollowsItsQueueOnceItsServiceIsSilent(t *testing.T) {
	const (
		idleLimit = 3 * clock.Second   // after the end of the lease
		leaseTime = 6 * clock.Second   // hold_max_ms of the users' sheets
		unheard   = 14 * clock.Second  // lease of a worker that a new planner has not heard from
		longEnd   = 100 * clock.Second // of the job
	)
	type loss struct {
		name      string
		wholeHost bool
		late      bool // the configuration changes after the loss
		takeover  clock.Millis
		workers   int // of the old service
		back      bool
	}
	for _, test := range []loss{
		{name: "host lost after the change", wholeHost: true, workers: 1},
		{name: "host lost before the change", wholeHost: true, late: true, workers: 1},
		{name: "executor lost after the change", workers: 1},
		{name: "executor lost before the change", late: true, workers: 1},
		{name: "two workers, one after the other", wholeHost: true, workers: 2},
		{name: "two executors, one after the other", workers: 2},
		{name: "planner replaced at once", wholeHost: true, takeover: 100, workers: 1},
		{name: "planner replaced at once, executor lost", takeover: 100, workers: 1},
		{name: "planner replaced later", wholeHost: true, takeover: 4 * clock.Second, workers: 1},
		{name: "back after the move", wholeHost: true, workers: 1, back: true},
		{name: "executor back after the move", workers: 1, back: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 5, 2, workerResources)
			old, next := f.hosts[:test.workers], f.hosts[test.workers:]
			for _, h := range next {
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
			j.Steps[0].Estimate, j.Steps[0].Count = longEnd, test.workers
			f.moving = true
			f.submit(j)
			f.run(1000)
			runsOn := func(hosts []*host) (n int) {
				for _, h := range hosts {
					n += len(h.runs)
				}
				return n
			}
			c.Assert(runsOn(old), qt.Equals, test.workers)
			if !test.late {
				send(3, "next")
				f.run(500)
			}
			for i, h := range old {
				if i > 0 {
					f.run(4000)
				}
				h.lose(test.wholeHost)
			}
			lostAt := f.now
			if test.late {
				f.run(500)
				send(3, "next")
			}
			limit := leaseTime + idleLimit
			if test.takeover > 0 {
				f.run(test.takeover)
				f.takeOver()
				limit = test.takeover + unheard + idleLimit
			}
			f.run(lostAt + limit - f.now)
			c.Assert(runsOn(next), qt.Equals, test.workers)
			if test.back {
				h := old[0]
				h.partitioned = false
				h.restartAs("i-back")
				other := oneTask("b", 8)
				other.Queue = "other"
				f.submit(other)
				f.run(2 * clock.Second)
				c.Check(runsOn(old), qt.Equals, 1) // its capacity counts again
			}
			f.finish(longEnd + 20*clock.Second)
			c.Check(f.records["a"].State, qt.Equals, task.Completed)
			c.Check(f.events["job_moved"] > 0, qt.IsTrue)
		})
	}
}
