package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Timing of a side whose worker does not answer.
const (
	sideTryInterval    = 150 * clock.Millisecond
	sideReportInterval = 600 * clock.Millisecond
)

// observe is what the side does while its worker does not answer.
func (h *host) observe() {
	f := h.f
	if f.now%sideTryInterval == 0 {
		h.watch.Lost(f.now)
		if h.down {
			h.watch.Refused(f.now)
		} else {
			h.watch.Failed()
		}
	}
	if f.now < h.nextReportAt {
		return
	}
	h.nextReportAt = f.now + sideReportInterval
	m := h.baseReport()
	m.Handover, m.Departure = h.watch.Handover(f.now), h.watch.Departure(f.now)
	planner := f.planner
	f.schedule(networkDelay, func() {
		if planner == f.planner && !h.partitioned && m.Incarnation == h.incarnation {
			f.send(m)
		}
	})
}

// announce makes the endpoint say that it leaves.
func (h *host) announce(remaining clock.Millis) {
	h.leaving = true
	h.watch.Heard(h.f.now, true, remaining)
	m := h.baseReport()
	m.Draining, m.Remaining = true, remaining
	h.f.send(m)
}

// vanish ends the worker's process without a report.
func (h *host) vanish() {
	for _, r := range h.runs {
		h.f.countLoss(r)
		h.f.endGang(&run{name: r.name, run: r.run}, plan.EndBroken)
	}
	h.runs, h.ends, h.down = map[string]*run{}, nil, true
}

// leaseEnds returns when the worker's lease ends at the latest.
func (h *host) leaseEnds() clock.Millis {
	left := h.leaseUntil - h.clock()
	return h.f.now + left + left*2/100
}

// gangOfTwo returns a job whose tasks need a worker each.
func gangOfTwo(id string) *task.Job {
	return &task.Job{ID: id, Stretch: 3, Target: 1000, Priority: 1, Steps: []task.Step{
		{Count: 2, Gang: true, Estimate: 30_000, Need: task.Resources{MilliCPU: 10000, MemoryMB: 1000, Accelerators: 8}},
	}}
}

// startGang runs a gang until it works, and returns a worker of it.
func (f *fleet) startGang() *host {
	f.submit(gangOfTwo("g"))
	f.run(2000)
	for _, h := range f.hosts {
		if len(h.runs) > 0 {
			return h
		}
	}
	f.t.Fatal("the gang has not started")
	return nil
}

// gangMembers returns how many tasks run.
func (f *fleet) gangMembers() (n int) {
	for _, h := range f.hosts {
		n += len(h.runs)
	}
	return n
}

// waitForGang returns when the gang runs again on two workers.
func (f *fleet) waitForGang(limit clock.Millis) clock.Millis {
	f.t.Helper()
	for end := f.now + limit; f.now < end; {
		f.run(10)
		if f.gangMembers() == 2 {
			return f.now
		}
	}
	f.t.Fatalf("the gang still stands after %s", limit)
	return 0
}

// reactionTime is what the messages, a report of the side and a new placement
// may take.
const reactionTime = 1500 * clock.Millisecond

// A gang whose member's worker vanished stands until that worker's lease has
// ended, whoever plans. Each change of planner made it wait anew for the longest
// lease that a deposed planner could have granted (lonja-austral-grown scale-1).
func TestChangesOfPlannerDoNotLengthenTheWaitForALease(t *testing.T) {
	for _, takeovers := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			f := newFleet(t, 3, 3, workerResources)
			h := f.startGang()
			h.vanish()
			ends := h.leaseEnds()
			for range takeovers {
				f.run(1500)
				f.takeOver()
			}
			qt.Check(t, f.waitForGang(60_000) <= ends+300+reactionTime, qt.IsTrue, qt.Commentf("%s late", f.now-ends))
		})
	}
}

// An announced removal ends with the process: nothing has to be waited for, also
// if the planner changes meanwhile.
func TestGangRunsAgainSoonAfterAnAnnouncedRemoval(t *testing.T) {
	for _, takeovers := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			f := newFleet(t, 3, 3, workerResources)
			h := f.startGang()
			h.announce(1700)
			f.run(1701)
			h.vanish()
			removed := f.now
			for range takeovers {
				f.run(300)
				f.takeOver()
			}
			qt.Check(t, f.waitForGang(60_000)-removed <= 1000+reactionTime, qt.IsTrue, qt.Commentf("stood for %s", f.now-removed))
		})
	}
}

// A worker that has announced its end, whose time is over and that does not
// answer its side may run on: only its lease ends its runs. The fleet fails the
// test if a task runs twice.
func TestMuteWorkerKeepsItsRunsUntilItsLeaseEnds(t *testing.T) {
	for _, takeovers := range []int{0, 1, 3} {
		for _, grants := range []bool{false, true} {
			t.Run(fmt.Sprint(takeovers, grants), func(t *testing.T) {
				f := newFleet(t, 3, 3, workerResources)
				h := f.startGang()
				h.announce(500)
				h.mute = true
				for range takeovers {
					f.run(1000)
					f.takeOver()
					if grants { // the last grant of the deposed planner, carried out but not answered
						until := h.clock() + 5500
						h.watch.PassOn(until)
						h.leaseUntil = max(h.leaseUntil, until)
					}
				}
				for len(h.runs) > 0 {
					f.run(10)
					if len(h.runs) > 0 {
						qt.Assert(t, f.gangMembers() <= 2, qt.IsTrue)
					}
				}
				ends := f.now
				h.mute = false
				qt.Check(t, f.waitForGang(60_000) <= ends+1000+reactionTime, qt.IsTrue)
			})
		}
	}
}

// A side that has restarted does not know what its predecessor passed on, and
// neither does it know of starts that may still be carried out.
func TestRestartedSideProvesNothingAboutEarlierLeases(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 3, workerResources)
	h := f.startGang()
	h.mute = true
	ends := h.leaseEnds()
	h.watch = lease.Watch{Since: f.now} // and the worker runs on
	f.takeOver()
	for len(h.runs) > 0 {
		f.run(10)
	}
	c.Check(f.now <= ends, qt.IsTrue)
	h.mute = false
	f.waitForGang(60_000)
}

// A handover tells of the time before the planner's own orders: a start may be on
// its way to the side. The fleet fails the test if the task runs twice.
func TestHandoverDoesNotCoverThePlannersOwnOrders(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	f.run(1000)
	f.submit(oneTask("a", 8))
	for f.records["a"] == nil {
		f.run(1)
	}
	m := f.host(f.records["a"].Tasks[0].Node).baseReport()
	m.Handover = &lease.Handover{Uptime: clock.Minute}
	f.send(m)
	f.finish(5000)
	qt.Check(t, f.records["a"].Tasks[0].Run, qt.Equals, 1)
}

// A deposed planner may extend leases for a while through a side that the new
// planner can't reach. Once the side is reached, it hands over what it passed on.
func TestGrantsOfADeposedPlannerAreWaitedFor(t *testing.T) {
	f := newFleet(t, 3, 3, workerResources)
	h := f.startGang()
	h.partitioned = true
	f.takeOver()
	for range 7 {
		f.run(1000)
		until := h.clock() + 5500
		h.watch.PassOn(until)
		h.leaseUntil = until
	}
	h.mute, h.partitioned = true, false
	f.connect(h)
	for len(h.runs) > 0 {
		f.run(10)
	}
	ends := f.now
	h.mute = false
	qt.Check(t, f.waitForGang(60_000) <= ends+1000+reactionTime, qt.IsTrue)
}

// A start that had no answer may be carried out by a new process with the same
// ID, after its worker's process is gone or has left. Its task is not started
// elsewhere before the new process refuses that start. The fleet fails the test
// if it runs twice.
func TestUnansweredStartOutlivesTheProcess(t *testing.T) {
	for _, left := range []bool{false, true} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("left=%t,takeover=%t", left, takeover), func(t *testing.T) {
				f := newFleet(t, 3, 3, workerResources)
				restartAt, late := f.now+1700, true
				f.orderDelay = func() clock.Millis {
					if late {
						late = false
						return restartAt + 1 - f.now // before any planner can warn the new process
					}
					return 0
				}
				f.submit(oneTask("a", 8))
				f.run(100)
				h := f.host(f.records["a"].Tasks[0].Node)
				h.announce(100)
				f.run(100)
				gone := h.baseReport()
				gone.Gone, gone.Departure = true, &lease.Departure{Unanswered: h.watch.Unanswered(f.now)}
				if left {
					f.send(gone)
				}
				h.vanish()
				if takeover {
					f.takeOver()
				}
				if left {
					f.send(gone) // a side repeats it to each planner
				}
				f.run(restartAt - f.now)
				h.restart()
				f.finish(30_000)
			})
		}
	}
}

// A side may report the end of its worker to a new planner before that planner
// has read the jobs that ran there.
func TestEndOfAWorkerIsReportedBeforeTheJobsAreRead(t *testing.T) {
	for _, deregistered := range []bool{false, true} {
		t.Run(fmt.Sprint(deregistered), func(t *testing.T) {
			f := newFleet(t, 3, 3, workerResources)
			h := f.startGang()
			h.vanish()
			gone := h.baseReport()
			gone.Gone, gone.Departure = deregistered, &lease.Departure{}
			f.rev++
			f.epoch = f.rev
			f.planner = f.newPlanner(f.epoch)
			f.send(plan.LinkMsg{Node: h.node, Up: true})
			f.send(gone)
			f.send(plan.ConfigMsg{Config: f.config})
			f.send(f.jobMsg("g"))
			for _, o := range f.hosts {
				if o != h {
					f.connect(o)
				}
			}
			if !deregistered {
				f.run(600)
				f.send(gone) // a side repeats it
			}
			f.waitForGang(5000)
		})
	}
}

// TestInvariantsHoldWhileWorkersVanish runs random jobs while workers announce
// their end and are gone or go on, stop to answer their sides, crash and restart,
// and planners change. Orders are carried out late with odd seeds. The fleet checks
// each start.
func TestInvariantsHoldWhileWorkersVanish(t *testing.T) {
	seeds := []uint64{63, 81, 83, 105}                              // a lease lapsed between an end and its acknowledgement
	seeds = append(seeds, 293, 357, 367, 431, 451, 687, 1219, 1367) // late starts met the next incarnation before late stops
	for seed := range uint64(60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			f := newFleet(t, 5, 3, workerResources)
			if seed%2 == 1 {
				f.orderDelay = delayedOrders(rand.New(rand.NewPCG(seed, 4)))
			}
			for i := range 14 {
				f.submit(randomJob(r, fmt.Sprintf("j%02d", i)))
				f.run(600)
				f.vanishSome(r)
			}
			for _, h := range f.hosts {
				h.mute = false
				if h.down || h.leaving {
					h.restart()
				}
			}
			f.finish(200_000)
		})
	}
}

// vanishSome injects one fault of a worker or its side, or changes the planner.
func (f *fleet) vanishSome(r *rand.Rand) {
	h := f.hosts[r.IntN(len(f.hosts))]
	switch r.IntN(6) {
	case 0:
		h.announce(clock.Millis(r.IntN(600)))
		f.run(clock.Millis(r.IntN(900)))
		if r.IntN(3) > 0 {
			h.vanish()
		}
	case 1:
		h.mute = !h.mute
	case 2:
		h.vanish()
	case 3:
		f.takeOver()
	case 4:
		if h.down {
			h.restart()
		}
	case 5:
		h.watch.Since = f.now // its side has restarted
	}
}

// The clock that dates the start of an incarnation may be set back between two of them. The later one
// replaces the earlier one all the same, as its side has seen them in this order.
func TestAnIncarnationReplacesItsPredecessorWhateverTheirClocksSay(t *testing.T) {
	for _, id := range []string{"i-00", "i-77"} {
		t.Run(id, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 1, 1, workerResources)
			h := f.hosts[0]
			h.restart()
			f.submit(oneTask("a", 8))
			f.run(500)
			c.Assert(h.runs, qt.HasLen, 1)
			h.setBack = 2000
			h.restartAs(id)
			f.run(1000)
			c.Check(h.runs, qt.HasLen, 1)
			f.finish(4000)
		})
	}
}

// Guards against a second run of a task that is done: a start that was left unanswered is carried out
// by the next incarnation under the same ID, before the stop that would refuse it, which is late too.
func TestALateStartIsRefusedByTheNextIncarnation(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover=", takeover), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 1, 1, workerResources)
			delays := []clock.Millis{4500, 0, 8000} // a start, the start that is sent again, a stop
			f.orderDelay = func() clock.Millis {
				if len(delays) == 0 {
					return 0
				}
				d := delays[0]
				delays = delays[1:]
				return d
			}
			f.submit(oneTask("a", 8))
			f.run(4000)
			c.Assert(f.records["a"].State, qt.Equals, task.Completed)
			if takeover {
				f.takeOver()
				f.run(100)
			}
			h := f.hosts[0]
			h.restart()
			f.run(12_000)
			c.Check(h.runs, qt.HasLen, 0)
			c.Check(h.lastEnd, qt.Equals, int64(0))
			f.submit(oneTask("b", 8))
			f.finish(5000)
		})
	}
}
