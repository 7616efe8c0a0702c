package plan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Guards against a minute's quarantine after a batch of failures (LOST on sanad-hq-grown
// scale-1): each of eight tasks of a job that failed together doubled it.
func TestABatchOfFailuresCountsOnce(t *testing.T) {
	c := qt.New(t)
	var h plan.Health
	h.Failed(1000, "a", 500)
	for range 8 {
		h.Failed(1010, "b", 500)
	}
	h.Failed(1020, "c", 900) // it ran before the quarantine began
	c.Check(h.Quarantined(1010+2999), qt.IsTrue)
	c.Check(h.Quarantined(1020+3000), qt.IsFalse)
	h.Failed(5000, "c", 4500)
	c.Check(h.Quarantined(5000+5999), qt.IsTrue)
	c.Check(h.Quarantined(5000+6000), qt.IsFalse)
}

// A spell of failures on three workers of a rack, with several tasks each, must not keep a
// gang waiting that needs that rack when the spell is over.
func TestAGangStartsAfterASpellOfFailures(t *testing.T) {
	for _, pause := range []clock.Millis{2000, 3500} {
		f := newFleet(t, 8, 4, workerResources)
		bad := map[string]bool{"side-00": true, "side-01": true, "side-02": true}
		ends := f.now + 2000
		f.fails = func(n task.Name, _ int, h *host) bool { return f.now < ends && n.Job != "long" && bad[h.node] }
		long := jobOf("long", 4, 60_000, 8)
		long.Steps[0].DataRack = "r1"
		f.submit(long)
		f.run(300)
		for i := range 2 {
			j := jobOf(fmt.Sprintf("batch%d", i), 24, 800, 1)
			j.Attempts = 9
			j.Steps[0].DataRack = "r0"
			f.submit(j)
			f.run(200)
		}
		f.run(2000 + pause)
		gang := jobOf("gang", 4, 1000, 8)
		gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
		f.submit(gang)
		f.run(4000)
		qt.Check(t, f.started("gang"), qt.IsTrue, qt.Commentf("submitted %s after the spell", pause))
	}
}
