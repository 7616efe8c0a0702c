package plan

import (
	"cmp"
	"fmt"

	"gypsumcrank/core/clock"
)

// The load that this answers: a configuration sends a queue to another service, and the last worker of the old one is
// taken away or falls silent, before or after that, while jobs of the queue wait.

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
	seen := p.servicesSeen()
	services := make(map[string]string) // by queue
	for _, q := range p.config.Queues {
		services[q.Name] = q.Service
	}
	gone := make(map[string]clock.Millis)
	for _, j := range p.jobs {
		if j.state.Ended() || seen[j.Service].present {
			continue
		}
		since := cmp.Or(seen[j.Service].at, p.goneSince[j.Service], p.now.Monotonic)
		gone[j.Service] = since
		next := services[j.Queue]
		if next == "" || next == j.Service || !seen[next].present || p.now.Monotonic-since < serviceGoneAfter {
			continue
		}
		p.emit(Event{Kind: "job_moved", Job: j.ID, Detail: fmt.Sprintf("from=%s to=%s config_version=%d", j.Service, next, p.config.Version)})
		j.Service = next
		p.changed = true
	}
	p.goneSince = gone
}

// sighting is when workers of a service were last known to be there.
type sighting struct {
	present bool // some are
	at      clock.Millis
}

// servicesSeen returns when workers of each service were last known to be there.
func (p *Planner) servicesSeen() map[string]sighting {
	seen := make(map[string]sighting)
	for _, w := range p.workers {
		if !w.joined {
			continue
		}
		s := seen[w.service]
		at := max(w.presentAt, w.joinedAt)
		if p.silent(w) {
			at = w.heardAt() // it counted as present for a while after that
		}
		s.present, s.at = s.present || p.present(w), max(s.at, at)
		seen[w.service] = s
	}
	return seen
}
