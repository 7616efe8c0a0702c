// Package life has the life cycles of jobs and endpoints as state machines.
//
// Records store only the name of the state; Next rebuilds the machine in that
// state and fires one trigger, so the system makes no transition that is not
// configured here:
//
//	state, err := life.Jobs.Next(spec.Queued, life.Commit) // committed
package life

import (
	"github.com/qmuntal/stateless"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// Trigger is an event that changes the state.
type Trigger string

// Triggers of a job.
const (
	Commit  Trigger = "commit"
	Start   Trigger = "start"
	Halt    Trigger = "halt"
	Requeue Trigger = "requeue"
	Finish  Trigger = "finish"
	Fail    Trigger = "fail"
	Cancel  Trigger = "cancel"
	Lose    Trigger = "lose"
)

// EndpointState is the state of an endpoint as an entry sees it.
type EndpointState string

// The states of an endpoint.
const (
	Ready       EndpointState = "ready"
	Leaving     EndpointState = "leaving"
	Silent      EndpointState = "silent"
	Quarantined EndpointState = "quarantined"
	Probing     EndpointState = "probing"
	Gone        EndpointState = "gone"
)

// Triggers of an endpoint.
const (
	Report     Trigger = "report"
	Leave      Trigger = "leave"
	Silence    Trigger = "silence"
	Quarantine Trigger = "quarantine"
	Probe      Trigger = "probe"
	Remove     Trigger = "remove"
)

// Machine is a state machine over states of type S.
type Machine[S comparable] struct {
	configure func(*stateless.StateMachine)
}

// Jobs is the life cycle of a job.
var Jobs = Machine[spec.JobState]{configure: configureJobs}

// Endpoints is the life cycle of an endpoint.
var Endpoints = Machine[EndpointState]{configure: configureEndpoints}

// Next returns the state that trigger leads to, or a conflict error if there is
// no such transition.
func (c Machine[S]) Next(from S, trigger Trigger) (S, error) {
	m := stateless.NewStateMachine(from)
	c.configure(m)
	if err := m.Fire(trigger); err != nil {
		return from, fault.New(fault.Conflict, "read the current state and decide again", "trigger %v is not allowed in state %v", trigger, from)
	}
	return m.MustState().(S), nil
}

// Can reports whether there is a transition from the state by trigger.
func (c Machine[S]) Can(from S, trigger Trigger) bool {
	_, err := c.Next(from, trigger)
	return err == nil
}

func configureJobs(m *stateless.StateMachine) {
	m.Configure(spec.Queued).
		Permit(Commit, spec.Committed).
		Permit(Fail, spec.Failed).
		Permit(Cancel, spec.Cancelled)
	m.Configure(spec.Committed).
		Permit(Start, spec.Running).
		Permit(Halt, spec.Stopping).
		Permit(Finish, spec.Done)
	m.Configure(spec.Running).
		Permit(Halt, spec.Stopping).
		Permit(Finish, spec.Done).
		Permit(Fail, spec.Failed)
	m.Configure(spec.Stopping).
		Permit(Requeue, spec.Queued).
		Permit(Finish, spec.Done).
		Permit(Fail, spec.Failed).
		Permit(Cancel, spec.Cancelled).
		Permit(Lose, spec.InDoubt)
}

func configureEndpoints(m *stateless.StateMachine) {
	m.Configure(Ready).
		PermitReentry(Report).
		Permit(Leave, Leaving).
		Permit(Silence, Silent).
		Permit(Quarantine, Quarantined)
	m.Configure(Leaving).
		PermitReentry(Leave).
		Permit(Report, Ready).
		Permit(Silence, Silent).
		Permit(Remove, Gone)
	m.Configure(Silent).
		Permit(Report, Ready).
		Permit(Leave, Leaving).
		Permit(Remove, Gone)
	m.Configure(Quarantined).
		PermitReentry(Report).
		Permit(Probe, Probing).
		Permit(Leave, Leaving).
		Permit(Silence, Silent)
	m.Configure(Probing).
		Permit(Report, Ready).
		Permit(Quarantine, Quarantined).
		Permit(Leave, Leaving).
		Permit(Silence, Silent)
}
