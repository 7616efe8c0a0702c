package plan

import (
	"sort"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Forecast returns what the fronts need to know in order to refuse jobs that can't be
// served: the workers, and the work that runs and waits.
func (p *Planner) Forecast() *admit.Forecast {
	f := &admit.Forecast{Epoch: p.Epoch, At: p.now.Wall}
	services := make(map[string]*admit.Service)
	for _, w := range p.workers {
		if w.service == "" {
			continue // known from a record only
		}
		s := services[w.service]
		if s == nil {
			s = &admit.Service{Name: w.service}
			services[w.service] = s
		}
		s.Largest = task.Resources{
			MilliCPU: max(s.Largest.MilliCPU, w.capacity.MilliCPU), MemoryMB: max(s.Largest.MemoryMB, w.capacity.MemoryMB),
			Accelerators: max(s.Largest.Accelerators, w.capacity.Accelerators),
		}
		if !w.dead {
			s.Total = s.Total.Plus(w.capacity)
		}
	}
	if p.now.Monotonic-p.started < fleetKnownAfter {
		for _, s := range services {
			s.Largest = task.Resources{}
		}
	}
	p.addWork(services)
	for _, s := range services {
		f.Services = append(f.Services, *s)
	}
	sort.Slice(f.Services, func(i, j int) bool { return f.Services[i].Name < f.Services[j].Name })
	return f
}

// fleetKnownAfter is how long after its start a planner has heard from all workers that
// are up.
const fleetKnownAfter = 10 * clock.Second

// addWork adds what is left of all jobs to the services' classes.
func (p *Planner) addWork(services map[string]*admit.Service) {
	classes := make(map[*admit.Service]map[int]*admit.Class)
	for _, j := range p.jobs {
		s := services[j.Service]
		if s == nil || j.state.Ended() {
			continue
		}
		if classes[s] == nil {
			classes[s] = make(map[int]*admit.Class)
		}
		c := classes[s][j.Priority]
		if c == nil {
			c = &admit.Class{Priority: j.Priority}
			classes[s][j.Priority] = c
		}
		for _, u := range j.units {
			switch {
			case u.done || u.step.Service:
			case u.placedOn != nil:
				c.Work = c.Work.Plus(admit.WorkOf(u.need(), 1, p.remaining(u)))
			default:
				c.Work = c.Work.Plus(admit.WorkOf(u.need(), 1, p.expectedDuration(j, u.name.Step)))
			}
		}
	}
	for s, byPriority := range classes {
		for _, c := range byPriority {
			s.Classes = append(s.Classes, *c)
		}
		sort.Slice(s.Classes, func(i, j int) bool { return s.Classes[i].Priority < s.Classes[j].Priority })
	}
}
