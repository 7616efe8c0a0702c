package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// ExpectedDuration returns the expected duration of a task of a queue.
func (p *Planner) ExpectedDuration(queue string, estimate clock.Millis) clock.Millis {
	return p.durations[queue].predict(estimate)
}

// Health is the health of a worker.
type Health = health

// Failed and Quarantined are the methods of the same names.
func (h *health) Failed(now clock.Millis, job string, startedAt clock.Millis) {
	h.recordFailure(now, job, startedAt)
}
func (h *health) Quarantined(now clock.Millis) bool { return h.quarantined(now) }

// MostlyIdle, TotalResources and Workers are what the planner goes by.
func (p *Planner) MostlyIdle(service string) bool { return p.mostlyIdle(service) }
func (p *Planner) TotalResources(service string) task.Resources {
	clear(p.totals)
	return p.totalResources(service)
}
func (p *Planner) Workers() int { return len(p.workers) }

// Limits of a write.
const (
	MaxTxnOps     = maxTxnOps
	MaxWriteBytes = maxWriteBytes
)
