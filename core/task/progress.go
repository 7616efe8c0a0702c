package task

import (
	"encoding/json"
	"slices"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/crash"
	"gypsumcrank/core/fault"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Incarnation identifies one run of an endpoint process: its ID and start time.
type Incarnation struct {
	ID        string       `json:"id,omitempty"`
	StartedAt clock.Millis `json:"born_ms,omitempty"`
}

// TaskProgress is the stored progress of a task that was started at least once.
type TaskProgress struct {
	Occurrence int         `json:"k,omitempty"`
	Step       int         `json:"s,omitempty"`
	Index      int         `json:"i,omitempty"`
	Run        int         `json:"run"`
	Endpoint   Incarnation `json:"at,omitzero"`    // where the run may still be active; empty if nowhere
	Node       string      `json:"node,omitempty"` // the host of Endpoint
	Failures   int         `json:"fails,omitempty"`
	// FailedRun is the last run that Failures counts, for members of a gang only.
	FailedRun  int    `json:"failed_run,omitempty"`
	AppliedRun int    `json:"counted,omitempty"` // last run whose end was applied
	Checkpoint string `json:"ckpt,omitempty"`
	Done       bool   `json:"done,omitempty"`
	// Crashes is what the crashes of workers under the task say about it.
	Crashes crash.History `json:"crashes,omitzero"`
}

// Progress is the stored progress of a job and its tasks. Only the planner
// writes it.
type Progress struct {
	State   State          `json:"state"`
	Started bool           `json:"begun,omitempty"`
	Ended   clock.Millis   `json:"ended_ms,omitempty"`
	Reason  string         `json:"reason,omitempty"`
	Tasks   []TaskProgress `json:"marks,omitempty"`
	// Parts is the number of the parts that hold the tasks of a large job, 0 if Tasks does.
	Parts int `json:"-"`
}

// partedProgress is Progress in parts as it is stored. The number of parts stands where builds that don't know
// parts expect tasks: they can't read the record, rather than take the job for one that has not begun.
type partedProgress struct {
	State   State        `json:"state"`
	Started bool         `json:"begun,omitempty"`
	Ended   clock.Millis `json:"ended_ms,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Parts   int          `json:"marks"`
}

// Encode encodes a job, its progress or a part of that for the store.
func Encode(v any) ([]byte, error) {
	if p, ok := v.(*Progress); ok && p.Parts > 0 {
		return json.Marshal(partedProgress{p.State, p.Started, p.Ended, p.Reason, p.Parts})
	}
	return json.Marshal(v)
}

// DecodeJob decodes and checks a stored job.
func DecodeJob(raw []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(raw, j); err != nil {
		return nil, err
	}
	return j, j.Check()
}

// DecodeProgress decodes and checks the stored progress of a job.
func DecodeProgress(raw []byte) (*Progress, error) {
	p := &Progress{}
	err := json.Unmarshal(raw, p)
	if err == nil {
		return p, checkTasks(p.Tasks)
	}
	var parted partedProgress
	if json.Unmarshal(raw, &parted) != nil {
		return nil, err
	}
	if parted.Parts < 1 || parted.Parts > MaxTasks {
		return nil, fault.New(fault.Invalid, "restore the record or delete the job", "the progress is in %d parts", parted.Parts)
	}
	return &Progress{State: parted.State, Started: parted.Started, Ended: parted.Ended, Reason: parted.Reason, Parts: parted.Parts}, nil
}

// maxRuns is far more runs than a task can have.
const maxRuns = 1 << 31

// checkTasks returns an error if a number is one that no planner writes.
func checkTasks(tasks []TaskProgress) error {
	for _, m := range tasks {
		runs := []int{m.Run, m.Failures, m.AppliedRun, m.FailedRun}
		switch {
		case m.Occurrence < 0 || m.Occurrence >= MaxOccurrences || m.Step < 0 || m.Step >= MaxSteps || m.Index < 0 || m.Index >= MaxTasks:
			return fault.New(fault.Invalid, "restore the record or delete the job", "the progress names task %d.%d.%d", m.Occurrence, m.Step, m.Index)
		case slices.Min(runs) < 0 || slices.Max(runs) > maxRuns:
			return fault.New(fault.Invalid, "restore the record or delete the job", "the progress of task %d.%d.%d has a number of runs out of range", m.Occurrence, m.Step, m.Index)
		}
	}
	return nil
}
