package fleet

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/life"
)

// When an endpoint is quarantined, and how it comes back.
const (
	// failRun is how many failures in a row, from at least failJobs requests
	// or jobs, put an endpoint into quarantine.
	failRun  = 3
	failJobs = 2
	// firstQuarantine doubles with each further one, up to maxQuarantine.
	firstQuarantine = 5 * clock.Second
	maxQuarantine   = 5 * clock.Minute
	latencyWeight   = 0.2
)

// health is what this entry has seen of an endpoint's own doing.
type health struct {
	inFlight int
	latency  float64
	fails    int
	failed   map[string]bool
	bans     int
	until    clock.Millis
	full     clock.Millis
	// share is how many requests this entry may have under way there: what is
	// left to it by the other entries, found out by trying.
	share float64
}

// How an entry finds its share of an endpoint's slots: a refusal takes a part
// of it, each answer gives a little back.
const (
	shareLeft  = 0.75
	shareGain  = 0.25
	leastShare = 1
	// fullFor is how long an endpoint that was full gets nothing from here.
	fullFor = 10 * clock.Millisecond
)

// most is how many requests the endpoint takes at all: its agent lets half as
// many wait as there are slots.
func (a *Agent) most() float64 {
	return float64(a.report.Worker.Slots + max(1, a.report.Worker.Slots/2))
}

func (a *Agent) refused() {
	a.health.share = max(leastShare, shareLeft*float64(a.health.inFlight+1))
}

func (a *Agent) answered() {
	a.health.share = min(a.most(), a.health.share+shareGain/max(1, a.health.share))
}

// InFlight is the number of requests this entry has under way there.
func (a *Agent) InFlight() int { return a.health.inFlight }

// Available is how many more requests this entry may send to the endpoint.
func (a *Agent) Available() int {
	if a.health.share == 0 {
		a.health.share = float64(a.report.Worker.Slots)
	}
	return int(a.health.share) - a.health.inFlight
}

// Pick chooses an endpoint of the service with room, leaving out some. Among
// those with room it takes the one with the lowest expected wait; a probe of a
// quarantined one goes only with work that may be repeated.
func (f *Fleet) Pick(now clock.Millis, service string, skip map[string]bool, repeatable bool) (*Agent, bool) {
	var best *Agent
	for _, a := range f.agents {
		if a.report.Worker.Service != service || skip[a.report.Agent] {
			continue
		}
		if a.state == life.Quarantined && repeatable && now >= a.health.until {
			a.fire(life.Probe)
			return a, true
		}
		if a.state == life.Ready && a.Available() > 0 && now >= a.health.full && (best == nil || a.before(best)) {
			best = a
		}
	}
	return best, best != nil
}

func (a *Agent) before(b *Agent) bool {
	if ca, cb := a.cost(), b.cost(); ca != cb {
		return ca < cb
	}
	return a.report.Agent < b.report.Agent
}

// cost is the expected wait: latency grows with the share of slots in use.
func (a *Agent) cost() float64 {
	used := max(a.report.Load, a.health.inFlight) + 1
	return (a.health.latency + 1) * float64(used) / float64(max(1, a.report.Worker.Slots))
}

// Serves tells whether any agent, in any state but gone, runs the service.
func (f *Fleet) Serves(service string) bool {
	for _, a := range f.agents {
		if a.report.Worker.Service == service {
			return true
		}
	}
	return false
}

// Slots counts the slots of a service's usable endpoints.
func (f *Fleet) Slots(service string) int {
	n := 0
	for _, a := range f.agents {
		if a.report.Worker.Service == service && a.Usable() {
			n += a.report.Worker.Slots
		}
	}
	return n
}

// Sent notes a request on its way to the agent.
func (f *Fleet) Sent(name string) {
	if a, ok := f.agents[name]; ok {
		a.health.inFlight++
	}
}

// Verdict is what a result says about the endpoint.
type Verdict int

// The verdicts.
const (
	Healthy Verdict = iota
	Unhealthy
	Neutral
	Full
)

// Returned notes a request's result: from is the request or job it was for.
// It returns true if the endpoint goes into quarantine by it.
func (f *Fleet) Returned(now clock.Millis, name, from string, took clock.Millis, v Verdict) bool {
	a, ok := f.agents[name]
	if !ok {
		return false
	}
	if a.health.inFlight > 0 {
		a.health.inFlight--
	}
	a.health.full = 0
	switch v {
	case Full:
		a.health.full = now + fullFor
		a.refused()
	case Healthy:
		a.answered()
	}
	return f.judge(now, a, from, took, v)
}

func (f *Fleet) judge(now clock.Millis, a *Agent, from string, took clock.Millis, v Verdict) bool {
	switch v {
	case Healthy:
		a.health.latency += latencyWeight * (float64(took) - a.health.latency)
		a.health.fails, a.health.failed = 0, nil
		if a.state == life.Probing {
			a.health.bans = 0
			a.state, _ = life.Endpoints.Next(a.state, life.Report)
		}
	case Unhealthy:
		a.health.fails++
		if a.health.failed == nil {
			a.health.failed = make(map[string]bool)
		}
		if len(a.health.failed) < failJobs {
			a.health.failed[from] = true
		}
		if a.state == life.Probing || (a.health.fails >= failRun && len(a.health.failed) >= failJobs) {
			return a.quarantine(now)
		}
	default:
		if float64(took) > a.health.latency {
			a.health.latency += latencyWeight * (float64(took) - a.health.latency)
		}
		if a.state == life.Probing {
			return a.quarantine(now)
		}
	}
	return false
}

func (a *Agent) quarantine(now clock.Millis) bool {
	next, err := life.Endpoints.Next(a.state, life.Quarantine)
	if err != nil {
		return false
	}
	span := min(maxQuarantine, firstQuarantine<<min(a.health.bans, 10))
	a.health.bans++
	a.health.until = now + span
	a.health.fails = 0
	a.health.failed = nil
	a.state = next
	return true
}

// ProbeDue tells whether a quarantined endpoint of the service is due for a
// probe by work that may be repeated.
func (f *Fleet) ProbeDue(now clock.Millis, service string, repeatable bool) bool {
	for _, a := range f.agents {
		if repeatable && a.report.Worker.Service == service && a.state == life.Quarantined && now >= a.health.until {
			return true
		}
	}
	return false
}

// AnyUsableFor tells whether the service has usable endpoints besides those in skip.
func (f *Fleet) AnyUsableFor(service string, skip map[string]bool) bool {
	for name, a := range f.agents {
		if a.report.Worker.Service == service && a.Usable() && !skip[name] {
			return true
		}
	}
	return false
}

// TaskFailed notes that a job's task failed on an agent's worker. It returns
// true if the worker goes into quarantine by it.
func (f *Fleet) TaskFailed(now clock.Millis, name, job string) bool {
	a, ok := f.agents[name]
	return ok && f.judge(now, a, job, 0, Unhealthy)
}

// AnyUsable tells whether any agent takes work.
func (f *Fleet) AnyUsable() bool {
	for _, a := range f.agents {
		if a.Usable() {
			return true
		}
	}
	return false
}
