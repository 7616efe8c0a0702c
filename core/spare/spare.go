// Package spare decides how much is kept free for urgent jobs that are still to come.
//
// It answers urgent jobs of a second or two beside a backlog that fills every worker: an
// urgent job that finds nothing free has to wait until something was stopped for it. What is
// kept free for nobody is lost to the backlog. So as much is kept as arrives within the time that a
// stop takes, at the worst such time of the recent past: nothing where no urgent jobs arrive, one
// job where they are rare, and several where they are frequent.
package spare

import (
	"slices"

	"gypsumcrank/core/clock"
)

const (
	// history is how long an arrival counts.
	history = 30 * clock.Second
	// interval is how often what is to be kept is computed while nothing arrives.
	interval = 250 * clock.Millisecond
)

// Demand is the urgent demand of the recent past. Set Window before use.
type Demand struct {
	// Window is how long it takes to free resources for what finds none, in milliseconds.
	Window clock.Millis

	arrivals   []arrival // in order of time
	keep       int
	computedAt clock.Millis // 0 if keep is out of date
}

// arrival is what arrived at a time.
type arrival struct {
	at   clock.Millis
	need int
}

// Add notes that need arrived at a time, which may be earlier than those of other calls: a new
// planner learns of earlier jobs from their records.
func (d *Demand) Add(at clock.Millis, need int) {
	i := len(d.arrivals)
	for i > 0 && d.arrivals[i-1].at > at {
		i--
	}
	d.arrivals = slices.Insert(d.arrivals, i, arrival{at, need})
	d.computedAt = 0
}

// Keep returns how much is to be kept free now.
func (d *Demand) Keep(now clock.Millis) int {
	if d.computedAt == 0 || now-d.computedAt >= interval {
		d.keep, d.computedAt = d.compute(now), now
	}
	return d.keep
}

// compute returns the most that arrived within one window of the last history.
func (d *Demand) compute(now clock.Millis) int {
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a arrival) bool { return a.at <= now-history })
	most, sum, first := 0, 0, 0
	for _, a := range d.arrivals {
		sum += a.need
		for ; d.arrivals[first].at <= a.at-d.Window; first++ {
			sum -= d.arrivals[first].need
		}
		most = max(most, sum)
	}
	return most
}
