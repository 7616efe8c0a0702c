package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

const (
	// beat is the interval of the heartbeats, which tell a worker's size.
	beat = 1500 * clock.Millisecond
	// contactTime and one beat after a worker has shrunk, its new size counts.
	contactTime = 3 * clock.Second
)

// size is what a worker had until a time.
type size struct {
	until     clock.Millis
	resources task.Resources
}

// largest returns the most of each resource that the worker has had.
func (h *host) largest() task.Resources {
	out := h.said
	for _, s := range h.sizes {
		out = out.Max(s.resources)
	}
	return out
}

// limit returns what may be in use on a worker when a task starts there.
func (h *host) limit() task.Resources {
	out := h.resources
	for _, s := range h.sizes {
		if h.f.now <= s.until {
			out = out.Max(s.resources)
		}
	}
	return out
}

// resize changes the size of a worker while it runs; its next heartbeat says so.
func (h *host) resize(to task.Resources) {
	h.sizes = append(h.sizes, size{h.f.now + contactTime + beat, h.resources})
	h.resources = to
	incarnation := h.incarnation
	h.f.schedule(beat-h.f.now%beat, func() {
		if h.incarnation == incarnation && !h.down {
			h.said = h.resources
		}
	})
}

// part returns a share of a worker's size.
func part(of task.Resources, numerator, denominator int) task.Resources {
	return task.Resources{MilliCPU: of.MilliCPU * numerator / denominator, MemoryMB: of.MemoryMB * numerator / denominator, Accelerators: of.Accelerators * numerator / denominator}
}

// Guards against filling a worker to the size that it had when it joined (LIMIT).
func TestAWorkerThatShrinksIsNotFilledBeyondItsSize(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	for _, h := range f.hosts {
		h.resize(part(workerResources, 1, 4))
	}
	f.run(contactTime + beat + 1)
	f.submit(jobOf("a", 16, 2000, 1))
	f.finish(30_000)
	qt.Check(t, f.records["a"].State, qt.Equals, task.Completed)
}

func TestAWorkerThatGrowsIsUsed(t *testing.T) {
	f := newFleet(t, 1, 1, part(workerResources, 1, 4))
	f.submit(jobOf("a", 8, 8000, 1))
	f.run(1000)
	f.hosts[0].resize(workerResources)
	f.run(beat + 1000)
	qt.Check(t, len(f.hosts[0].runs), qt.Equals, 8)
}

// Workers shrink and grow at random while jobs with gangs, guarantees and reservations
// come and planners change. The fleet checks each start.
func TestNoStartExceedsAWorkerThatShrinks(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 8))
			f := newFleet(t, 5, 3, workerResources)
			for i := range 20 {
				f.submit(randomJob(r, fmt.Sprintf("j%02d", i)))
				f.run(400)
				h := f.hosts[r.IntN(len(f.hosts))]
				switch r.IntN(4) {
				case 0, 1:
					h.resize(part(workerResources, 1+r.IntN(8), 8))
				case 2:
					f.takeOver()
				}
			}
			for _, h := range f.hosts {
				h.resize(workerResources)
			}
			f.finish(200_000)
		})
	}
}

// A job that fits a worker only at its full size waits while the worker is smaller; it is
// not refused, under a new planner either.
func TestAJobForAWorkerThatHasShrunkIsNotRefused(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	f.hosts[0].resize(part(workerResources, 1, 4))
	f.run(beat + 1)
	f.takeOver()
	f.run(11_000)
	j := jobOf("a", 1, 500, 8)
	j.Service = "svc"
	qt.Check(t, f.planner.(*plan.Planner).Forecast().Decide(j), qt.Equals, admit.Accepted)
	f.submit(j)
	f.run(5000)
	f.hosts[0].resize(workerResources)
	f.finish(5000)
}
