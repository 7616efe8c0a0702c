// Package admit decides which calls are refused, and when. Its decisions are pure: the
// planner publishes a Forecast, and the fronts decide with it before they write a job.
//
// It answers a backlog of more urgent work so deep that a job would be served only when
// its result is of no use any more, and jobs that no worker can hold. Everything else is accepted: late
// work is still worth something, and callers who are refused come back as more load.
package admit

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Work is an amount of work: a resource in use for a time.
type Work struct {
	CoreMillis        float64 `cbor:"1,keyasint,omitempty"`
	AcceleratorMillis float64 `cbor:"2,keyasint,omitempty"`
}

// WorkOf returns the work of a number of tasks that use the given resources for a time.
func WorkOf(need task.Resources, count int, time clock.Millis) Work {
	return Work{
		CoreMillis:        float64(count) * float64(need.MilliCPU) / 1000 * float64(time),
		AcceleratorMillis: float64(count) * float64(need.Accelerators) * float64(time),
	}
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{w.CoreMillis + o.CoreMillis, w.AcceleratorMillis + o.AcceleratorMillis}
}

// On returns how long the work takes if it keeps all resources busy.
func (w Work) On(total task.Resources) clock.Millis {
	part := func(work, have float64) float64 {
		if have <= 0 {
			return 0
		}
		return work / have
	}
	return clock.Millis(max(part(w.CoreMillis, float64(total.MilliCPU)/1000), part(w.AcceleratorMillis, float64(total.Accelerators))))
}

// Class is the work of one priority that is not done yet, running and waiting.
type Class struct {
	Priority int  `cbor:"1,keyasint,omitempty"`
	Work     Work `cbor:"2,keyasint,omitempty"`
}

// Service is what the planner knows about one service.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Total is what all its workers have.
	Total task.Resources `cbor:"2,keyasint"`
	// Largest has the most of each resource that any of its workers has had. It is
	// empty until the planner knows the workers.
	Largest task.Resources `cbor:"3,keyasint"`
	Classes []Class        `cbor:"4,keyasint,omitempty"`
}

// Forecast is what the planner of an epoch publishes at a time of day.
type Forecast struct {
	Epoch    int64        `cbor:"1,keyasint"`
	At       clock.Millis `cbor:"2,keyasint"`
	Services []Service    `cbor:"3,keyasint,omitempty"`
}

// Reason is why a job is refused.
type Reason string

// The reasons.
const (
	Accepted   Reason = ""
	Infeasible Reason = "infeasible" // no worker can hold one of its tasks
	Hopeless   Reason = "hopeless"   // it would end when its result is of no use any more
)

// Verdict is a decision about one job.
type Verdict struct {
	Reason     Reason
	RetryAfter clock.Millis // until the backlog may have shrunk enough
}

// Factors by which a job's prospects are taken for better than they look, as only what
// is certain is refused.
const (
	// ownOptimism allows for the caller's estimate, which is off by half and more either
	// way.
	ownOptimism = 1.5
	// backlogOptimism allows for the backlog, whose estimates are many and corrected by
	// the planner, and for jobs in it that are cancelled.
	backlogOptimism = 1.5
)

// Decide decides about a job that is submitted now. A job of priority 0 of an account
// with a guarantee is refused only if it is infeasible.
func (f *Forecast) Decide(j *task.Job, guaranteed bool) Verdict {
	s := f.service(j.Service)
	if s == nil || s.Largest == (task.Resources{}) {
		return Verdict{}
	}
	for _, step := range j.Steps {
		if !step.Need.Fits(s.Largest) {
			return Verdict{Reason: Infeasible}
		}
	}
	if j.Priority == 0 && guaranteed || j.Timed() || j.Stretch <= 0 {
		return Verdict{}
	}
	path := float64(j.CriticalPath(s.Total, func(step int) clock.Millis { return j.Steps[step].Estimate }))
	worthUntil := task.MaxLatenessFactor * j.Objective(clock.Millis(path*ownOptimism))
	wait := float64(s.ahead(j.Priority).On(s.Total)) / backlogOptimism
	if end := clock.Millis(wait + path/ownOptimism); end > worthUntil {
		return Verdict{Reason: Hopeless, RetryAfter: end - worthUntil}
	}
	return Verdict{}
}

// ahead returns the work of more urgent priorities. That of the job's own priority does
// not count: what can't end in time there expires and yields.
func (s *Service) ahead(priority int) Work {
	var sum Work
	for _, c := range s.Classes {
		if c.Priority < priority {
			sum = sum.Plus(c.Work)
		}
	}
	return sum
}

func (f *Forecast) service(name string) *Service {
	for i := range f.Services {
		if f.Services[i].Name == name {
			return &f.Services[i]
		}
	}
	return nil
}
