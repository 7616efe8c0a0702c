package plan

import (
	"math"

	"gypsumcrank/core/clock"
)

// Parameters of the durations that are learned for each queue.
const (
	// minSamples is how many runs must have ended before they count.
	minSamples = 3
	// newestWeight is the least weight of the newest run, so that old ones fade.
	newestWeight = 0.1
	// minVariance keeps either source from being trusted without limit.
	minVariance = 0.01
)

// durationStats summarizes the ended runs of a queue, as logarithms: their
// durations, and the error of their estimates.
type durationStats struct {
	samples       int
	mean          float64
	variance      float64 // of the durations
	estimateError float64 // mean squared error of the estimates
}

// add records the duration of one complete run.
func (l *durationStats) add(took, estimate clock.Millis) {
	if took <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(float64(took))
	e := x - math.Log(float64(estimate))
	l.samples++
	w := max(newestWeight, 1/float64(l.samples))
	d := x - l.mean
	l.mean += w * d
	l.variance += w * (d*d*(1-w) - l.variance)
	l.estimateError += w * (e*e - l.estimateError)
}

// predict combines an estimate with the durations of earlier runs, each
// weighted by the inverse of its mean squared error.
func (l *durationStats) predict(estimate clock.Millis) clock.Millis {
	if l == nil || l.samples < minSamples || estimate <= 0 {
		return estimate
	}
	we, wm := 1/max(l.estimateError, minVariance), 1/max(l.variance, minVariance)
	x := (we*math.Log(float64(estimate)) + wm*l.mean) / (we + wm)
	return clock.Millis(math.Exp(x))
}

// learnDuration records the duration of a task that ended done, unless the run
// resumed from a checkpoint or crossed racks.
func (p *Planner) learnDuration(u *unit) {
	p.observeEnd(u)
	if u.resumed || u.crossRack || u.confirmedAt == 0 {
		return
	}
	l := p.durations[u.job.Queue]
	if l == nil {
		l = &durationStats{}
		p.durations[u.job.Queue] = l
	}
	l.add(clock.Millis(float64(p.now.Monotonic-u.confirmedAt)/p.gangFactor(u)), u.step.Estimate)
}

// expectedDuration returns how long a task of a job's step is expected to take
// from its start.
func (p *Planner) expectedDuration(j *job, step int) clock.Millis {
	return p.durations[j.Queue].predict(j.Steps[step].Estimate)
}
