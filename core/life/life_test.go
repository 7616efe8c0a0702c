package life_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/life"
	"gypsumcrank/core/spec"
)

// All pairs of state and trigger are checked; those not listed must be refused.
func TestJobTransitions(t *testing.T) {
	want := map[string]spec.JobState{
		"queued commit": spec.Committed, "queued fail": spec.Failed, "queued cancel": spec.Cancelled,
		"committed start": spec.Running, "committed halt": spec.Stopping, "committed finish": spec.Done,
		"running halt": spec.Stopping, "running finish": spec.Done, "running fail": spec.Failed,
		"stopping requeue": spec.Queued, "stopping finish": spec.Done, "stopping fail": spec.Failed,
		"stopping cancel": spec.Cancelled, "stopping lose": spec.InDoubt,
	}
	states := []spec.JobState{spec.Queued, spec.Committed, spec.Running, spec.Stopping, spec.Done, spec.Failed, spec.Cancelled, spec.InDoubt}
	triggers := []life.Trigger{life.Commit, life.Start, life.Halt, life.Requeue, life.Finish, life.Fail, life.Cancel, life.Lose}
	checkTransitions(t, life.Jobs, states, triggers, want)
}

func TestEndpointTransitions(t *testing.T) {
	want := map[string]life.EndpointState{
		"ready report": life.Ready, "ready leave": life.Leaving, "ready silence": life.Silent, "ready quarantine": life.Quarantined,
		"leaving leave": life.Leaving, "leaving report": life.Ready, "leaving silence": life.Silent, "leaving remove": life.Gone,
		"silent report": life.Ready, "silent leave": life.Leaving, "silent remove": life.Gone,
		"quarantined report": life.Quarantined, "quarantined probe": life.Probing, "quarantined leave": life.Leaving, "quarantined silence": life.Silent,
		"probing report": life.Ready, "probing quarantine": life.Quarantined, "probing leave": life.Leaving, "probing silence": life.Silent,
	}
	states := []life.EndpointState{life.Ready, life.Leaving, life.Silent, life.Quarantined, life.Probing, life.Gone}
	triggers := []life.Trigger{life.Report, life.Leave, life.Silence, life.Quarantine, life.Probe, life.Remove}
	checkTransitions(t, life.Endpoints, states, triggers, want)
}

func checkTransitions[S comparable](t *testing.T, machine life.Machine[S], states []S, triggers []life.Trigger, want map[string]S) {
	c := qt.New(t)
	for _, s := range states {
		for _, tr := range triggers {
			name := fmt.Sprint(s, " ", tr)
			got, err := machine.Next(s, tr)
			if next, ok := want[name]; ok {
				c.Check(err, qt.IsNil, qt.Commentf("%s", name))
				c.Check(got, qt.Equals, next, qt.Commentf("%s", name))
				continue
			}
			c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
			c.Check(got, qt.Equals, s)
		}
	}
}
