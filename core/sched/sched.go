// Package sched decides which waiting job starts where, and which running jobs
// are evicted for it. A plan is a pure function of a State, so that the planner
// and the replay of recorded traces make the same decisions.
//
// Before each placement it checks that all unused guaranteed cells can still be
// provided at the same time by evicting evictable jobs only. Cell sizes are
// powers of two and cells split and merge as buddies, so the check is a count
// per size (after HiveD, OSDI 2020).
package sched

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// Worker is a worker's capacity, location and availability.
type Worker struct {
	AgentRef     spec.AgentRef
	Name         string
	Rack         string
	DataCentre   string
	Accelerators int
	Processors   int
	MemoryMB     int
	// Usable is false for a worker that is leaving, silent or in quarantine.
	Usable bool
}

// Allocation is a cell on the worker of an agent.
type Allocation struct {
	Agent string
	Cell  spec.Cell
}

// Running is a job that holds cells.
type Running struct {
	ID        string
	Account   string
	Job       spec.Job
	Cells     []Allocation
	StartedAt clock.Millis
	// Stopping is set from the decision to stop the job until it has left its
	// cells.
	Stopping bool
}

// Waiting is a job that waits for cells.
type Waiting struct {
	ID       string
	Account  string
	Job      spec.Job
	QueuedAt clock.Millis
	// Reserved are the cells that are reserved for the job while evicted jobs
	// leave them.
	Reserved []Allocation
	// Avoid has the names of the agents on which the job has failed.
	Avoid map[string]bool
}

// State is the complete input of a plan.
type State struct {
	Now        clock.Millis
	Workers    []Worker
	Running    []Running
	Waiting    []Waiting
	Guarantees map[string][]conf.Block
}

// Placement assigns cells to a job, one for each task by rank. If Reserved is
// set, some are not free yet: the victims, and jobs already stopping, have to
// leave them first.
type Placement struct {
	ID       string
	Cells    []Allocation
	Victims  []string
	Reserved bool
	Reason   string
}

// Wait is the reason why a job does not start in this round.
type Wait struct {
	ID     string
	Reason string
}

// Plan is the outcome of one planning round.
type Plan struct {
	Placements []Placement
	Waits      []Wait
}

// Policy orders jobs and cells. FirstFit is the baseline for comparisons in
// replays; Product is the policy used in production.
type Policy interface {
	// Before reports whether a is placed before b.
	Before(a, b Candidate) bool
	// CellCost ranks the free cells that a task could take; the cheapest wins.
	CellCost(c FreeCell) float64
	// Holds reports whether cells are held for a job that has waited this long.
	Holds(waited clock.Millis) bool
}

// Candidate is a waiting job with the facts that its place in the order depends
// on.
type Candidate struct {
	Waiting
	// Guaranteed is set if the job fits its account's unused guarantee.
	Guaranteed bool
	// Borrowed is the number of accelerators that the account holds beyond its
	// guarantee.
	Borrowed int
}

// FreeCell is a free cell that a task could take.
type FreeCell struct {
	Cell spec.Cell
	// Block is the size of the largest free aligned block around the cell.
	Block int
	// Free is the number of free accelerators of the worker, RackFree of its rack.
	Free, RackFree int
	// Index is the worker's position in State.Workers.
	Index int
}

// FirstFit places jobs in the order of arrival, on the first free cells.
type FirstFit struct{}

// Before orders by time of arrival.
func (FirstFit) Before(a, b Candidate) bool { return earlier(a, b) }

// CellCost prefers the first cell of the first worker.
func (FirstFit) CellCost(c FreeCell) float64 {
	return float64(c.Index*spec.MaxWorkerAccel + c.Cell.First)
}

// Holds returns false: first fit holds no cells.
func (FirstFit) Holds(clock.Millis) bool { return false }

func earlier(a, b Candidate) bool {
	if a.QueuedAt != b.QueuedAt {
		return a.QueuedAt < b.QueuedAt
	}
	return a.ID < b.ID
}

// Product orders jobs by class, then guarantee, then the account's borrowed
// accelerators, and packs cells so that large blocks stay whole.
type Product struct{}

// Limits of the wait of a job under the Product policy.
const (
	// holdAfter is how long a job waits before cells are held for it.
	holdAfter = 2 * clock.Minute
	// agingLimit is how much older than another job of its class a job has to
	// be to go first whatever its account borrows; it bounds starvation.
	agingLimit = 30 * clock.Minute
)

// Before orders by class, then guaranteed jobs first, then by borrowed
// accelerators unless one job is older by agingLimit, then by time of arrival.
func (Product) Before(a, b Candidate) bool {
	if ra, rb := a.Job.Class.Rank(), b.Job.Class.Rank(); ra != rb {
		return ra < rb
	}
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if a.Borrowed != b.Borrowed && abs(a.QueuedAt-b.QueuedAt) < agingLimit {
		return a.Borrowed < b.Borrowed
	}
	return earlier(a, b)
}

func abs(m clock.Millis) clock.Millis { return max(m, -m) }

// CellCost prefers the tightest free block, then the fullest rack, then the
// fullest worker, so that whole workers and racks stay free for adjacent gangs.
func (Product) CellCost(c FreeCell) float64 {
	return float64(c.Block-c.Cell.Size)*blockWeight + float64(c.RackFree)*spec.MaxWorkerAccel + float64(c.Free)
}

// blockWeight makes the fit of the block outweigh the load of any rack.
const blockWeight = 1000 * spec.MaxWorkerAccel

// Holds reports whether the job has waited for holdAfter or longer.
func (Product) Holds(waited clock.Millis) bool { return waited >= holdAfter }
