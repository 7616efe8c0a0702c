package sched

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/spec"
)

// estimateWeight is how fast a correction follows what is seen.
const estimateWeight = 0.3

// Estimates corrects declared run times by experience, per client account and
// service. The zero value believes what it is told; it belongs to one goroutine.
type Estimates struct {
	ratio map[string]float64
}

func estimateKey(account string, j spec.Job) string { return account + "/" + j.Service }

// Learn notes how long a job really ran.
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

// Correct gives the job with its run time as experience has it.
func (e *Estimates) Correct(account string, j spec.Job) spec.Job {
	if ratio, ok := e.ratio[estimateKey(account, j)]; ok && j.Estimate > 0 {
		j.Estimate = max(clock.Second, clock.Millis(float64(j.Estimate)*ratio))
	}
	return j
}
