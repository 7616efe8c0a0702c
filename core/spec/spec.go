// Package spec defines the types that all processes share: jobs, their
// requirements, workers, and the records kept at the platform.
//
// Records and messages have exported fields because they are serialized. All of
// them are plain values that may be copied.
package spec

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Class is the priority class of work: urgent before normal before batch.
type Class string

// The classes.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Rank returns the position of the class in the order of priority, 0 first.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Batch:
		return 2
	default:
		return 1
	}
}

// Limits of one job.
const (
	MaxTasks        = 32
	MaxPayload      = 256 << 10 // bytes
	MaxResponseSize = 512 << 10 // bytes, well under the platform's value limit
	MaxKeyLength    = 128       // bytes
	MaxEstimate     = 7 * 24 * clock.Hour
	MaxProcessors   = 4096
	MaxMemoryMB     = 64 << 20
	MaxWorkerAccel  = 64
)

// Job is what a caller submits: a number of tasks that start together as a
// gang.
type Job struct {
	Service      string       `json:"service"`
	Tasks        int          `json:"tasks"`
	Accelerators int          `json:"accelerators"`
	Adjacent     bool         `json:"adjacent,omitempty"`
	Processors   int          `json:"processors,omitempty"`
	MemoryMB     int          `json:"memory_mb,omitempty"`
	Estimate     clock.Millis `json:"estimate_ms,omitempty"`
	Class        Class        `json:"class,omitempty"`
	Idempotent   bool         `json:"idempotent,omitempty"`
	Checkpoints  bool         `json:"checkpoints,omitempty"`
	Deadline     clock.Millis `json:"deadline_ms,omitempty"`
	Payload      []byte       `json:"payload,omitempty"`
}

// Evictable reports whether the job may be evicted to make room for another:
// its progress is kept by a checkpoint, or it can be run again.
func (j Job) Evictable() bool { return j.Checkpoints || j.Idempotent }

// Check returns an error if a field is missing or out of range.
func (j Job) Check() error {
	bad := func(what, remedy string) error {
		return fault.New(fault.Invalid, remedy, "%s", what).WithOutcome(fault.NotRun).WithLacking(what)
	}
	switch {
	case j.Service == "":
		return bad("service is empty", "name the service that runs the job")
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return bad("tasks is out of range", "ask for 1 to 32 tasks")
	case j.Accelerators < 0 || j.Accelerators > MaxWorkerAccel:
		return bad("accelerators is out of range", "ask for 0 to 64 accelerators per task")
	case j.Processors < 0 || j.Processors > MaxProcessors || j.MemoryMB < 0 || j.MemoryMB > MaxMemoryMB:
		return bad("processors or memory_mb is out of range", "give sizes that one worker can have")
	case j.Estimate < 0 || j.Estimate > MaxEstimate || j.Deadline < 0:
		return bad("estimate_ms or deadline_ms is out of range", "give an estimate of at most 7 days and a deadline that is not negative")
	case j.Class != "" && j.Class != Urgent && j.Class != Normal && j.Class != Batch:
		return bad("class is unknown", "use urgent, normal or batch")
	case len(j.Payload) > MaxPayload:
		return bad("payload is too large", "send at most 256 KiB")
	}
	return nil
}

// Cell is an aligned block of adjacent accelerators of one worker. Its size is
// a power of two and First is a multiple of it.
type Cell struct {
	First int `json:"first"`
	Size  int `json:"size"`
}

// Overlaps reports whether two cells of one worker share an accelerator.
func (c Cell) Overlaps(o Cell) bool {
	return c.Size > 0 && o.Size > 0 && c.First < o.First+o.Size && o.First < c.First+c.Size
}

// Worker is what an endpoint announces about itself and the worker it runs on.
type Worker struct {
	Endpoint     string `json:"endpoint"`
	URL          string `json:"url"`
	Service      string `json:"service"`
	Slots        int    `json:"slots"`
	Worker       string `json:"worker"`
	Rack         string `json:"rack"`
	DataCentre   string `json:"data_centre"`
	Processors   int    `json:"processors"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// Check returns an error if a name is missing or a size out of range.
func (w Worker) Check() error {
	if w.Endpoint == "" || w.URL == "" || w.Service == "" || w.Worker == "" {
		return fault.New(fault.Invalid, "announce endpoint, url, service and worker", "announcement lacks an endpoint, url, service or worker")
	}
	sizes := w.Slots >= 0 && w.Slots <= 4096 && w.Accelerators >= 0 && w.Accelerators <= MaxWorkerAccel && w.Processors >= 0 && w.MemoryMB >= 0
	if !sizes || (w.Accelerators > 0 && w.Accelerators&(w.Accelerators-1) != 0) {
		return fault.New(fault.Invalid, "announce 0 to 4096 slots and a power of two of accelerators up to 64", "announcement of %s has sizes out of range", w.Endpoint)
	}
	return nil
}

// AgentRef refers to an agent in one incarnation, at its address.
type AgentRef struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
}

// Member is one task of a placed gang.
type Member struct {
	Rank int `json:"rank"`
	AgentRef
	Worker string `json:"worker"`
	Cell   Cell   `json:"cell"`
}

// JobState is the state of a job. Package life defines the transitions.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Committed JobState = "committed"
	Running   JobState = "running"
	Stopping  JobState = "stopping"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
	InDoubt   JobState = "unknown"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == Done || s == Failed || s == Cancelled || s == InDoubt
}

// JobRecord is a job as it is stored at the platform. The record is the commit
// point of its gang: the members of attempt Attempt may run only while the
// record lists them and is in state committed or running.
type JobRecord struct {
	ID              string       `json:"id"`
	Account         string       `json:"account"`
	Nonce           string       `json:"nonce"`
	Spec            Job          `json:"spec"`
	State           JobState     `json:"state"`
	Attempt         int          `json:"attempt"`
	Members         []Member     `json:"members,omitempty"`
	Epoch           int64        `json:"epoch,omitempty"`
	QueuedAt        clock.Millis `json:"queued_at_ms"`
	StartedAt       clock.Millis `json:"started_at_ms,omitempty"`
	EndedAt         clock.Millis `json:"ended_at_ms,omitempty"`
	Reason          string       `json:"reason,omitempty"`
	Remedy          string       `json:"remedy,omitempty"`
	Evictions       int          `json:"evictions,omitempty"`
	Failures        int          `json:"failures,omitempty"`
	Losses          int          `json:"losses,omitempty"` // times that it was lost with a worker that restarted
	CancelRequested bool         `json:"cancel_asked,omitempty"`
	Checkpoints     []string     `json:"checkpoints,omitempty"`
}

// Outcome returns what is known about whether the job ran.
func (r JobRecord) Outcome() fault.Outcome {
	switch r.State {
	case Done:
		return fault.Done
	case Failed:
		if r.Attempt == 0 {
			return fault.NotRun
		}
		return fault.RunFailed
	case Cancelled:
		if r.StartedAt == 0 {
			return fault.NotRun
		}
		return fault.RunFailed
	case InDoubt:
		return fault.Unknown
	default:
		return ""
	}
}

// ClaimState is the state of a run-once request.
type ClaimState string

// The states of a claim.
const (
	Claimed      ClaimState = "claimed"
	ClaimDone    ClaimState = "done"
	ClaimFailed  ClaimState = "failed"
	ClaimNotRun  ClaimState = "not_run"
	ClaimInDoubt ClaimState = "unknown"
)

// Claim is the record of a run-once request that takes one slot. Only the
// attempt that it names may run, and only on the agent that AgentRef names.
type Claim struct {
	Account  string       `json:"account"`
	Request  string       `json:"request"`
	Service  string       `json:"service"`
	Nonce    string       `json:"nonce"`
	Owner    string       `json:"owner"`
	Attempt  string       `json:"attempt"`
	AgentRef AgentRef     `json:"place"`
	State    ClaimState   `json:"state"`
	Digest   string       `json:"digest"`
	Response Response     `json:"answer"`
	Reason   string       `json:"reason,omitempty"`
	At       clock.Millis `json:"at_ms"`
}

// Response is the complete response of an endpoint.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
