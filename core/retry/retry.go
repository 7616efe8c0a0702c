// Package retry bounds repeats: a budget that successes fill and retries
// spend, and waits that grow and are spread.
package retry

import (
	"math/rand/v2"

	"gypsumcrank/core/clock"
)

const (
	// successesPerRetry is how many successes pay for one retry.
	successesPerRetry = 10
	mostRetries       = 20
	startRetries      = 5
)

// Budget lets retries be at most a share of successes. Make it with New; it
// belongs to one goroutine.
//
//	if b.Spend() { send again }
type Budget struct {
	successes int
}

// New makes a budget that allows a few retries from the start.
func New() *Budget { return &Budget{successes: startRetries * successesPerRetry} }

// Success adds to the budget.
func (b *Budget) Success() { b.successes = min(mostRetries*successesPerRetry, b.successes+1) }

// Spend takes one retry from the budget, or returns false.
func (b *Budget) Spend() bool {
	if b.successes < successesPerRetry {
		return false
	}
	b.successes -= successesPerRetry
	return true
}

// Backoff gives waits that double from First up to Most, each spread over its
// upper half so that many callers do not come back together.
type Backoff struct {
	Initial, Max clock.Millis

	tries int
}

// Next gives the next wait.
func (b *Backoff) Next() clock.Millis {
	wait := min(b.Max, b.Initial<<min(b.tries, 16))
	b.tries++
	return Jitter(wait)
}

// Reset starts again from First.
func (b *Backoff) Reset() { b.tries = 0 }

// Jitter gives a wait between half of w and one and a half of it.
func Jitter(w clock.Millis) clock.Millis {
	return w/2 + clock.Millis(rand.Int64N(int64(w)+1))
}

// RateLimiter lets at most PerSecond things happen, with bursts of as many. The zero
// value of its state is full.
type RateLimiter struct {
	PerSecond int

	spent float64
	last  clock.Millis
}

// Allow lets one thing happen, or returns false.
func (r *RateLimiter) Allow(now clock.Millis) bool {
	since := float64(now-r.last) / float64(clock.Second)
	r.last = now
	r.spent = max(0, r.spent-since*float64(r.PerSecond))
	if r.spent+1 > float64(r.PerSecond) {
		return false
	}
	r.spent++
	return true
}

// LatencyEstimator follows how long something usually takes, the way TCP follows its round
// trips: a mean and a mean deviation. The zero value has seen nothing.
type LatencyEstimator struct {
	mean, spread float64
	seen         bool
}

const (
	meanWeight    = 0.125
	spreadWeight  = 0.25
	spreadFactor  = 4
	leastPatience = 100 * clock.Millisecond
)

// Observe notes one time taken.
func (u *LatencyEstimator) Observe(took clock.Millis) {
	t := float64(took)
	if !u.seen {
		u.mean, u.spread, u.seen = t, t/2, true
		return
	}
	u.spread += spreadWeight * (max(t-u.mean, u.mean-t) - u.spread)
	u.mean += meanWeight * (t - u.mean)
}

// UpperBound is after how long it is unusual that there is no answer.
func (u *LatencyEstimator) UpperBound() clock.Millis {
	return max(leastPatience, clock.Millis(u.mean+spreadFactor*u.spread))
}
