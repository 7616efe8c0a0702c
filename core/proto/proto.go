// Package proto defines the messages between the processes. Each is a small
// type whose name ends in Msg; its Kind identifies it on the wire.
//
// Every message that can start work carries what the receiver needs to detect
// that it is stale: the agent's incarnation, the attempt, the planner's epoch,
// or a time after which nothing may be started. The receiver decides by these
// alone.
package proto

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// StartWindow is how long after the commit of a gang its tasks may still start.
const StartWindow = 2 * clock.Second

// ConfirmWindow is how long a started member of a gang waits for the
// confirmation that the other members have started.
const ConfirmWindow = 4 * clock.Second

// AckMsg acknowledges a message and carries no data.
type AckMsg struct{}

// RunMsg asks an agent to run a request that takes one slot, and to return its
// response. The request must start within Budget of the arrival of the message
// and may then run for up to Limit.
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

// RunResultMsg is the result of a RunMsg.
type RunResultMsg struct {
	Response spec.Response `json:"a"`
	Took     clock.Millis  `json:"t"`
}

// FenceMsg asks an agent to fence an attempt, so that it never starts, or to
// return its status if it has started. Wait limits how long the agent waits for
// a running attempt to end.
type FenceMsg struct {
	Attempt     string       `json:"a"`
	Incarnation string       `json:"i"`
	IssuedAt    clock.Millis `json:"t"`
	Wait        clock.Millis `json:"w"`
}

// FencedMsg is the reply to a FenceMsg.
type FencedMsg struct {
	Status   AttemptStatus `json:"f"`
	Response spec.Response `json:"a"`
	Fault    *fault.Error  `json:"e,omitempty"`
}

// AttemptStatus is what an agent knows about an attempt.
type AttemptStatus string

// The statuses of an attempt.
const (
	AttemptFenced  AttemptStatus = "fenced"
	AttemptRunning AttemptStatus = "running"
	AttemptDone    AttemptStatus = "done"
	AttemptInDoubt AttemptStatus = "doubt"
)

// ReserveMsg asks an agent to reserve a cell for one task of a gang, for the
// time Hold.
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

// ConfirmMsg tells an agent that every member of a gang has started. A started
// member of a gang over several workers stops by itself if it does not arrive.
type ConfirmMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Epoch       int64  `json:"e"`
	Incarnation string `json:"i"`
}

// StopMsg stops the task or releases the reservation of an attempt, and fences
// it.
type StopMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Epoch       int64  `json:"e"`
	Incarnation string `json:"i"`
	Checkpoint  bool   `json:"k"`
}

// StoppedMsg is the reply to a StopMsg: whether the task had started, and the
// state it ended in.
type StoppedMsg struct {
	Started    bool      `json:"s"`
	Checkpoint string    `json:"k,omitempty"`
	State      TaskState `json:"t"`
}

// CollectMsg asks for the response of a finished task. Forget allows the agent
// to drop it.
type CollectMsg struct {
	Job         string `json:"j"`
	Attempt     int    `json:"a"`
	Rank        int    `json:"r"`
	Incarnation string `json:"i"`
	Forget      bool   `json:"f"`
}

// TaskState is the state of a task at an agent.
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

// Task is the entry for one task in an agent's report.
type Task struct {
	Job     string    `json:"j"`
	Attempt int       `json:"a"`
	Rank    int       `json:"r"`
	Account string    `json:"c"`
	Cell    spec.Cell `json:"l"`
	State   TaskState `json:"s"`
	Detail  string    `json:"d,omitempty"`
	UsedMB  int       `json:"m,omitempty"`
	// Checkpoint is the one taken when the task was stopped.
	Checkpoint string `json:"k,omitempty"`
}

// ReportMsg is an agent's complete state. The agent sends it to its home entry
// when the state changes, and that entry forwards it to the others. A message
// with Heartbeat set carries no state.
type ReportMsg struct {
	Agent       string      `json:"a"`
	Incarnation string      `json:"i"`
	Seq         int64       `json:"s"`
	Heartbeat   bool        `json:"b,omitempty"`
	Addr        string      `json:"d,omitempty"`
	Worker      spec.Worker `json:"w"`
	Leaving     bool        `json:"l,omitempty"`
	// Recovering is set while a new agent does not know yet what its worker
	// runs.
	Recovering bool `json:"q,omitempty"`
	// Handover is how long the tasks keep running without their agent.
	Handover clock.Millis `json:"n,omitempty"`
	Load     int          `json:"o,omitempty"`
	Tasks    []Task       `json:"t,omitempty"`
	Revision int64        `json:"v,omitempty"`
}

// ReportReplyMsg is the reply to a report: the known entries, the time until
// the next heartbeat, and the configuration if the agent's is out of date.
type ReportReplyMsg struct {
	Entries           []string     `json:"e"`
	HeartbeatInterval clock.Millis `json:"b"`
	Config            *AgentConf   `json:"c,omitempty"`
	NeedFull          bool         `json:"f,omitempty"`
}

// AgentConf is the part of the configuration that agents need.
type AgentConf struct {
	Revision int64                   `json:"v"`
	Drain    map[string]bool         `json:"d,omitempty"`
	Services map[string]conf.Service `json:"s,omitempty"`
}

// ResolveMsg asks an entry whether the gang's record commits an attempt. If the
// attempt is not committed, the entry aborts it in the record.
type ResolveMsg struct {
	Job     string `json:"j"`
	Attempt int    `json:"a"`
}

// ResolvedMsg is the reply to a ResolveMsg.
type ResolvedMsg struct {
	Committed  bool     `json:"c"`
	Spec       spec.Job `json:"s"`
	Checkpoint []string `json:"k,omitempty"`
}

// PeerMsg is a heartbeat between entries. Digest is a checksum of the agents
// whose home is the sender; a receiver that computes another one asks for all
// of them.
type PeerMsg struct {
	Entry    string       `json:"e"`
	Addr     string       `json:"d"`
	Revision int64        `json:"v"`
	ViewAge  clock.Millis `json:"g"`
	Digest   uint64       `json:"h"`
	Ready    bool         `json:"r"`
}

// PeerReplyMsg is the reply to a PeerMsg, with the configuration if the sender
// lacks it.
type PeerReplyMsg struct {
	Entry     string         `json:"e"`
	Revision  int64          `json:"v"`
	Config    *conf.Document `json:"c,omitempty"`
	WantsAll  bool           `json:"w,omitempty"`
	WantsConf bool           `json:"f,omitempty"`
}

// ReportsMsg forwards the reports of the agents whose home is the sender to
// another entry, and names those that have become silent. All marks a complete
// list.
type ReportsMsg struct {
	Entry   string         `json:"e"`
	All     bool           `json:"l,omitempty"` // the list is of all agents of the entry
	Partial bool           `json:"p,omitempty"` // the entry has just started and may not have heard from all of them
	Reports []ReportMsg    `json:"r,omitempty"`
	Silent  []string       `json:"s,omitempty"`
	Config  *conf.Document `json:"c,omitempty"`
}

// EventsMsg asks a process for its recorded events. With IncludeAgents set, an
// entry also returns those of its agents.
type EventsMsg struct {
	Query         event.Query `json:"q"`
	IncludeAgents bool        `json:"d"`
}

// EventListMsg is the reply to an EventsMsg.
type EventListMsg struct {
	Events []event.Event `json:"e"`
}

// Kind identifies each message on the wire.
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
