// Package retry limits retries: it has a retry budget, exponential backoff with
// jitter, a rate limiter, and an estimator of usual latencies.
package retry

import (
	"math/rand/v2"

	"gypsumcrank/core/clock"
)

const (
	// successesPerRetry is the number of successes that allow one retry.
	successesPerRetry = 10
	maxRetries        = 20
	initialRetries    = 5
)

// Budget limits retries to a share of successes: successes fill it and retries
// spend it. Create it with New; it is not safe for concurrent use.
//
//	if b.Spend() { send again }
type Budget struct {
	successes int
}

// New returns a budget that allows a few retries from the start.
func New() *Budget { return &Budget{successes: initialRetries * successesPerRetry} }

// Success adds a success to the budget.
func (b *Budget) Success() { b.successes = min(maxRetries*successesPerRetry, b.successes+1) }

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	if b.successes < successesPerRetry {
		return false
	}
	b.successes -= successesPerRetry
	return true
}

// Backoff generates delays that double from Initial up to Max. Each has jitter,
// so that many callers do not retry at the same moment.
type Backoff struct {
	Initial, Max clock.Millis

	attempts int
}

// Next returns the next delay.
func (b *Backoff) Next() clock.Millis {
	wait := min(b.Max, b.Initial<<min(b.attempts, 16))
	b.attempts++
	return Jitter(wait)
}

// Reset starts again from Initial.
func (b *Backoff) Reset() { b.attempts = 0 }

// Jitter returns a random delay between half of w and one and a half times w.
func Jitter(w clock.Millis) clock.Millis {
	return w/2 + clock.Millis(rand.Int64N(int64(w)+1))
}

// RateLimiter allows at most PerSecond events per second, with bursts of as
// many. Its zero state allows a full burst.
type RateLimiter struct {
	PerSecond int

	spent float64
	last  clock.Millis
}

// Allow reports whether an event may happen now, and counts it if so.
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

// LatencyEstimator estimates how long a call usually takes, as TCP does for
// round-trip times: it keeps a mean and a mean deviation. The zero value has no
// samples.
type LatencyEstimator struct {
	mean, deviation float64
	hasSample       bool
}

const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
	minUpperBound   = 100 * clock.Millisecond
)

// Observe records one sample.
func (e *LatencyEstimator) Observe(took clock.Millis) {
	t := float64(took)
	if !e.hasSample {
		e.mean, e.deviation, e.hasSample = t, t/2, true
		return
	}
	e.deviation += deviationWeight * (max(t-e.mean, e.mean-t) - e.deviation)
	e.mean += meanWeight * (t - e.mean)
}

// UpperBound returns the time after which a missing response is unusual.
func (e *LatencyEstimator) UpperBound() clock.Millis {
	return max(minUpperBound, clock.Millis(e.mean+deviationFactor*e.deviation))
}
