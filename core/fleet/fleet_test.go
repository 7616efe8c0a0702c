package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/life"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

func report(name string, seq int64) proto.ReportMsg {
	return proto.ReportMsg{Agent: name, Incarnation: "l1", Seq: seq, Worker: spec.Worker{Service: "s", Slots: 4}}
}

// An agent that sends no heartbeats becomes silent and gets no work.
func ExampleFleet_Tick() {
	f := fleet.New("entry-1")
	f.Report(0, report("agent-1", 1), "entry-1")
	fmt.Println(f.Tick(clock.Second), f.Slots("s"))
	fmt.Println(f.Tick(4*clock.Second), f.Slots("s"))
	// Output:
	// [] 4
	// [agent-1] 0
}

func TestOlderReportsAreIgnoredAndDigestsAgree(t *testing.T) {
	c := qt.New(t)
	f, g := fleet.New("entry-1"), fleet.New("entry-2")
	c.Assert(f.Report(0, report("a", 5), "entry-1"), qt.IsTrue)
	c.Assert(f.Report(0, report("a", 4), "entry-1"), qt.IsFalse)
	later := report("a", 1)
	later.Incarnation = "l2"
	c.Assert(f.Report(0, later, "entry-1"), qt.IsTrue)
	c.Assert(f.Report(0, report("a", 9), "entry-1"), qt.IsFalse)
	c.Assert(f.Digest("entry-1"), qt.Not(qt.Equals), g.Digest("entry-1"))
	g.Replace(0, "entry-1", f.Reports("entry-1"), true)
	c.Assert(f.Digest("entry-1"), qt.Equals, g.Digest("entry-1"))
	g.Replace(0, "entry-1", nil, true)
	a, _ := g.Get("a")
	c.Assert(a.State(), qt.Equals, life.Silent)
}

// A home that has just restarted lists none of its agents, as it has not heard from
// them yet. The other entries keep sending them work; one that does not come back
// becomes silent after its home's next complete list.
func TestListOfRestartedHomeSilencesNoAgent(t *testing.T) {
	c := qt.New(t)
	f := fleet.New("entry-1")
	f.Report(0, report("a", 1), "entry-2")
	f.Replace(clock.Second, "entry-2", nil, false)
	c.Assert(f.Slots("s"), qt.Equals, 4)
	f.Replace(2*clock.Second, "entry-2", nil, true)
	c.Assert(f.Slots("s"), qt.Equals, 0)
}

// Heartbeats of another entry keep the agents whose home it is alive; without
// them these agents become silent.
func TestSilentHomeSilencesItsAgents(t *testing.T) {
	c := qt.New(t)
	f := fleet.New("entry-1")
	f.Report(0, report("a", 1), "entry-2")
	for now := clock.Second; now < 20*clock.Second; now += clock.Second {
		f.HomeAlive(now, "entry-2")
		c.Assert(f.Tick(now), qt.HasLen, 0)
	}
	c.Assert(f.Tick(19*clock.Second+fleet.HomeSilenceTimeout+1), qt.DeepEquals, []string{"a"})
}

// An endpoint on which every request fails is quarantined after three attempts.
// It then gets only probes by idempotent work, and one success ends the
// quarantine.
func TestQuarantineAndProbe(t *testing.T) {
	c := qt.New(t)
	f := fleet.New("entry-1")
	f.Report(0, report("a", 1), "entry-1")
	for i := range 3 {
		f.Sent("a")
		quarantined := f.Returned(0, "a", fmt.Sprint("request-", i), 5, fleet.Unhealthy)
		c.Assert(quarantined, qt.Equals, i == 2)
	}
	_, ok := f.Pick(clock.Second, "s", nil, true)
	c.Assert(ok, qt.IsFalse)
	_, ok = f.Pick(6*clock.Second, "s", nil, false)
	c.Assert(ok, qt.IsFalse)
	a, ok := f.Pick(6*clock.Second, "s", nil, true)
	c.Assert(ok && a.State() == life.Probing, qt.IsTrue)
	_, ok = f.Pick(6*clock.Second, "s", nil, true)
	c.Assert(ok, qt.IsFalse)
	f.Returned(7*clock.Second, "a", "request-9", 5, fleet.Healthy)
	c.Assert(a.State(), qt.Equals, life.Ready)
}

// One request that fails everywhere does not put an endpoint into quarantine.
func TestOneFailingRequestDoesNotQuarantine(t *testing.T) {
	c := qt.New(t)
	f := fleet.New("entry-1")
	f.Report(0, report("a", 1), "entry-1")
	for range 10 {
		c.Assert(f.Returned(0, "a", "the-same", 5, fleet.Unhealthy), qt.IsFalse)
	}
}

func TestHeartbeatIntervalStaysWithinBudget(t *testing.T) {
	c := qt.New(t)
	c.Assert(fleet.HeartbeatInterval(3), qt.Equals, fleet.MinHeartbeatInterval)
	c.Assert(fleet.HeartbeatInterval(75) > 8*clock.Second, qt.IsTrue)
}

// BenchmarkView measures what an entry's view costs besides messages: a tick
// ten times a second, a digest for each peer's heartbeat, and a pick for each
// request.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{50, 225, 450} {
		f := fleet.New("entry-1")
		for i := range n {
			f.Report(0, report(fmt.Sprint("agent-", i), 1), fmt.Sprint("entry-", i%6))
		}
		b.Run(fmt.Sprintf("tick/agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.Tick(0)
			}
		})
		b.Run(fmt.Sprintf("digest/agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.Digest("entry-1")
			}
		})
		b.Run(fmt.Sprintf("pick/agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.Pick(0, "s", nil, true)
			}
		})
	}
}
