// Package evict decides what stopping running work loses, and how much may be lost for a
// request.
//
// It answers a load of short urgent jobs beside long gangs: one task of a second that stops
// a gang of a dozen workers destroys a hundred times its own work, and the gang, which has
// to wait for a dozen workers again, is stopped by the next one.
package evict

import (
	"math"

	"gypsumcrank/core/clock"
)

// Run is one running task.
type Run struct {
	Ran         clock.Millis
	Cores       float64
	Checkpoints bool
	Evictions   int // how often the task was evicted before
}

const (
	// RestoreLoss is what a checkpointing task loses when it is stopped: a stop writes a
	// checkpoint, so only the transfer and the restore are lost.
	RestoreLoss = 200 * clock.Millisecond
	// maxEvictions is how often a task is evicted before all others come first.
	maxEvictions = 2
	// againCost puts tasks that were evicted maxEvictions times behind all others, in
	// core-milliseconds.
	againCost = 1e8
)

// Loss returns the work that is lost, in core-milliseconds, if runs that can only be stopped
// together are.
func Loss(runs []Run) float64 {
	sum := 0.0
	for _, r := range runs {
		lost := r.Ran
		if r.Checkpoints {
			lost = min(lost, RestoreLoss)
		}
		sum += float64(lost) * r.Cores
	}
	return sum
}

// Cost returns the loss, and what makes the runs worse to choose than others.
func Cost(runs []Run) float64 {
	cost := Loss(runs)
	for _, r := range runs {
		if r.Evictions >= maxEvictions {
			return cost + againCost
		}
	}
	return cost
}

// Request is a request that work may be evicted for.
type Request struct {
	Work       float64 // its own work, in core-milliseconds
	Length     clock.Millis
	Deadline   clock.Millis // when its job becomes late
	Expiry     clock.Millis // when its job is worth nothing
	Guaranteed bool
}

// Weights of the work of a request against the work lost for it.
const (
	inTimeWeight = 6 // as a late urgent job costs its caller more than a late one of another class
	lateWeight   = 1
)

// Budget returns the most work that may be lost for a request that could start now. What is
// guaranteed has to be had whatever it costs; what can't end in time any more earns less,
// and what would end too late earns nothing.
func (r Request) Budget(now clock.Millis) float64 {
	switch end := now + r.Length; {
	case r.Guaranteed:
		return math.Inf(1)
	case end <= r.Deadline:
		return inTimeWeight * r.Work
	case end <= r.Expiry:
		return lateWeight * r.Work
	default:
		return 0
	}
}
