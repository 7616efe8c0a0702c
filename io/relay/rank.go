package relay

import (
	"math/rand/v2"
	"slices"
	"sync"

	"gypsumcrank/core/clock"
)

// forgetAfter is how long a peer that did not help is asked after those of which nothing
// is known. The store may serve it again, or its process may go on, at any moment.
const forgetAfter = clock.Second

// outcome is how a call through a peer ended.
type outcome string

const (
	served  outcome = "served"
	refused outcome = "refused" // the peer replied that the store is unavailable
	silent  outcome = "silent"  // the peer did not reply
)

// ranking remembers how calls through peers ended. It orders the peers by what can be
// expected of them.
type ranking struct {
	mu   sync.Mutex
	last string // peer through which the store responded last
	seen map[string]sighting
}

// sighting is the latest outcome of a peer.
type sighting struct {
	outcome outcome
	at      clock.Millis
}

// record records how a call through a peer ended. It reports whether the store now
// responds through another peer than before, and through which one it did.
func (k *ranking) record(addr string, o outcome, now clock.Millis) (changed bool, before string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen == nil {
		k.seen = make(map[string]sighting)
	}
	k.seen[addr] = sighting{o, now}
	before = k.last
	if o == served {
		k.last = addr
	} else if k.last == addr {
		k.last = ""
	}
	return o == served && before != addr, before
}

// closed records that the connection to a peer has ended.
func (k *ranking) closed(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == addr {
		k.last = ""
	}
}

// failedAt returns when a peer did not reply, if that is its latest outcome; otherwise 0.
func (k *ranking) failedAt(addr string) clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.seen[addr]; s.outcome == silent {
		return s.at
	}
	return 0
}

// order returns the peers in the order of asking: first the one through which the store
// responded last, then in random order those of which nothing bad is known, then those
// that the store refused, and last those that did not reply. Among the last two the one
// that was asked longest ago comes first, so that the calls go round them all.
func (k *ranking) order(peers []string, now clock.Millis) []string {
	out := slices.Clone(peers)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	k.mu.Lock()
	defer k.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int {
		ca, cb := k.class(a, now), k.class(b, now)
		if ca != cb || ca < classRefused {
			return int(ca - cb)
		}
		return int(k.seen[a].at - k.seen[b].at)
	})
	return out
}

// class groups the peers for order.
type class int

const (
	classLast class = iota
	classUnknown
	classRefused
	classSilent
)

// class returns the group of a peer. The caller holds mu.
func (k *ranking) class(addr string, now clock.Millis) class {
	if addr == k.last {
		return classLast
	}
	s := k.seen[addr]
	switch {
	case now-s.at >= forgetAfter:
		return classUnknown
	case s.outcome == refused:
		return classRefused
	case s.outcome == silent:
		return classSilent
	}
	return classUnknown
}
