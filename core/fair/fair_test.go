package fair_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
	"gypsumcrank/core/task"
)

var class = fair.Class{Service: "svc", Priority: 1}

// ledger returns a ledger in which the accounts have had these demands for long.
func ledger(demand map[string]float64) *fair.Ledger {
	l := &fair.Ledger{HalfLife: fair.DefaultHalfLife}
	l.Update(0, nil)
	l.Update(clock.Hour, map[fair.Class]map[string]float64{class: demand})
	return l
}

func TestRanks(t *testing.T) {
	ten := map[string]int{}
	for i := range 10 {
		ten[fmt.Sprint("a", i)] = 0
	}
	for _, test := range []struct {
		name       string
		guarantees map[string]int
		demand     map[string]float64
		wait       clock.Millis // of the request of a0; that of a1 is new
		want       []fair.Rank  // of a0 and a1
	}{
		{"a flood of one of ten", ten, map[string]float64{"a0": 3, "a1": 0.1}, 1000, []fair.Rank{fair.OverShare, fair.Normal}},
		{"nobody has waited", ten, map[string]float64{"a0": 3, "a1": 0.1}, 100, []fair.Rank{fair.Normal, fair.Normal}},
		{"the service holds all", ten, map[string]float64{"a0": 0.6, "a1": 0.1}, 1000, []fair.Rank{fair.Normal, fair.Normal}},
		{"half of all ask for more", ten, map[string]float64{"a0": 0.6, "a1": 0.5, "a2": 0.5, "a3": 0.4, "a4": 0.4}, 1000, []fair.Rank{fair.Normal, fair.Normal}},
		{"a large account asks for what it is guaranteed", map[string]int{"a0": 90, "a1": 10}, map[string]float64{"a0": 3, "a1": 0.1}, 1000, []fair.Rank{fair.Normal, fair.Normal}},
		{"a small account asks for as much", map[string]int{"a0": 10, "a1": 90}, map[string]float64{"a0": 3, "a1": 0.1}, 1000, []fair.Rank{fair.OverShare, fair.Normal}},
		{"a flood has waited for long", ten, map[string]float64{"a0": 3, "a1": 0.1}, fair.AgeLimit, []fair.Rank{fair.Aged, fair.Normal}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := 2 * clock.Hour
			requests := []fair.Request{{Class: class, Account: "a0", Since: now - test.wait}, {Class: class, Account: "a1", Since: now}}
			got := fair.Ranks(now, requests, ledger(test.demand), fair.Weights(test.guarantees))
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// An account's debt is forgotten after a few half-lives.
func TestDebtFades(t *testing.T) {
	l := ledger(map[string]float64{"a0": 3})
	l.Update(clock.Hour+fair.DefaultHalfLife, nil)
	qt.Check(t, fmt.Sprintf("%.2f", l.Mean(class)["a0"]), qt.Equals, "1.50")
	l.Update(2*clock.Hour, nil)
	qt.Check(t, l.Mean(class), qt.HasLen, 0)
}

// No request starves. Each second one request is placed and two more urgent ones
// arrive. The n-th oldest request goes first at the latest n placements after
// AgeLimit.
func TestWaitIsBounded(t *testing.T) {
	type waiting struct {
		fair.Request
		deadline clock.Millis
	}
	var queue []waiting
	const patient = 5
	for range patient {
		queue = append(queue, waiting{fair.Request{Class: class, Account: "patient"}, clock.Hour})
	}
	demand := ledger(map[string]float64{"patient": 5, "urgent": 1})
	placed := 0
	for now := clock.Millis(0); placed < patient; now += clock.Second {
		qt.Assert(t, now <= fair.AgeLimit+patient*clock.Second, qt.IsTrue, qt.Commentf("%d placed after %s", placed, now))
		for range 2 {
			queue = append(queue, waiting{fair.Request{Class: class, Account: "urgent", Since: now}, now + 2*clock.Second})
		}
		requests := make([]fair.Request, len(queue))
		for i, w := range queue {
			requests[i] = w.Request
		}
		ranks := fair.Ranks(now, requests, demand, nil)
		order := make([]int, len(queue))
		for i := range order {
			order[i] = i
		}
		sort.SliceStable(order, func(i, j int) bool {
			a, b := order[i], order[j]
			if ranks[a] != ranks[b] {
				return ranks[a] < ranks[b]
			}
			return queue[a].deadline < queue[b].deadline
		})
		first := order[0]
		if queue[first].Account == "patient" {
			placed++
		}
		queue = append(queue[:first], queue[first+1:]...)
	}
}

func ExampleDominantShare() {
	worker := task.Resources{MilliCPU: 128_000, MemoryMB: 524_288, Accelerators: 8}
	fmt.Println(fair.DominantShare(task.Resources{MilliCPU: 16_000, MemoryMB: 1024, Accelerators: 4}, worker))
	// Output: 0.5
}
