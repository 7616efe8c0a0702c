package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
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
	removal := update(later, plan.WrittenMsg{Seq: end.Seq, Rev: 5})
	c.Assert(removal, qt.IsNotNil)
	c.Check(removal.Records[0].Value, qt.IsNil)
	update(later, plan.JobMsg{Job: oneTask("a", 1)})
	c.Check(taken, qt.Equals, 1)
	update(later, plan.WrittenMsg{Seq: removal.Seq, Rev: 6})
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

// A run that a worker no longer lists, and whose end it does not list either, is
// started again, also if the side's connection was lost since the run began.
func TestVanishedRunIsNoticedAfterAReconnect(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	f.submit(oneTask("a", 8))
	f.run(500)
	h := f.hosts[0]
	f.send(plan.LinkMsg{Node: h.node})
	f.connect(h)
	f.run(1000)
	qt.Assert(t, h.runs["a.0.0.0"], qt.IsNotNil)
	delete(h.runs, "a.0.0.0")
	f.run(4000)
	f.finish(4000)
}

// A list that was requested before the connection was lost may arrive after it
// was made again, and lacks a run that was started since it was requested.
func TestListRequestedBeforeAReconnectIsNoProof(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	h := f.hosts[0]
	f.run(100)
	old := h.baseReport()
	old.Epoch, old.Clock, old.AnsweredOrders = f.epoch, h.clock(), h.answers
	f.submit(oneTask("a", 8))
	f.run(200)
	f.send(plan.LinkMsg{Node: h.node})
	f.connect(h)
	f.send(old)
	f.finish(4000)
	qt.Check(t, f.records["a"].Tasks[0].Run, qt.Equals, 1)
}

// Guards against a gang being given up after fewer failed runs than it may have: two members that
// failed in the same run counted as two failed runs, also when the planner changed between their ends.
func TestMembersThatFailInOneRunCountOnce(t *testing.T) {
	for _, test := range []struct {
		name        string
		apart       bool // the second end is listed after the first was recorded
		takeover    bool // another planner reads the record in between
		attempts    int
		runsAllowed int
	}{
		{"in one report", false, false, 2, 2},
		{"one after the other", true, false, 2, 2},
		{"planner replaced in between", true, true, 2, 2},
		{"three attempts", true, true, 3, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 8, 3, workerResources)
			g := gangOfTwo("g")
			g.Attempts = test.attempts
			f.submit(g)
			for run := 1; run <= test.runsAllowed; run++ {
				f.waitForGang(60_000)
				c.Assert(f.records["g"].Tasks[0].Run, qt.Equals, run)
				f.run(1000)
				var members []*host
				for _, h := range f.hosts {
					if len(h.runs) > 0 {
						members = append(members, h)
					}
				}
				second := members[1]
				second.partitioned = test.apart
				for _, h := range members {
					h.end(h.names()[0], plan.EndFailed)
				}
				if test.apart {
					f.run(300)
					if test.takeover {
						f.takeOver()
						f.run(300)
					}
					second.partitioned = false
					f.connect(second)
				}
				f.run(300)
				c.Assert(f.records["g"].State.Ended(), qt.Equals, run == test.runsAllowed, qt.Commentf("run %d", run))
			}
			c.Check(f.records["g"].State, qt.Equals, task.Failed)
		})
	}
}

// Guards against a second run of tasks that are done: a worker lists its ended tasks a part at a
// time, and a run that is missing from a part was taken for one that never started or is over.
func TestARunMissingFromAPartOfTheEndsIsNotOver(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble func(f *fleet, h *host)
	}{
		{"in doubt after a takeover", func(f *fleet, h *host) {
			h.partitioned = true
			f.run(1500)
			h.partitioned = false
			f.takeOver()
		}},
		{"running behind a slow store", func(f *fleet, h *host) {
			f.storeDelay = 1200
			f.run(3000)
		}},
		{"stopping behind a slow store", func(f *fleet, h *host) {
			f.storeDelay = 1200
			f.run(450)
			h.announce(200) // what the planner believes to run there is stopped
			f.run(3000)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 2, 1, workerResources)
			f.endsPerList = 5
			many := oneTask("a", 0)
			many.Steps[0].Count, many.Steps[0].Need = 40, task.Resources{MilliCPU: 100, MemoryMB: 10}
			f.submit(many)
			f.run(1500)
			h := f.host(f.records["a"].Tasks[0].Node)
			c.Assert(h.runs, qt.HasLen, 40)
			test.trouble(f, h)
			f.finish(60_000)
			for _, m := range f.records["a"].Tasks {
				c.Check(m.Run, qt.Equals, 1, qt.Commentf("task %d", m.Index))
			}
		})
	}
}

// Guards against tasks that wait for seconds although their worker has come back: each stop that was sent again
// counted as the one that the next list had to be called for after, and a list takes almost as long as
// the time between two of them.
func TestAStopThatIsSentAgainDelaysNoRelease(t *testing.T) {
	for offset := clock.Millis(0); offset < 1000; offset += 100 {
		c := qt.New(t)
		f := newFleet(t, 1, 1, workerResources)
		h := f.hosts[0]
		long := oneTask("a", 8)
		long.Steps[0].Estimate = 10_000
		f.submit(long)
		f.run(1500 + offset)
		c.Assert(h.runs, qt.HasLen, 1)
		h.restart()
		f.run(2500)
		c.Check(f.records["a"].Tasks[0].Run, qt.Equals, 2, qt.Commentf("offset %s", offset))
	}
}
