package evict_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/evict"
)

func ExampleLoss() {
	member := evict.Run{Ran: 8 * clock.Second, Cores: 77}
	saved := member
	saved.Checkpoints = true
	fmt.Println(evict.Loss([]evict.Run{member, member}), evict.Loss([]evict.Run{saved, saved}))
	// Output: 1.232e+06 30800
}

func TestTasksThatWereEvictedTwiceComeLast(t *testing.T) {
	long, short := evict.Run{Ran: clock.Hour, Cores: 16}, evict.Run{Ran: clock.Second, Cores: 16}
	qt.Check(t, evict.Cost([]evict.Run{short}) < evict.Cost([]evict.Run{long}), qt.IsTrue)
	short.Evictions = 2
	qt.Check(t, evict.Cost([]evict.Run{short}) > evict.Cost([]evict.Run{long}), qt.IsTrue)
	qt.Check(t, evict.Cost([]evict.Run{long, short}) > evict.Cost([]evict.Run{long, long}), qt.IsTrue)
}

func TestBudgetFollowsWhatTheRequestCanEarn(t *testing.T) {
	r := evict.Request{Work: 100, Length: 1000, Deadline: 2000, Expiry: 6000}
	for now, want := range map[clock.Millis]float64{0: 600, 1000: 600, 1001: 100, 5000: 100, 5001: 0} {
		qt.Check(t, r.Budget(now), qt.Equals, want, qt.Commentf("at %s", now))
	}
	r.Guaranteed = true
	qt.Check(t, r.Budget(9000), qt.Equals, math.Inf(1))
}
