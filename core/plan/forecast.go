package plan

import (
	"maps"
	"slices"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Forecast returns what the fronts need to know in order to refuse jobs that no worker
// can hold.
func (p *Planner) Forecast() *admit.Forecast {
	sizes := make(map[string]task.Resources)
	for _, w := range p.workers {
		if !w.joined || p.forgotten(w) {
			continue
		}
		sizes[w.service] = sizes[w.service].Max(w.largest)
	}
	f := &admit.Forecast{Epoch: p.Epoch, At: p.now.Wall}
	if p.now.Monotonic-p.started < fleetKnownAfter {
		return f
	}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		f.Services = append(f.Services, admit.Service{Name: name, Largest: sizes[name]})
	}
	return f
}

// fleetKnownAfter is how long after its start a planner has heard from all workers that
// are up.
const fleetKnownAfter = 10 * clock.Second
