// Package sched decides: which waiting job starts where, and what has to make
// way for it. It is a pure function of a State, so that the planner and the
// replay of recorded traces run the very same decisions.
//
// Before each placement it proves that all guaranteed shapes that are not in
// use could still be had at the same time by evicting evictable jobs only.
// Cells are powers of two, split and merged as buddies, so the proof is a
// count per size (after HiveD, OSDI 2020).
package sched

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	Place        spec.Place
	Name         string
	Rack         string
	DataCentre   string
	Accelerators int
	Processors   int
	MemoryMB     int
	// Usable is false for a worker that is leaving, silent or in quarantine.
	Usable bool
}

// Allocation is a cell of a worker, by its agent's name.
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
	// Stopping is set while the job is on its way out.
	Stopping bool
}

// Waiting is a job that wants cells.
type Waiting struct {
	ID       string
	Account  string
	Job      spec.Job
	QueuedAt clock.Millis
	// Reserved are the cells that are being cleared for the job.
	Reserved []Allocation
	// Avoid names agents on which the job has failed.
	Avoid map[string]bool
}

// State is all that a decision rests on.
type State struct {
	Now        clock.Millis
	Workers    []Worker
	Running    []Running
	Waiting    []Waiting
	Guarantees map[string][]conf.Block
}

// Placement is a job's cells, one for each task by rank. Promised cells are not
// free yet: the victims, and jobs already stopping, have to leave them first.
type Placement struct {
	ID       string
	Cells    []Allocation
	Victims  []string
	Reserved bool
	Reason   string
}

// Wait says why a job does not start now.
type Wait struct {
	ID     string
	Reason string
}

// Plan is what should happen now.
type Plan struct {
	Placements []Placement
	Waits      []Wait
}

// Policy is the part of the decisions that varies. FirstFit is the baseline
// and Product the one that is used.
type Policy interface {
	// Before orders two waiting jobs.
	Before(a, b Candidate) bool
	// CellCost ranks the free cells a task could take: least first.
	CellCost(c FreeCell) float64
	// Holds tells whether cells are kept for a job that has waited since.
	Holds(waited clock.Millis) bool
}

// Candidate is what the order of waiting jobs rests on.
type Candidate struct {
	Waiting
	// Entitled tells whether the job fits its account's unused guarantee.
	Entitled bool
	// Borrowed is the number of accelerators that the account holds beyond its
	// guarantee.
	Borrowed int
}

// FreeCell is a cell that a task could take.
type FreeCell struct {
	Cell spec.Cell
	// Block is the size of the free block around the cell.
	Block int
	// Free is the number of free accelerators of the worker, RackFree of its rack.
	Free, RackFree int
	// Index is the worker's place in the State.
	Index int
}

// FirstFit takes jobs as they came and cells as they lie.
type FirstFit struct{}

// Before puts the earlier job first.
func (FirstFit) Before(a, b Candidate) bool { return earlier(a, b) }

// CellCost takes the first cell of the first worker.
func (FirstFit) CellCost(c FreeCell) float64 {
	return float64(c.Index*spec.MaxWorkerAccel + c.Cell.First)
}

// Holds never keeps cells.
func (FirstFit) Holds(clock.Millis) bool { return false }

func earlier(a, b Candidate) bool {
	if a.QueuedAt != b.QueuedAt {
		return a.QueuedAt < b.QueuedAt
	}
	return a.ID < b.ID
}

// Product orders by class, then guarantee, then how much an account borrows,
// and packs so that large blocks stay whole.
type Product struct{}

// Ages of waiting jobs, in the Product policy.
const (
	// holdAfter is how long a job waits before cells are kept for it.
	holdAfter = 2 * clock.Minute
	// agingLimit is how long a job waits before it passes all of its class.
	agingLimit = 30 * clock.Minute
)

// Before orders by class, guarantee, age, share and time.
func (Product) Before(a, b Candidate) bool {
	if ra, rb := a.Job.Class.Rank(), b.Job.Class.Rank(); ra != rb {
		return ra < rb
	}
	if a.Entitled != b.Entitled {
		return a.Entitled
	}
	if a.Borrowed != b.Borrowed && abs(a.QueuedAt-b.QueuedAt) < agingLimit {
		return a.Borrowed < b.Borrowed
	}
	return earlier(a, b)
}

func abs(m clock.Millis) clock.Millis { return max(m, -m) }

// CellCost takes the tightest free block, in the fullest rack, of the fullest
// worker, so that whole workers and whole racks stay free for adjacent gangs.
func (Product) CellCost(c FreeCell) float64 {
	return float64(c.Block-c.Cell.Size)*blockWeight + float64(c.RackFree)*spec.MaxWorkerAccel + float64(c.Free)
}

// blockWeight makes a tighter block outweigh any rack.
const blockWeight = 1000 * spec.MaxWorkerAccel

// Holds keeps cells for a job that has waited long.
func (Product) Holds(waited clock.Millis) bool { return waited >= holdAfter }
