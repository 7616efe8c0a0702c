package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/centre"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
)

// newCentreFleet returns a fleet whose hosts alternate between the data centres
// north and south, where a closing has to be in force within a second. The fleet
// fails the test at a start that comes later.
func newCentreFleet(t *testing.T, hosts int) *fleet {
	f := newFleet(t, hosts, 2, workerResources)
	for i, h := range f.hosts {
		h.centre = []string{"north", "south"}[i%2]
	}
	f.closeDelay = clock.Second
	f.newPlanner = func(epoch int64) planner {
		s := plan.DefaultSettings()
		s.CloseDelay = f.closeDelay
		return &plan.Planner{Epoch: epoch, Settings: s}
	}
	f.closed.ConfirmedAt = func() clock.Millis { return f.now }
	f.closed.Apply()
	f.takeOver()
	return f
}

func (f *fleet) sendClosed() {
	if f.closed.Get() != nil && !f.operatorSilent {
		f.send(plan.ClosedMsg{Closed: f.closed.Get(), Confirmed: f.closed.Confirmed()})
	}
}

// closeCentre closes a data centre; the planner hears of it within 100 ms.
func (f *fleet) closeCentre(name string) {
	f.rev++
	if _, closed := f.closedAt[name]; !closed {
		f.closedAt[name] = f.now
	}
	f.closed.Apply(centre.Change{Name: name, Closed: true, Rev: f.rev})
}

func (f *fleet) reopenCentre(name string) {
	f.rev++
	delete(f.closedAt, name)
	f.closed.Apply(centre.Change{Name: name, Rev: f.rev})
}

// runningIn returns the number of runs in a data centre.
func (f *fleet) runningIn(name string) int {
	n := 0
	for _, h := range f.hosts {
		if h.centre == name {
			n += len(h.runs)
		}
	}
	return n
}

// The load of trouble-2 of bazaarlink: a data centre is closed under a backlog of
// tasks. 168 of them started there afterwards.
func TestNothingStartsInAClosedDataCentre(t *testing.T) {
	f := newCentreFleet(t, 6)
	for i := range 6 {
		f.submit(batchJob(fmt.Sprint("grain", i), 24))
	}
	f.run(2000)
	c := qt.New(t)
	c.Assert(f.runningIn("north") > 0, qt.IsTrue)
	f.closeCentre("north")
	f.run(25_000)
	c.Check(f.runningIn("north"), qt.Equals, 0)
	c.Check(f.lostWork, qt.Equals, 0.0) // what ran there has ended by itself
	c.Check([]int{f.events["data_centre_closing"], f.events["data_centre_closed"], f.events["data_centre_empty"]}, qt.DeepEquals, []int{1, 1, 1})
	c.Check(f.events["waits_while_closed"] > 0, qt.IsTrue)
	f.reopenCentre("north")
	f.run(1000)
	c.Check(f.runningIn("north") > 0, qt.IsTrue)
	c.Check(f.events["data_centre_reopened"], qt.Equals, 1)
	f.finish(80_000)
}

// Two closings that overlap, one of them twice and taken back at once.
func TestClosingsOverlap(t *testing.T) {
	f := newCentreFleet(t, 4)
	f.submit(batchJob("grain", 200))
	f.closeCentre("north")
	f.run(1000)
	f.closeCentre("north")
	f.closeCentre("south")
	f.run(15_000)
	c := qt.New(t)
	c.Check([]int{f.runningIn("north"), f.runningIn("south")}, qt.DeepEquals, []int{0, 0})
	f.reopenCentre("south")
	f.run(500)
	c.Check(f.runningIn("south") > 0, qt.IsTrue)
	c.Check(f.runningIn("north"), qt.Equals, 0)
	f.closeCentre("south")
	f.run(50)
	f.reopenCentre("south")
	f.reopenCentre("north")
	f.run(500)
	c.Check(f.runningIn("north") > 0, qt.IsTrue)
}

// A start that is recorded, and not yet ordered when its data centre is closed, goes
// to another worker. A gang that is half inside is placed again as a whole.
func TestRecordedStartsAreWithdrawnFromAClosedDataCentre(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newCentreFleet(t, 4)
		f.closeDelay = 200 * clock.Millisecond
		f.storeDelay = 600
		j := oneTask("a", 8)
		j.Steps[0].Count, j.Steps[0].Gang = 2, gang
		f.submit(j)
		f.run(100)
		f.closeCentre("north")
		f.finish(8000)
		qt.Check(t, f.events["gang_not_whole"], qt.Equals, 0)
	}
}

// A start without an answer is not sent again once its data centre is closed: the
// side was unreachable when it was closed.
func TestUnansweredStartIsNotResentToAClosedDataCentre(t *testing.T) {
	f := newCentreFleet(t, 2)
	f.closeDelay = 400 * clock.Millisecond
	f.hosts[1].partitioned, f.hosts[1].down = true, true
	f.submit(oneTask("a", 8))
	f.run(10) // recorded; the order is on its way
	h := f.hosts[0]
	h.partitioned = true
	f.run(10)
	f.send(plan.LinkMsg{Node: h.node})
	f.closeCentre("north")
	f.run(500)
	h.partitioned = false
	f.connect(h)
	f.run(3000)
	qt.Check(t, f.runningIn("north"), qt.Equals, 0)
	f.reopenCentre("north")
	f.finish(8000)
}

// A new planner learns what is closed before it places anything, and waits if it
// can't.
func TestNewPlannerPlacesNothingBeforeItKnowsWhatIsClosed(t *testing.T) {
	f := newCentreFleet(t, 4)
	f.closeCentre("north")
	f.run(1200)
	f.operatorSilent = true
	f.takeOver()
	f.submit(batchJob("grain", 40))
	f.run(2000)
	c := qt.New(t)
	c.Check([]int{f.runningIn("north"), f.runningIn("south")}, qt.DeepEquals, []int{0, 0})
	f.operatorSilent = false
	f.run(500)
	c.Check(f.runningIn("north"), qt.Equals, 0)
	c.Check(f.runningIn("south"), qt.Equals, 16)
}

// A planner that has heard nothing from the operator for too long starts nothing,
// not even what is recorded already: it was paused, or its host can't reach the
// store.
func TestNothingStartsWhileClosingsMayBeUnknown(t *testing.T) {
	f := newCentreFleet(t, 4)
	f.storeDelay = 900
	f.submit(batchJob("grain", 40))
	f.run(100)
	f.operatorSilent = true
	f.closeCentre("north")
	f.run(3000)
	c := qt.New(t)
	c.Check([]int{f.runningIn("north"), f.runningIn("south")}, qt.DeepEquals, []int{0, 0})
	f.operatorSilent = false
	c.Check(f.events["starts_held"], qt.Equals, 1)
	f.run(200) // the recorded starts in the south are ordered without another write
	c.Check(f.runningIn("south"), qt.Equals, 16)
	c.Check(f.runningIn("north"), qt.Equals, 0)
	c.Check(f.events["starts_released"], qt.Equals, 1)
}

// Guards against starts in a data centre that was closed while the planner's host was
// suspended: the time of the last confirmation is then earlier than it seemed before.
func TestNothingStartsAfterASuspensionUntilClosingsAreConfirmed(t *testing.T) {
	f := newCentreFleet(t, 4)
	slept := clock.Millis(0)
	f.closed.ConfirmedAt = func() clock.Millis { return f.now - slept }
	f.run(500)
	slept = 5 * clock.Second
	f.run(100)
	f.submit(batchJob("grain", 40))
	f.run(500)
	c := qt.New(t)
	c.Check([]int{f.runningIn("north"), f.runningIn("south")}, qt.DeepEquals, []int{0, 0})
	slept = 0
	f.run(500)
	c.Check(f.runningIn("north")+f.runningIn("south") > 0, qt.IsTrue)
}

// A worker whose side does not report a data centre gets nothing while any is
// closed, until its side does.
func TestWorkerOfUnknownDataCentreCountsAsClosed(t *testing.T) {
	f := newCentreFleet(t, 2)
	f.hosts[0].centre = ""
	f.takeOver()
	f.submit(batchJob("grain", 40))
	f.run(500)
	c := qt.New(t)
	c.Check([]int{len(f.hosts[0].runs), len(f.hosts[1].runs)}, qt.DeepEquals, []int{8, 8})
	f.closeCentre("west")
	f.run(12_000)
	c.Check([]int{len(f.hosts[0].runs), len(f.hosts[1].runs)}, qt.DeepEquals, []int{0, 8})
	f.hosts[0].centre = "north"
	f.run(1000)
	c.Check([]int{len(f.hosts[0].runs), len(f.hosts[1].runs)}, qt.DeepEquals, []int{8, 8})
}

// Guaranteed work that needs more than is left outside waits, and the log says so.
func TestGuaranteedWorkThatNeedsAClosedDataCentre(t *testing.T) {
	f := newCentreFleet(t, 4)
	f.config.Accounts["a"] = route.Account{Name: "a", Accelerators: 24}
	f.closeCentre("north")
	f.run(1500)
	c := qt.New(t)
	c.Check(f.events["guarantees_exceed_open_capacity"], qt.Equals, 1)
	j := urgentJob("wide", 3, 8, 1000)
	j.Account, j.Steps[0].Gang = "a", true
	f.submit(j)
	f.run(5000)
	c.Check(f.events["waits_while_closed"], qt.Equals, 1)
	c.Check(f.records["wide"] == nil || !f.records["wide"].Started, qt.IsTrue)
	f.reopenCentre("north")
	f.finish(5000)
}

// Random jobs while data centres are closed and reopened, planners are replaced, and
// workers, links and the store fail. The fleet checks each start.
func TestClosingsHoldUnderRandomFailures(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			f := newCentreFleet(t, 6)
			for i := range 14 {
				f.submit(randomJob(r, fmt.Sprintf("j%02d", i)))
				f.run(300)
				name := []string{"north", "south"}[r.IntN(2)]
				switch r.IntN(4) {
				case 0, 1:
					f.closeCentre(name)
				case 2:
					f.reopenCentre(name)
				case 3:
					f.operatorSilent = !f.operatorSilent
				}
				f.run(300)
				injectFault(f, r)
			}
			f.storeDown, f.operatorSilent = false, false
			f.reopenCentre("north")
			f.reopenCentre("south")
			for _, h := range f.hosts {
				if h.partitioned {
					h.partitioned = false
					f.connect(h)
				}
			}
			f.finish(200_000)
		})
	}
}
