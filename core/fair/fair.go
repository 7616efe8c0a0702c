// Package fair decides which of the requests of one priority goes first when not
// all of them can be placed.
//
// It answers a flood: one client account submits many times what it usually does
// and fills the workers. By deadline alone all accounts would be late. Here every
// account has a share of the service, weighted by its guarantee, and an account
// that uses more than its share lately waits for those that use less.
//
// Where no request has to wait, or one account alone waits, or no account is over
// its share, every rank is Normal and the caller's own order remains.
package fair

import (
	"maps"
	"slices"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Rank is the position of a request within its class; lower ranks go first.
type Rank int

// The ranks.
const (
	Aged      Rank = iota - 1 // has waited for AgeLimit; at most one request of a class
	Normal                    // as the caller orders them
	OverShare                 // its account demands a multiple of its share while others wait
)

func (r Rank) String() string {
	switch r {
	case Aged:
		return "aged"
	case OverShare:
		return "over_share"
	default:
		return "normal"
	}
}

// Class is a set of requests that compete: those of one priority for one service.
type Class struct {
	Service  string
	Priority int
}

// Request is what the ranks depend on.
type Request struct {
	Class   Class
	Account string
	Since   clock.Millis // when it could first have been placed
}

const (
	// ShortAfter is how long a request must wait before its class counts as short of
	// resources. A request that fits starts within a few milliseconds.
	ShortAfter = 200 * clock.Millisecond
	// AgeLimit is how long a request waits before it goes first in its class, the
	// oldest request first and one at a time.
	AgeLimit = 30 * clock.Second
	// tolerance is the multiple of its share that an account may demand: demand varies,
	// and one wide job takes a small account beyond its share.
	tolerance = 3
	// minWeight is the least weight of an account, as a part of the mean weight, so
	// that accounts without a guarantee have a share as well.
	minWeight = 0.25
)

// DominantShare returns the largest part of total that need takes of any resource.
func DominantShare(need, total task.Resources) float64 {
	part := func(n, of int) float64 {
		if of <= 0 {
			return 0
		}
		return float64(n) / float64(of)
	}
	return max(part(need.MilliCPU, total.MilliCPU), part(need.MemoryMB, total.MemoryMB), part(need.Accelerators, total.Accelerators))
}

// Weights returns the weight of each account, which is its guarantee in
// accelerators, but at least a part of the mean. Without guarantees all weights are
// equal.
func Weights(guarantees map[string]int) map[string]float64 {
	sum := 0
	for _, g := range guarantees {
		sum += g
	}
	floor := 1.0
	if sum > 0 {
		floor = minWeight * float64(sum) / float64(len(guarantees))
	}
	weights := make(map[string]float64, len(guarantees))
	for account, g := range guarantees {
		weights[account] = max(floor, float64(g))
	}
	return weights
}

// Ranks returns the rank of each request. Demand is the ledger of what the accounts
// use and wait for, and weights the accounts' weights; an account without a weight has
// the least.
func Ranks(now clock.Millis, requests []Request, demand *Ledger, weights map[string]float64) []Rank {
	ranks := make([]Rank, len(requests))
	classes := make(map[Class][]int)
	for i, r := range requests {
		classes[r.Class] = append(classes[r.Class], i)
	}
	for class, members := range classes {
		c := contest{now: now, class: class, demand: demand, weights: weights}
		c.rank(requests, members, ranks)
	}
	return ranks
}

// contest ranks the requests of one class.
type contest struct {
	now     clock.Millis
	class   Class
	demand  *Ledger
	weights map[string]float64
}

func (c contest) rank(requests []Request, members []int, ranks []Rank) {
	oldest := members[0]
	for _, i := range members {
		if requests[i].Since < requests[oldest].Since {
			oldest = i
		}
	}
	wait := c.now - requests[oldest].Since
	if wait < ShortAfter {
		return
	}
	over := c.overShare()
	for _, i := range members {
		if over[requests[i].Account] {
			ranks[i] = OverShare
		}
	}
	if wait >= AgeLimit {
		ranks[oldest] = Aged
	}
}

// overShare returns the accounts whose demand has been more than the tolerated
// multiple of their share of all demand, if all demand exceeds the service and these
// accounts make up most of it.
func (c contest) overShare() map[string]bool {
	sum, weights := 0.0, 0.0
	for _, account := range slices.Sorted(maps.Keys(c.weights)) {
		weights += c.weights[account]
	}
	demand := c.demand.Mean(c.class)
	accounts := slices.Sorted(maps.Keys(demand)) // so that the sums don't depend on the order
	for _, account := range accounts {
		sum += demand[account]
		if c.weights[account] == 0 {
			weights += c.weight(account)
		}
	}
	over := make(map[string]bool)
	flood := 0.0
	for _, account := range accounts {
		if d := demand[account]; d > tolerance*sum*c.weight(account)/weights {
			over[account] = true
			flood += demand[account]
		}
	}
	if sum < 1 || 2*flood < sum {
		return nil
	}
	return over
}

func (c contest) weight(account string) float64 {
	if w := c.weights[account]; w > 0 {
		return w
	}
	least := 1.0
	for _, w := range c.weights {
		least = min(least, w)
	}
	return least
}
