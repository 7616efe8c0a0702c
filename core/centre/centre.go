// Package centre keeps which data centres the operator has closed for new work.
// Like the configuration, it never goes back to an older revision.
//
// The load it answers: a data centre is closed while its workers are busy, and
// reopened or closed again before all processes have seen the last change.
package centre

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gypsumcrank/core/clock"
)

// Change says that a data centre was closed or reopened at a revision of the
// store.
type Change struct {
	Name   string
	Closed bool
	Rev    int64
}

// Closed is the set of closed data centres at one revision. It is immutable; the
// nil set is empty and older than all others.
type Closed struct {
	rev   int64
	names map[string]int64 // revision of the closing, by data centre
}

// NewClosed returns the set of the named data centres, all closed at a revision.
func NewClosed(rev int64, names ...string) *Closed {
	c := &Closed{rev: rev, names: make(map[string]int64, len(names))}
	for _, name := range names {
		c.names[name] = rev
	}
	return c
}

// Has reports whether a data centre is closed.
func (c *Closed) Has(name string) bool { return c.ClosedAt(name) > 0 }

// ClosedAt returns the revision at which a data centre was closed, or 0 if it is
// open.
func (c *Closed) ClosedAt(name string) int64 {
	return c.closings()[name]
}

// Len returns the number of closed data centres.
func (c *Closed) Len() int { return len(c.closings()) }

// Rev returns the revision of the newest change in the set.
func (c *Closed) Rev() int64 {
	if c == nil {
		return 0
	}
	return c.rev
}

// Names returns the closed data centres in order.
func (c *Closed) Names() []string {
	return slices.Sorted(maps.Keys(c.closings()))
}

// Current holds the newest set that the process has seen. Set the exported field
// before use.
type Current struct {
	// ConfirmedAt, if set, returns the monotonic time up to which all changes are
	// known.
	ConfirmedAt func() clock.Millis

	mu     sync.Mutex
	latest map[string]Change // newest change of each data centre, also of reopened ones
	closed atomic.Pointer[Closed]
}

// Apply applies changes in any order, each unless a newer one of the same data
// centre is known. It reports whether the set differs from before. An Apply
// without changes says that no data centre is known to be closed.
func (cur *Current) Apply(changes ...Change) bool {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	if cur.latest == nil {
		cur.latest = make(map[string]Change)
	}
	next := &Closed{names: make(map[string]int64)}
	for _, ch := range changes {
		if ch.Rev > cur.latest[ch.Name].Rev {
			cur.latest[ch.Name] = ch
		}
	}
	for _, ch := range cur.latest {
		next.rev = max(next.rev, ch.Rev)
		if ch.Closed {
			next.names[ch.Name] = ch.Rev
		}
	}
	old := cur.closed.Load()
	if old != nil && old.rev == next.rev {
		return false
	}
	cur.closed.Store(next)
	return !maps.Equal(next.names, old.closings())
}

func (c *Closed) closings() map[string]int64 {
	if c == nil {
		return nil
	}
	return c.names
}

// Get returns the newest set, or nil if none is known yet.
func (cur *Current) Get() *Closed { return cur.closed.Load() }

// Confirmed returns the time up to which the set that a later Get returns is
// complete; 0 if that is not known.
func (cur *Current) Confirmed() clock.Millis {
	if cur.ConfirmedAt == nil {
		return 0
	}
	return cur.ConfirmedAt()
}
