package fleet

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/life"
)

// When an endpoint is quarantined, and for how long.
const (
	// quarantineFailures is the number of consecutive failures, from at least
	// quarantineSources requests or jobs, that puts an endpoint into
	// quarantine.
	quarantineFailures = 3
	quarantineSources  = 2
	// firstQuarantine is the length of the first quarantine. Each further one
	// is twice as long, up to maxQuarantine.
	firstQuarantine = 5 * clock.Second
	maxQuarantine   = 5 * clock.Minute
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency.
	latencyWeight = 0.2
)

// health is what this entry has observed of an endpoint itself.
type health struct {
	inFlight         int
	latency          float64
	failures         int
	failedSources    map[string]bool
	quarantines      int
	quarantinedUntil clock.Millis
	fullUntil        clock.Millis
	// limit is the number of requests that this entry may have in flight at the
	// endpoint. It is adapted by trial to what the other entries leave free.
	limit float64
}

// How an entry adapts its limit for an endpoint: a busy refusal sets it to a
// part of what was in flight, each response raises it a little.
const (
	limitDecrease = 0.75
	limitIncrease = 0.25
	minLimit      = 1
	// fullPause is how long this entry sends nothing to an endpoint that was
	// full.
	fullPause = 10 * clock.Millisecond
)

// maxLimit returns the number of requests that the endpoint accepts in all: its
// agent queues half as many as there are slots.
func (a *Agent) maxLimit() float64 {
	return float64(a.report.Worker.Slots + max(1, a.report.Worker.Slots/2))
}

func (a *Agent) decreaseLimit() {
	a.health.limit = max(minLimit, limitDecrease*float64(a.health.inFlight+1))
}

func (a *Agent) increaseLimit() {
	a.health.limit = min(a.maxLimit(), a.health.limit+limitIncrease/max(1, a.health.limit))
}

// InFlight returns the number of requests that this entry has in flight at the
// endpoint.
func (a *Agent) InFlight() int { return a.health.inFlight }

// Available returns how many more requests this entry may send to the endpoint.
func (a *Agent) Available() int {
	if a.health.limit == 0 {
		a.health.limit = float64(a.report.Worker.Slots)
	}
	return int(a.health.limit) - a.health.inFlight
}

// Pick returns the available endpoint of the service with the lowest expected
// wait, leaving out those in skip. A quarantined endpoint that is due for a
// probe comes first, but only for idempotent work.
func (f *Fleet) Pick(now clock.Millis, service string, skip map[string]bool, idempotent bool) (*Agent, bool) {
	var best *Agent
	for _, a := range f.agents {
		if a.report.Worker.Service != service || skip[a.report.Agent] {
			continue
		}
		if a.state == life.Quarantined && idempotent && now >= a.health.quarantinedUntil {
			a.fire(life.Probe)
			return a, true
		}
		if a.state == life.Ready && a.Available() > 0 && now >= a.health.fullUntil && (best == nil || a.betterThan(best)) {
			best = a
		}
	}
	return best, best != nil
}

func (a *Agent) betterThan(b *Agent) bool {
	if ca, cb := a.cost(), b.cost(); ca != cb {
		return ca < cb
	}
	return a.report.Agent < b.report.Agent
}

// cost returns the expected wait: the latency, scaled by the share of slots in
// use.
func (a *Agent) cost() float64 {
	used := max(a.report.Load, a.health.inFlight) + 1
	return (a.health.latency + 1) * float64(used) / float64(max(1, a.report.Worker.Slots))
}

// Serves reports whether any agent in the view, in whatever state, runs the
// service.
func (f *Fleet) Serves(service string) bool {
	for _, a := range f.agents {
		if a.report.Worker.Service == service {
			return true
		}
	}
	return false
}

// Slots returns the number of slots of the service's usable endpoints.
func (f *Fleet) Slots(service string) int {
	n := 0
	for _, a := range f.agents {
		if a.report.Worker.Service == service && a.Usable() {
			n += a.report.Worker.Slots
		}
	}
	return n
}

// Sent records that a request was sent to the agent.
func (f *Fleet) Sent(name string) {
	if a, ok := f.agents[name]; ok {
		a.health.inFlight++
	}
}

// Verdict is what the result of a request says about the endpoint.
type Verdict int

// The verdicts. Full is a busy refusal; Neutral says nothing about the
// endpoint's health.
const (
	Healthy Verdict = iota
	Unhealthy
	Neutral
	Full
)

// Returned records the result of a request; source is the request or job that
// it was sent for. It reports whether the result puts the endpoint into
// quarantine.
func (f *Fleet) Returned(now clock.Millis, name, source string, took clock.Millis, v Verdict) bool {
	a, ok := f.agents[name]
	if !ok {
		return false
	}
	if a.health.inFlight > 0 {
		a.health.inFlight--
	}
	a.health.fullUntil = 0
	switch v {
	case Full:
		a.health.fullUntil = now + fullPause
		a.decreaseLimit()
	case Healthy:
		a.increaseLimit()
	}
	return f.applyVerdict(now, a, source, took, v)
}

func (f *Fleet) applyVerdict(now clock.Millis, a *Agent, source string, took clock.Millis, v Verdict) bool {
	switch v {
	case Healthy:
		a.health.latency += latencyWeight * (float64(took) - a.health.latency)
		a.health.failures, a.health.failedSources = 0, nil
		if a.state == life.Probing {
			a.health.quarantines = 0
			a.state, _ = life.Endpoints.Next(a.state, life.Report)
		}
	case Unhealthy:
		a.health.failures++
		if a.health.failedSources == nil {
			a.health.failedSources = make(map[string]bool)
		}
		if len(a.health.failedSources) < quarantineSources {
			a.health.failedSources[source] = true
		}
		if a.state == life.Probing || (a.health.failures >= quarantineFailures && len(a.health.failedSources) >= quarantineSources) {
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
	span := min(maxQuarantine, firstQuarantine<<min(a.health.quarantines, 10))
	a.health.quarantines++
	a.health.quarantinedUntil = now + span
	a.health.failures = 0
	a.health.failedSources = nil
	a.state = next
	return true
}

// ProbeDue reports whether a quarantined endpoint of the service is due for a
// probe and the work is idempotent.
func (f *Fleet) ProbeDue(now clock.Millis, service string, idempotent bool) bool {
	for _, a := range f.agents {
		if idempotent && a.report.Worker.Service == service && a.state == life.Quarantined && now >= a.health.quarantinedUntil {
			return true
		}
	}
	return false
}

// AnyUsableFor reports whether the service has a usable endpoint that is not in
// skip.
func (f *Fleet) AnyUsableFor(service string, skip map[string]bool) bool {
	for name, a := range f.agents {
		if a.report.Worker.Service == service && a.Usable() && !skip[name] {
			return true
		}
	}
	return false
}

// TaskFailed records that a task of the job failed on the agent's worker. It
// reports whether the failure puts the worker into quarantine.
func (f *Fleet) TaskFailed(now clock.Millis, name, job string) bool {
	a, ok := f.agents[name]
	return ok && f.applyVerdict(now, a, job, 0, Unhealthy)
}

// AnyUsable reports whether any agent is usable.
func (f *Fleet) AnyUsable() bool {
	for _, a := range f.agents {
		if a.Usable() {
			return true
		}
	}
	return false
}
