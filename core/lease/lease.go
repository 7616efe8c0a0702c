// Package lease decides when the runs of a worker that no longer answers are
// certainly over.
//
// It answers the load of workers that are taken away at short notice while
// planners change: a gang that lost a member must start again as soon as that
// member's run is over, and no sooner. There are two proofs. Every lease that
// reached the worker has ended, which its side shows with a Handover to whatever
// planner asks; or the worker's process is gone, which its side shows with a
// Departure. Silence, a time-out or a reset connection proves nothing.
package lease

import "gypsumcrank/core/clock"

const (
	// driftPercent is how many percent too slow a worker's clock may run.
	driftPercent = 2
	// slack is added to every wait for a lease to end.
	slack = 300 * clock.Millisecond
	// MaxOrderDelay is how long after it was sent an order without a definite
	// answer may still be carried out: the platform specifies 12 s, and 3 s are
	// added for transit.
	MaxOrderDelay = 15 * clock.Second
)

// Wait returns how long the holder of a lease must be waited for: the lease's
// length on a clock that may be too slow.
func Wait(length clock.Millis) clock.Millis { return length + length*driftPercent/100 + slack }

// Ended reports whether a lease has ended on a worker's clock, which showed the
// given time when it was last read, the given time ago.
func Ended(until, lastRead, ago clock.Millis) bool {
	return lastRead+ago*(100-driftPercent)/100 > until+slack
}

// Handover is what a side knows of the leases on its worker at the moment of
// sending, on its own clock. As every call to a worker goes through its side, a
// planner that has sent nothing to the worker itself learns from it which leases
// its predecessors' grants have left.
type Handover struct {
	Until  clock.Millis `cbor:"1,keyasint,omitempty"` // latest end of a lease that was passed on, on the worker's clock; 0 if none was
	Clock  clock.Millis `cbor:"2,keyasint,omitempty"` // the worker's clock when it last answered; 0 if it never did
	Age    clock.Millis `cbor:"3,keyasint,omitempty"` // how long ago that was
	Uptime clock.Millis `cbor:"4,keyasint,omitempty"` // how long the side process has run: an earlier one may have passed on leases too
	// LostFor is how long ago the first call failed since the worker last answered; 0 if the
	// side does not say. It proves nothing, but dates a crash.
	LostFor clock.Millis `cbor:"5,keyasint,omitempty"`
	// Refused is set if the worker's port refused the last connection: its process has likely
	// crashed, which proves nothing about its leases.
	Refused bool `cbor:"6,keyasint,omitempty"`
}

// Ended reports whether no lease was left on the worker when the handover was
// sent. The longest is the longest lease that a planner grants.
func (h Handover) Ended(longest clock.Millis) bool {
	switch {
	case h.Uptime <= Wait(longest):
		return false
	case h.Until == 0:
		return true
	case h.Clock == 0:
		return false
	}
	return Ended(h.Until, h.Clock, h.Age)
}

// Start is a start order that a side passed on and that had no definite answer.
type Start struct {
	Task string       `cbor:"1,keyasint"`
	Run  int          `cbor:"2,keyasint"`
	Age  clock.Millis `cbor:"3,keyasint,omitempty"` // how long ago it was passed on
}

// Departure says that a worker's process is gone or has left, and everything that
// ran on it with it. The unanswered starts may still be carried out by a later process with
// the same ID.
type Departure struct {
	Unanswered []Start `cbor:"1,keyasint,omitempty"`
}
