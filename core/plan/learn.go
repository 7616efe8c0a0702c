package plan

import (
	"math"

	"gypsumcrank/core/clock"
)

// Bounds of what is learnt about a queue's tasks.
const (
	// learnFrom is how many runs must have ended before they count.
	learnFrom = 3
	// forget is the weight of the newest run, so that old ones fade.
	forget = 0.1
	// leastVariance keeps either source from being trusted without limit.
	leastVariance = 0.01
)

// lengths is what ended runs of a queue tell about the next: how long they
// took, and how far their estimates were off, as logarithms.
type lengths struct {
	n        int
	mean     float64
	spread   float64 // variance of the lengths
	estimate float64 // mean square error of the estimates
}

// add learns from one whole run.
func (l *lengths) add(took, estimate clock.Millis) {
	if took <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(float64(took))
	e := x - math.Log(float64(estimate))
	l.n++
	w := max(forget, 1/float64(l.n))
	d := x - l.mean
	l.mean += w * d
	l.spread += w * (d*d*(1-w) - l.spread)
	l.estimate += w * (e*e - l.estimate)
}

// expect weighs an estimate against the lengths of earlier runs, each by how
// far off it was.
func (l *lengths) expect(estimate clock.Millis) clock.Millis {
	if l == nil || l.n < learnFrom || estimate <= 0 {
		return estimate
	}
	we, wm := 1/max(l.estimate, leastVariance), 1/max(l.spread, leastVariance)
	x := (we*math.Log(float64(estimate)) + wm*l.mean) / (we + wm)
	return clock.Millis(math.Exp(x))
}

// learn takes a task that ended done from its start, in the right place.
func (p *Planner) learn(u *unit) {
	if u.resumed || u.far || u.since == 0 {
		return
	}
	l := p.lengths[u.job.Queue]
	if l == nil {
		l = &lengths{}
		p.lengths[u.job.Queue] = l
	}
	l.add(p.now.Steady-u.since, u.step.Estimate)
}

// expected is how long a task of a job's step takes from its start.
func (p *Planner) expected(j *job, step int) clock.Millis {
	return p.lengths[j.Queue].expect(j.Steps[step].Estimate)
}
