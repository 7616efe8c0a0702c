package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
)

// A job that is due for removal while an earlier write of its record is in flight
// is forgotten only once its deletion is stored. It was dropped when the earlier
// write returned, and would have been taken again, without its end, from a
// message that came late.
func TestJobIsKnownUntilItsDeletionIsStored(t *testing.T) {
	c := qt.New(t)
	p := &plan.Planner{Epoch: 1, Settings: plan.DefaultSettings()}
	taken := 0
	update := func(wall clock.Millis, msg any) *plan.Write {
		e := p.Update(plan.Instant{Monotonic: 1000, Wall: wall}, msg)
		for _, ev := range e.Events {
			if ev.Kind == "job_taken" {
				taken++
			}
		}
		return e.Write
	}
	update(0, plan.ConfigMsg{Config: (&route.Config{Version: 1}).Prepare()})
	update(0, plan.JobMsg{Job: oneTask("a", 1)})
	end := update(0, plan.CancelMsg{ID: "a"})
	later := plan.DefaultSettings().Retention + clock.Second
	c.Assert(update(later, plan.TickMsg{}), qt.IsNil) // due for removal, the write is in flight
	removal := update(later, plan.WrittenMsg{Seq: end.Seq, Revs: map[string]int64{"a": 5}})
	c.Assert(removal, qt.IsNotNil)
	c.Check(removal.Records[0].Progress, qt.IsNil)
	update(later, plan.JobMsg{Job: oneTask("a", 1)})
	c.Check(taken, qt.Equals, 1)
	update(later, plan.WrittenMsg{Seq: removal.Seq, Revs: map[string]int64{"a": 6}})
	update(later, plan.JobMsg{Job: oneTask("a", 1)}) // an ID that is used again
	c.Check(taken, qt.Equals, 2)
}

// After a takeover one member of a gang is known to be over before the worker of
// the other has reported. Once it reports, its run is stopped: alone it does
// nothing, and keeps the gang from running again.
func TestGangMemberInDoubtIsStoppedWithItsPeers(t *testing.T) {
	f := newFleet(t, 3, 3, workerResources)
	crashed := f.startGang()
	var other *host
	for _, h := range f.hosts {
		if h != crashed && len(h.runs) > 0 {
			other = h
		}
	}
	other.partitioned = true
	crashed.restart()
	f.takeOver()
	f.run(1000)
	other.partitioned = false
	f.connect(other)
	f.run(1000)
	for _, r := range other.runs {
		qt.Check(t, r.run, qt.Equals, 2)
	}
	qt.Check(t, f.gangMembers(), qt.Equals, 2)
}
