package retry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/retry"
)

// Without successes only the initial retries are allowed.
func ExampleBudget() {
	b := retry.New()
	n := 0
	for b.Spend() {
		n++
	}
	fmt.Println(n)
	for range 10 {
		b.Success()
	}
	fmt.Println(b.Spend(), b.Spend())
	// Output:
	// 5
	// true false
}

func TestBackoffAndRateLimiter(t *testing.T) {
	c := qt.New(t)
	b := retry.Backoff{Initial: 100, Max: 1000}
	for range 20 {
		w := b.Next()
		c.Assert(w >= 50 && w <= 1501, qt.IsTrue)
	}
	r := retry.RateLimiter{PerSecond: 5}
	now, taken := clock.Millis(1000000), 0
	for range 3000 {
		now++
		if r.Allow(now) {
			taken++
		}
	}
	c.Assert(taken >= 15 && taken <= 21, qt.IsTrue, qt.Commentf("%d", taken))
}

func TestLatencyEstimatorFollowsSamples(t *testing.T) {
	c := qt.New(t)
	u := &retry.LatencyEstimator{}
	for range 50 {
		u.Observe(200)
	}
	c.Assert(u.UpperBound() >= 200 && u.UpperBound() < 220, qt.IsTrue, qt.Commentf("%s", u.UpperBound()))
	for i := range 50 {
		u.Observe(clock.Millis(100 + 200*(i%2)))
	}
	c.Assert(u.UpperBound() > 400, qt.IsTrue, qt.Commentf("%s", u.UpperBound()))
}
