package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// ConfigMsg says that a newer configuration is in force.
type ConfigMsg struct{ Config *route.Config }

// JobMsg brings a job that the store holds, with its progress if it has any.
type JobMsg struct {
	Job       *task.Job
	Progress  *task.Progress
	Rev       int64 // revision of the progress record, 0 if there is none
	Cancelled bool
}

// CancelMsg says that the cancellation of a job is stored.
type CancelMsg struct{ ID string }

// RunningTask is one row of what a worker runs.
type RunningTask struct {
	Task       string `cbor:"1,keyasint"`
	Run        int    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	Percent    int    `cbor:"4,keyasint,omitempty"`
	Metric     int    `cbor:"5,keyasint,omitempty"` // tail latency in ms, or cores in use
}

// EndKind says in which way a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken" // another member of the gang ended
	EndAlone   EndKind = "alone"  // the other members did not come
)

// EndedTask is one end that a worker lists until it is acknowledged.
type EndedTask struct {
	Number     int64   `cbor:"1,keyasint"`
	Task       string  `cbor:"2,keyasint"`
	Run        int     `cbor:"3,keyasint"`
	Kind       EndKind `cbor:"4,keyasint"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"`
}

// ReportMsg is what a side knows of its endpoint and worker.
type ReportMsg struct {
	Node        string       `cbor:"1,keyasint"`
	Incarnation task.Life    `cbor:"2,keyasint"`
	Service     string       `cbor:"3,keyasint"`
	Kind        string       `cbor:"4,keyasint"`
	Rack        string       `cbor:"5,keyasint"`
	Capacity    task.Room    `cbor:"6,keyasint"`
	Draining    bool         `cbor:"7,keyasint,omitempty"`
	Remaining   clock.Millis `cbor:"8,keyasint,omitempty"`
	Gone        bool         `cbor:"9,keyasint,omitempty"`
	// Epoch is the fencing token that the worker had accepted when it gave
	// its lists; 0 means that there are no lists.
	Epoch          int64         `cbor:"10,keyasint,omitempty"`
	Clock          clock.Millis  `cbor:"11,keyasint,omitempty"` // the worker's steady clock
	AnsweredOrders int64         `cbor:"12,keyasint,omitempty"` // orders answered before the lists were asked for
	Running        []RunningTask `cbor:"13,keyasint,omitempty"`
	Ended          []EndedTask   `cbor:"14,keyasint,omitempty"`
}

// LinkMsg says that the connection to a side was made or lost.
type LinkMsg struct {
	Node string
	Up   bool
}

// OrderKind is what a worker is told to do.
type OrderKind string

// The kinds of order.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order tells a side's worker to start or stop one run.
type Order struct {
	Kind        OrderKind    `cbor:"1,keyasint"`
	Node        string       `cbor:"-"`
	Incarnation task.Life    `cbor:"2,keyasint"`
	Task        string       `cbor:"3,keyasint"`
	Run         int          `cbor:"4,keyasint"`
	Payload     string       `cbor:"5,keyasint,omitempty"`
	Checkpoint  string       `cbor:"6,keyasint,omitempty"`
	Until       clock.Millis `cbor:"7,keyasint,omitempty"` // on the worker's clock
	Epoch       int64        `cbor:"8,keyasint"`
}

// Outcome is what became of an order.
type Outcome string

// The outcomes of an order.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused" // it was not carried out
	InDoubt  Outcome = "in_doubt"
	Deposed  Outcome = "deposed" // the worker knows a newer epoch
)

// ResultMsg is a side's answer to an order.
type ResultMsg struct {
	Node        string    `cbor:"1,keyasint"`
	Incarnation task.Life `cbor:"2,keyasint"`
	Kind        OrderKind `cbor:"3,keyasint"`
	Task        string    `cbor:"4,keyasint"`
	Run         int       `cbor:"5,keyasint"`
	Outcome     Outcome   `cbor:"6,keyasint"`
	Reason      string    `cbor:"7,keyasint,omitempty"`
	AnswerSeq   int64     `cbor:"8,keyasint"` // this answer's place among all answers of the side
}

// WrittenMsg says that a Write holds, with the new revisions by job.
type WrittenMsg struct {
	Seq  int
	Revs map[string]int64
}

// TickMsg lets time pass.
type TickMsg struct{}

// Grant extends the leases of everything on one worker.
type Grant struct {
	Node         string       `cbor:"-"`
	Incarnation  task.Life    `cbor:"1,keyasint"`
	Epoch        int64        `cbor:"2,keyasint"`
	Until        clock.Millis `cbor:"3,keyasint"` // on the worker's clock
	AckedThrough int64        `cbor:"4,keyasint"` // ends up to this number are recorded
}

// Write is a set of progress records to store together or not at all.
type Write struct {
	Seq     int
	Records []Record
}

// Record is the progress of one job. Nil progress removes the job.
type Record struct {
	ID       string
	Rev      int64 // revision that the stored record must have
	Progress *task.Progress
}

// Effects is what the planner wants done.
type Effects struct {
	Write     *Write
	Orders    []Order
	Grants    []Grant
	Events    []Event
	DeposedBy int64 // a newer epoch that a worker has seen; 0 if none
}

// Event is one decision for the log.
type Event struct {
	Kind   string
	Job    string
	Task   string
	Worker string
	Run    int
	Wait   clock.Millis // how long it took, where that matters
	Detail string
}
