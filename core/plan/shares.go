package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
)

// demandInterval is how often the ledger of the accounts' demand is brought up to
// date.
const demandInterval = 100 * clock.Millisecond

// recordDemand records what the accounts use and wait for now.
func (p *Planner) recordDemand(requests []*request) {
	if p.now.Monotonic-p.demandAt < demandInterval {
		return
	}
	p.demandAt = p.now.Monotonic
	demand := make(map[fair.Class]map[string]float64)
	add := func(u *unit, count int) {
		class := classOf(u.job)
		if demand[class] == nil {
			demand[class] = make(map[string]float64)
		}
		demand[class][u.job.Account] += float64(count) * fair.DominantShare(u.need(), p.totalResources(u.job.Service))
	}
	for _, w := range p.workers {
		for u := range w.units {
			add(u, 1)
		}
	}
	for _, r := range requests {
		add(r.first(), len(r.units))
	}
	p.demand.Update(p.now.Monotonic, demand)
}

func classOf(j *job) fair.Class { return fair.Class{Service: j.Service, Priority: j.Priority} }

// rankFairly sets the rank of each request among those of its class.
func (p *Planner) rankFairly(requests []*request) {
	in := make([]fair.Request, len(requests))
	for i, r := range requests {
		in[i] = fair.Request{Class: classOf(r.job()), Account: r.job().Account, Since: r.waitingSince}
	}
	guarantees := make(map[string]int, len(p.config.Accounts))
	for name, a := range p.config.Accounts {
		guarantees[name] = a.Accelerators
	}
	for i, rank := range fair.Ranks(p.now.Monotonic, in, p.demand, fair.Weights(guarantees)) {
		requests[i].rank = rank
	}
}
