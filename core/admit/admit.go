// Package admit decides which calls are refused, and when. Its decisions are pure: the
// planner publishes a Forecast, and the fronts decide with it before they write a job.
//
// It answers jobs that no worker can hold. Everything else is accepted: late work is
// still worth something, and callers who are refused come back as more load.
package admit

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Service is what the planner knows about one service.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Largest has the most of each resource that any of its workers has had. It is
	// empty until the planner knows the workers.
	Largest task.Resources `cbor:"3,keyasint"`
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
)

// Decide decides about a job that is submitted now.
func (f *Forecast) Decide(j *task.Job) Reason {
	s := f.service(j.Service)
	if s == nil || s.Largest == (task.Resources{}) {
		return Accepted
	}
	for _, step := range j.Steps {
		if !step.Need.Fits(s.Largest) {
			return Infeasible
		}
	}
	return Accepted
}

func (f *Forecast) service(name string) *Service {
	for i := range f.Services {
		if f.Services[i].Name == name {
			return &f.Services[i]
		}
	}
	return nil
}
