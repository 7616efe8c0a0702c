// Package proto has the messages between the system's processes. Each is a
// small type that ends in Msg; its Kind names it on the wire.
//
// Every message that can cause work carries what makes it stale: the agent's
// incarnation, the attempt, the planner's epoch or an instant after which it
// must not start anything. The receiver refuses it by these alone.
package proto

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// StartWindow is how long after a gang's commit its tasks may still start.
const StartWindow = 2 * clock.Second

// ConfirmWindow is how long a started member waits to hear that the others have
// started too.
const ConfirmWindow = 4 * clock.Second

// AckMsg says only that the message was taken.
type AckMsg struct{}

// RunMsg asks an agent to run a request of one slot and answer with its answer.
// It must start within Budget of its arrival, and may then take up to Limit.
type RunMsg struct {
	Request     string       `json:"r"`
	Attempt     string       `json:"a"`
	Incarnation string       `json:"i"`
	Account     string       `json:"c"`
	RunOnce     bool         `json:"o"`
	Budget      clock.Millis `json:"b"`
	Limit       clock.Millis `json:"l"`
	IssuedAt    clock.Millis `json:"t"`
	Body        []byte       `json:"p"`
}

// RunResultMsg is what became of a run.
type RunResultMsg struct {
	Response spec.Response `json:"a"`
	Took     clock.Millis  `json:"t"`
}

// FenceMsg asks an agent to make sure that an attempt never starts, or to say
// what became of it if it has. Wait bounds how long to wait for one that runs.
type FenceMsg struct {
	Attempt     string       `json:"a"`
	Incarnation string       `json:"i"`
	IssuedAt    clock.Millis `json:"t"`
	Wait        clock.Millis `json:"w"`
}

// FencedMsg answers a FenceMsg. Fate is fenced, running, done or doubt.
type FencedMsg struct {
	Status   AttemptStatus `json:"f"`
	Response spec.Response `json:"a"`
	Fault    *fault.Error  `json:"e,omitempty"`
}

// AttemptStatus is what an agent knows about an attempt.
type AttemptStatus string

// The fates of an attempt.
const (
	AttemptFenced  AttemptStatus = "fenced"
	AttemptRunning AttemptStatus = "running"
	AttemptDone    AttemptStatus = "done"
	AttemptInDoubt AttemptStatus = "doubt"
)

// ReserveMsg asks an agent to hold a cell for one task of a gang.
type ReserveMsg struct {
	Job         string       `json:"j"`
	Account     string       `json:"c"`
	Attempt     int          `json:"a"`
	Rank        int          `json:"r"`
	Gang        int          `json:"g"`
	Cell        spec.Cell    `json:"l"`
	Epoch       int64        `json:"e"`
	Incarnation string       `json:"i"`
	IssuedAt    clock.Millis `json:"t"`
	Hold        clock.Millis `json:"h"`
}

// StartMsg tells an agent that the gang is committed and its task may start.
type StartMsg struct {
	Job         string       `json:"j"`
	Attempt     int          `json:"a"`
	Rank        int          `json:"r"`
	Epoch       int64        `json:"e"`
	Incarnation string       `json:"i"`
	Window      clock.Millis `json:"w"`
	Spec        spec.Job     `json:"s"`
	Checkpoint  string       `json:"k,omitempty"`
}

// ConfirmMsg tells an agent that every member of a gang has started. Without it
// a started member of a gang over several workers stops by itself.
type ConfirmMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Epoch       int64  `json:"e"`
	Incarnation string `json:"i"`
}

// StopMsg ends an attempt's task or reservation, and fences the attempt.
type StopMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Epoch       int64  `json:"e"`
	Incarnation string `json:"i"`
	Checkpoint  bool   `json:"k"`
}

// StoppedMsg says how far the task had come.
type StoppedMsg struct {
	Started    bool      `json:"s"`
	Checkpoint string    `json:"k,omitempty"`
	State      TaskState `json:"t"`
}

// CollectMsg asks for a finished task's answer; Forget lets the agent drop it.
type CollectMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Incarnation string `json:"i"`
	Forget      bool   `json:"f"`
}

// TaskState is a task's state at an agent.
type TaskState string

// The states of a task.
const (
	TaskHeld    TaskState = "held"
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLost    TaskState = "lost"
)

// Task is one line of an agent's report.
type Task struct {
	Job     string    `json:"j"`
	Attempt int       `json:"a"`
	Rank    int       `json:"r"`
	Account string    `json:"c"`
	Cell    spec.Cell `json:"l"`
	State   TaskState `json:"s"`
	Detail  string    `json:"d,omitempty"`
	UsedMB  int       `json:"m,omitempty"`
	// Checkpoint is the one taken when the task was asked to leave.
	Checkpoint string `json:"k,omitempty"`
}

// ReportMsg is an agent's whole state, sent to its home entry when it changes,
// and passed on by that entry to the others. A Beat carries no Body.
type ReportMsg struct {
	Agent       string      `json:"a"`
	Incarnation string      `json:"i"`
	Seq         int64       `json:"s"`
	Heartbeat   bool        `json:"b,omitempty"`
	Addr        string      `json:"d,omitempty"`
	Worker      spec.Worker `json:"w"`
	Leaving     bool        `json:"l,omitempty"`
	// Recovering tells that a new agent does not know yet what its worker runs.
	Recovering bool `json:"q,omitempty"`
	// Handover is how long the tasks go on without their agent.
	Handover clock.Millis `json:"n,omitempty"`
	Load     int          `json:"o,omitempty"`
	Tasks    []Task       `json:"t,omitempty"`
	Revision int64        `json:"v,omitempty"`
}

// ReportReplyMsg answers a report: the entries there are, when to beat next, and
// configuration that the agent lacks.
type ReportReplyMsg struct {
	Entries           []string     `json:"e"`
	HeartbeatInterval clock.Millis `json:"b"`
	Config            *AgentConf   `json:"c,omitempty"`
	NeedFull          bool         `json:"f,omitempty"`
}

// AgentConf is the part of the configuration that agents act on.
type AgentConf struct {
	Revision int64                   `json:"v"`
	Drain    map[string]bool         `json:"d,omitempty"`
	Services map[string]conf.Service `json:"s,omitempty"`
}

// ResolveMsg asks an entry whether the gang's record commits an attempt. The
// entry aborts the attempt in the record if it is not committed.
type ResolveMsg struct {
	Job     string `json:"j"`
	Attempt int    `json:"a"`
}

// ResolvedMsg answers a ResolveMsg.
type ResolvedMsg struct {
	Committed  bool     `json:"c"`
	Spec       spec.Job `json:"s"`
	Checkpoint []string `json:"k,omitempty"`
}

// PeerMsg is an entry's heartbeat to another. Digest sums up the agents whose
// home it is; a receiver whose own sum differs asks for all of them.
type PeerMsg struct {
	Entry    string       `json:"e"`
	Addr     string       `json:"d"`
	Revision int64        `json:"v"`
	ViewAge  clock.Millis `json:"g"`
	Digest   uint64       `json:"h"`
	Ready    bool         `json:"r"`
}

// PeerReplyMsg answers a PeerMsg with what the sender lacks.
type PeerReplyMsg struct {
	Entry     string         `json:"e"`
	Revision  int64          `json:"v"`
	Config    *conf.Document `json:"c,omitempty"`
	WantsAll  bool           `json:"w,omitempty"`
	WantsConf bool           `json:"f,omitempty"`
}

// ReportsMsg passes the reports of agents at home with one entry on to
// another, and names those that have fallen silent. All marks a full list.
type ReportsMsg struct {
	Entry   string         `json:"e"`
	All     bool           `json:"l,omitempty"`
	Reports []ReportMsg    `json:"r,omitempty"`
	Silent  []string       `json:"s,omitempty"`
	Config  *conf.Document `json:"c,omitempty"`
}

// EventsMsg asks a process for its stretch of the time line.
type EventsMsg struct {
	Query         event.Query `json:"q"`
	IncludeAgents bool        `json:"d"`
}

// EventListMsg answers an EventsMsg.
type EventListMsg struct {
	Events []event.Event `json:"e"`
}

// Kind names each message on the wire.
func (RunMsg) Kind() string     { return "run" }
func (FenceMsg) Kind() string   { return "fence" }
func (ReserveMsg) Kind() string { return "reserve" }
func (StartMsg) Kind() string   { return "start" }
func (ConfirmMsg) Kind() string { return "confirm" }
func (StopMsg) Kind() string    { return "stop" }
func (CollectMsg) Kind() string { return "collect" }
func (ReportMsg) Kind() string  { return "report" }
func (ResolveMsg) Kind() string { return "resolve" }
func (PeerMsg) Kind() string    { return "peer" }
func (ReportsMsg) Kind() string { return "reports" }
func (EventsMsg) Kind() string  { return "events" }
