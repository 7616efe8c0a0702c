package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
	"gypsumcrank/core/task"
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
	// Counted before they are summed up, so that the sums don't depend on the order.
	type kind struct {
		class   fair.Class
		account string
		need    task.Resources
	}
	counts := make(map[kind]int)
	add := func(u *unit, count int) { counts[kind{classOf(u.job), u.job.Account, u.need()}] += count }
	for _, w := range p.workers {
		for u := range w.units {
			add(u, 1)
		}
	}
	for _, r := range requests {
		add(r.first(), len(r.units))
	}
	kinds := slices.SortedFunc(maps.Keys(counts), func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.need.MilliCPU, b.need.MilliCPU), cmp.Compare(a.need.MemoryMB, b.need.MemoryMB), cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
	demand := make(map[fair.Class]map[string]float64)
	for _, k := range kinds {
		if demand[k.class] == nil {
			demand[k.class] = make(map[string]float64)
		}
		demand[k.class][k.account] += float64(counts[k]) * fair.DominantShare(k.need, p.totalResources(k.class.Service))
	}
	p.demand.Update(p.now.Monotonic, demand)
}

func classOf(j *job) fair.Class { return fair.Class{Service: j.Service, Priority: j.Priority} }

// rankFairly sets the rank of each request among those of its class. All ranks are
// normal while no request has waited for long.
func (p *Planner) rankFairly(requests []*request) {
	if !slices.ContainsFunc(requests, func(r *request) bool { return p.now.Monotonic-r.waitingSince >= fair.ShortAfter }) {
		return
	}
	// Among requests that have waited equally long, the first one may age.
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].before(requests[j]) })
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
	p.logOverShare(requests)
}

// logOverShare logs when an account's requests begin to yield to those of other
// accounts.
func (p *Planner) logOverShare(requests []*request) {
	for _, r := range requests {
		key := accountClass{classOf(r.job()), r.job().Account}
		if r.rank != fair.OverShare || p.overShareAt[key] > p.now.Monotonic-overShareLogInterval && p.overShareAt[key] > 0 {
			continue
		}
		p.overShareAt[key] = p.now.Monotonic
		p.emit(Event{Kind: "account_over_share", Job: r.job().ID, Detail: fmt.Sprintf("account=%s priority=%d demand=%.2f", key.account, key.class.Priority, p.demand.Mean(key.class)[key.account])})
	}
}

// accountClass is one account in one class.
type accountClass struct {
	class   fair.Class
	account string
}

const (
	// overShareLogInterval is how often it is logged that an account is over its share.
	overShareLogInterval = 5 * clock.Second
	// waitLogAfter is how long a request waits before it is logged why.
	waitLogAfter = 5 * clock.Second
	// waitLogInterval is how often that is logged for any request.
	waitLogInterval = clock.Second
)

// logWaiting logs which requests go before the i-th one of a sorted list, which could
// not be placed.
func (p *Planner) logWaiting(s *snapshot, requests []*request, i int) {
	r := requests[i]
	if p.now.Monotonic-r.waitingSince < waitLogAfter || p.now.Monotonic-p.waitLoggedAt < waitLogInterval {
		return
	}
	p.waitLoggedAt = p.now.Monotonic
	behind := "none"
	if i > 0 {
		behind = requests[i-1].job().ID
	}
	p.emit(Event{Kind: "task_waits", Job: r.job().ID, Task: r.first().fullName, Wait: p.now.Monotonic - r.waitingSince, Detail: fmt.Sprintf(
		"account=%s priority=%d tasks=%d position=%d of=%d behind=%s rank=%s expired=%t reason: %s", r.job().Account, r.priority(), len(r.units), i+1, len(requests), behind, r.rank, r.expired, p.waitReason(s, r))})
}

// DemandKey groups the accounts' demand for the metrics.
type DemandKey struct {
	Account  string
	Priority int
}

// Demand returns what the accounts used and waited for lately, as a share of the
// service.
func (p *Planner) Demand() map[DemandKey]float64 {
	out := make(map[DemandKey]float64)
	for class, accounts := range p.demand.All() {
		for account, share := range accounts {
			out[DemandKey{account, class.Priority}] += share
		}
	}
	return out
}
