package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
)

// The load that this answers: a configuration sends a queue to another service, and later the last
// worker of the old one is taken away while jobs of the queue wait.

// serviceGoneAfter is how long a service must have had no worker before its jobs move: workers join
// a new planner one by one, and those of an upgrade come back.
const serviceGoneAfter = 5 * clock.Second

// moveJobs moves jobs whose service has no workers any more to the service that their queue is sent
// to now. A job stays with the service that it was accepted for as long as that has any: its front
// may have known a later configuration than this planner.
func (p *Planner) moveJobs() {
	if p.config == nil {
		return
	}
	present := make(map[string]bool)
	for _, w := range p.workers {
		if !w.dead && !w.left && !w.departed && !w.draining {
			present[w.service] = true
		}
	}
	services := make(map[string]string) // by queue
	for _, q := range p.config.Queues {
		services[q.Name] = q.Service
	}
	gone := make(map[string]clock.Millis)
	for _, j := range p.jobs {
		if j.state.Ended() || present[j.Service] {
			continue
		}
		since := p.goneSince[j.Service]
		if since == 0 {
			since = p.now.Monotonic
		}
		gone[j.Service] = since
		next := services[j.Queue]
		if next == "" || next == j.Service || !present[next] || p.now.Monotonic-since < serviceGoneAfter {
			continue
		}
		p.emit(Event{Kind: "job_moved", Job: j.ID, Detail: fmt.Sprintf("from=%s to=%s config_version=%d", j.Service, next, p.config.Version)})
		j.Service = next
		p.changed = true
	}
	p.goneSince = gone
}
