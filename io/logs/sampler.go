package logs

import (
	"sync"

	"gypsumcrank/core/clock"
)

// Sampler decides which of many like events are logged: of each kind, at most Max in an interval.
// Kinds must not come from outside, as they are remembered. Set the exported fields before use.
//
//	s := logs.Sampler[string]{Interval: clock.Second, Max: 20}
//	if count := s.Due("refused", now); count > 0 {
//		log.Warn("refused", "count", count)
//	}
type Sampler[K comparable] struct {
	Interval clock.Millis
	Max      int

	mu    sync.Mutex
	kinds map[K]*sample
}

// sample is what a Sampler knows of one kind of event.
type sample struct {
	began   clock.Millis // of the interval
	logged  int          // events in the interval
	skipped int          // events since the last one that was logged
}

// Due counts an event that happens now, on the monotonic clock. It returns how many events the line
// for it stands for, with those that were not logged before it; 0 if it is not to be logged.
func (s *Sampler[K]) Due(kind K, now clock.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds == nil {
		s.kinds = make(map[K]*sample)
	}
	e := s.kinds[kind]
	if e == nil {
		e = &sample{began: now}
		s.kinds[kind] = e
	}
	if now-e.began >= s.Interval {
		e.began, e.logged = now, 0
	}
	if e.logged >= s.Max {
		e.skipped++
		return 0
	}
	count := e.skipped + 1
	e.logged, e.skipped = e.logged+1, 0
	return count
}
