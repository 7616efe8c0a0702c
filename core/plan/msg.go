package plan

import (
	"gypsumcrank/core/centre"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// ConfigMsg reports that a newer configuration is in force.
type ConfigMsg struct{ Config *route.Config }

// ClosedMsg brings the set of data centres that are closed for new work.
type ClosedMsg struct {
	Closed    *centre.Closed
	Confirmed clock.Millis // monotonic time up to which all closings are known
}

// JobMsg adds a stored job, with its progress if it has any.
type JobMsg struct {
	Job       *task.Job
	Progress  *task.Progress
	Rev       int64 // revision of the progress record, 0 if there is none
	Cancelled bool
	// PartRevs are the revisions of the parts of its progress that are stored, by their numbers. Progress has
	// their tasks if it is in parts; otherwise they are left from an earlier form, and don't count.
	PartRevs map[int]int64
}

// CancelMsg reports that the cancellation of a job is stored.
type CancelMsg struct{ ID string }

// RunningTask is one row of a worker's list of running tasks.
type RunningTask struct {
	Task       string `cbor:"1,keyasint"`
	Run        int    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	Percent    int    `cbor:"4,keyasint,omitempty"`
	Metric     int    `cbor:"5,keyasint,omitempty"` // tail latency in ms, or cores in use
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndExpired EndKind = "lapsed" // its lease expired
	EndBroken  EndKind = "broken" // another member of the gang ended
	EndAlone   EndKind = "alone"  // the other members of the gang did not start
)

// EndedTask is one ended run, which a worker lists until it is acknowledged.
type EndedTask struct {
	Number     int64   `cbor:"1,keyasint"`
	Task       string  `cbor:"2,keyasint"`
	Run        int     `cbor:"3,keyasint"`
	Kind       EndKind `cbor:"4,keyasint"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"`
}

// ReportMsg is a side's report about its endpoint and worker.
type ReportMsg struct {
	Node        string           `cbor:"1,keyasint"`
	Incarnation task.Incarnation `cbor:"2,keyasint"`
	Service     string           `cbor:"3,keyasint"`
	Kind        string           `cbor:"4,keyasint"`
	Rack        string           `cbor:"5,keyasint"`
	Capacity    task.Resources   `cbor:"6,keyasint"`
	Draining    bool             `cbor:"7,keyasint,omitempty"`
	Remaining   clock.Millis     `cbor:"8,keyasint,omitempty"`
	Gone        bool             `cbor:"9,keyasint,omitempty"`
	// Epoch is the fencing token that the worker had accepted when it gave
	// its lists; 0 means that there are no lists.
	Epoch          int64         `cbor:"10,keyasint,omitempty"`
	Clock          clock.Millis  `cbor:"11,keyasint,omitempty"` // the worker's monotonic clock
	AnsweredOrders int64         `cbor:"12,keyasint,omitempty"` // orders answered before the lists were requested
	Running        []RunningTask `cbor:"13,keyasint,omitempty"`
	Ended          []EndedTask   `cbor:"14,keyasint,omitempty"`
	// EndsCut is set if the worker may have ended more tasks than Ended lists. It lists the others
	// once these are acknowledged.
	EndsCut bool `cbor:"22,keyasint,omitempty"`
	// Predecessor is the incarnation that the side knew before this one, if any. The worker has
	// answered as this one, so its predecessor is over even if its clock says that it started later.
	Predecessor task.Incarnation `cbor:"23,keyasint,omitzero"`
	// Fence is the fencing token above the epoch that the worker had accepted when it gave its lists,
	// if any.
	Fence      int64  `cbor:"24,keyasint,omitempty"`
	DataCentre string `cbor:"15,keyasint,omitempty"` // empty if the side does not know it
	// While its worker does not answer, a side hands over what it knows of the
	// worker's leases, and of the end of the worker's process.
	Handover  *lease.Handover  `cbor:"18,keyasint,omitempty"`
	Departure *lease.Departure `cbor:"19,keyasint,omitempty"`
	// The speed of the worker that an earlier planner has learned, from its Grant.
	SpeedPermille int `cbor:"16,keyasint,omitempty"`
	SpeedWeight   int `cbor:"17,keyasint,omitempty"`
	// Largest is the most of each resource that the worker has had; a worker may be smaller for
	// a while.
	Largest task.Resources `cbor:"20,keyasint,omitempty"`
	// EarlierStarts are starts that earlier incarnations with the same ID have left unanswered,
	// of whatever planner; this one may still carry them out.
	EarlierStarts []lease.Start `cbor:"21,keyasint,omitempty"`
}

// LinkMsg reports that the connection to a side was made or lost.
type LinkMsg struct {
	Node string
	Up   bool
}

// OrderKind is what an order tells a worker to do.
type OrderKind string

// The kinds of order.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order tells a side's worker to start or stop one run.
type Order struct {
	Kind        OrderKind        `cbor:"1,keyasint"`
	Node        string           `cbor:"-"`
	Incarnation task.Incarnation `cbor:"2,keyasint"`
	Task        string           `cbor:"3,keyasint"`
	Run         int              `cbor:"4,keyasint"`
	Payload     string           `cbor:"5,keyasint,omitempty"`
	Checkpoint  string           `cbor:"6,keyasint,omitempty"`
	Until       clock.Millis     `cbor:"7,keyasint,omitempty"` // on the worker's clock
	Epoch       int64            `cbor:"8,keyasint"`
	// Capacity is the size of the worker for which a start was decided. The side refuses
	// the start if the worker has become smaller.
	Capacity task.Resources `cbor:"9,keyasint,omitempty"`
	// Fence is the fencing token of the order if it is above the epoch; see worker.fence.
	Fence int64 `cbor:"10,keyasint,omitempty"`
}

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"  // it was not carried out
	InDoubt  Outcome = "in_doubt" // it may have been carried out
	Deposed  Outcome = "deposed"  // the worker knows a newer epoch
)

// ResultMsg is a side's answer to an order.
type ResultMsg struct {
	Node        string           `cbor:"1,keyasint"`
	Incarnation task.Incarnation `cbor:"2,keyasint"`
	Kind        OrderKind        `cbor:"3,keyasint"`
	Task        string           `cbor:"4,keyasint"`
	Run         int              `cbor:"5,keyasint"`
	Outcome     Outcome          `cbor:"6,keyasint"`
	Reason      string           `cbor:"7,keyasint,omitempty"`
	AnswerSeq   int64            `cbor:"8,keyasint"` // position of this answer among all answers of the side
}

// WrittenMsg reports that a Write is stored, and at which revision.
type WrittenMsg struct {
	Seq int
	Rev int64
}

// RejectedMsg reports that the store rejects a Write: nothing of it is stored, and it would be rejected again.
type RejectedMsg struct {
	Seq    int
	Reason string
}

// TickMsg reports that time has passed.
type TickMsg struct{}

// Grant extends all leases on one worker and acknowledges ended runs.
type Grant struct {
	Node         string           `cbor:"-"`
	Incarnation  task.Incarnation `cbor:"1,keyasint"`
	Epoch        int64            `cbor:"2,keyasint"`
	Until        clock.Millis     `cbor:"3,keyasint"` // on the worker's clock
	AckedThrough int64            `cbor:"4,keyasint"` // ended runs up to this number are recorded
	// What is known of the worker's speed; the side reports it to the next planner.
	SpeedPermille int `cbor:"5,keyasint,omitempty"` // how many times as long tasks take, times 1000
	SpeedWeight   int `cbor:"6,keyasint,omitempty"` // inverse variance of its logarithm
	// Fence is the fencing token for calls to the worker if it is above the epoch.
	Fence int64 `cbor:"7,keyasint,omitempty"`
}

// Token returns the fencing token of a call of an epoch, for which a planner may have set a higher
// one.
func Token(epoch, fence int64) int64 { return max(epoch, fence) }

// Write is a set of progress records to store atomically.
type Write struct {
	Seq     int
	Records []Record
	Speeds  []byte // encoded speeds of workers; nil if they are not to be stored now
}

// Record is the progress of one job, or a part of it. A part without a value is deleted, and a job whose own
// record has none.
type Record struct {
	ID    string
	Part  int    // number of the part, 0 for the job's own record
	Rev   int64  // revision that the stored record must have
	Value []byte // encoded
	Ended bool   // of the job's own record: the job has ended
}

// Effects is what the caller must carry out after an Update.
type Effects struct {
	Write     *Write
	Orders    []Order
	Grants    []Grant
	Events    []Event
	DeposedBy int64 // a newer epoch that a worker knows; 0 if none
}

// Event is one entry of the planner's log.
type Event struct {
	Kind   string
	Job    string
	Task   string
	Worker string
	Run    int
	Wait   clock.Millis // duration, for kinds that have one
	Detail string
	Labels []string // kinds that have them are counted by them as well
}
