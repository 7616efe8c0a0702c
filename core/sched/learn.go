package sched

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/spec"
)

// estimateWeight is the weight of the newest run in the moving average.
const estimateWeight = 0.3

// Estimates corrects declared run times by a moving average of actual over
// declared time, per client account and service. The zero value corrects
// nothing. It is not safe for concurrent use.
type Estimates struct {
	ratio map[string]float64
}

func estimateKey(account string, j spec.Job) string { return account + "/" + j.Service }

// Learn updates the correction with the actual run time of a job. Jobs without
// an estimate are ignored.
func (e *Estimates) Learn(account string, j spec.Job, actual clock.Millis) {
	if j.Estimate <= 0 {
		return
	}
	if e.ratio == nil {
		e.ratio = make(map[string]float64)
	}
	key := estimateKey(account, j)
	old, ok := e.ratio[key]
	if !ok {
		old = 1
	}
	e.ratio[key] = old + estimateWeight*(float64(actual)/float64(j.Estimate)-old)
}

// Correct returns the job with its estimate corrected, to one second at least.
func (e *Estimates) Correct(account string, j spec.Job) spec.Job {
	if ratio, ok := e.ratio[estimateKey(account, j)]; ok && j.Estimate > 0 {
		j.Estimate = max(clock.Second, clock.Millis(float64(j.Estimate)*ratio))
	}
	return j
}
