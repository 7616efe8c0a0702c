// Package mirror keeps a copy of all keys under a prefix of the store, by
// listing them once and watching from there.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/store"
)

// Timing of the watch.
const (
	// defaultPollWait is how long a poll waits for changes if MaxDelay is not set.
	defaultPollWait = 1500 * clock.Millisecond
	// pollsPerDelay is how many polls fit into MaxDelay.
	pollsPerDelay = 4
	// pollGrace is how much longer than its wait a poll may take if MaxDelay is set; a
	// slow store responds in 250 ms.
	pollGrace = 300 * clock.Millisecond
	// retryDelay is the wait after a failed call.
	retryDelay = 100 * clock.Millisecond
	// expectWait is how long an idle watch may take to deliver an expected
	// revision; with a store that responds within 4 ms it takes less than 20 ms.
	expectWait = 50 * clock.Millisecond
	// silentAfter is how long a watch must have delivered nothing at all to
	// count as silent. One that is only behind catches up sooner than a list of
	// 1 MB, which takes 0.8 s at 10 Mbit/s.
	silentAfter = 200 * clock.Millisecond
	// relistInterval is the least time between two lists that a silent watch
	// causes.
	relistInterval = clock.Second
	// lateMargin is how long beyond a poll's wait the store may not have responded
	// before changes that then arrive are logged as late.
	lateMargin = 500 * clock.Millisecond
)

// source is the kind of call that brought changes.
type source string

const (
	fromList  source = "list"
	fromWatch source = "watch"
)

// Mirror keeps a copy of the keys under Prefix. Set the exported fields before
// Start.
type Mirror struct {
	Prefix string
	Store  store.TxnStore
	Clock  clock.Clock
	Log    *slog.Logger
	// OnChange is called with changes in order, from one goroutine.
	OnChange func([]store.Change)
	// MaxDelay bounds how late a change may arrive while the store responds to reads,
	// even if its watches are silent. A poll that gets no response within a quarter of
	// it and pollGrace is followed by a list, so it suits prefixes with few keys. 0 sets
	// no bound: the poll is repeated, and only ExpectRevision causes a list.
	MaxDelay clock.Millis

	maxDelay    atomic.Int64 // MaxDelay or what SetMaxDelay replaced it by, in milliseconds
	mu          sync.Mutex
	keys        map[string]store.KV
	rev         int64
	advanced    chan struct{}
	lastContact clock.Millis // when the store last responded
	confirmed   moment       // when the latest call that succeeded was sent
	unavailable bool
	expectedRev int64              // highest revision that is known to be written
	relistedAt  clock.Millis       // when a silent watch last caused a list
	cancelPoll  context.CancelFunc // cancels the poll under way
	cancel      context.CancelFunc
	done        chan struct{}
}

// Start starts to follow the prefix; it does not wait for the store.
func (m *Mirror) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	m.keys, m.advanced = make(map[string]store.KV), make(chan struct{})
	m.SetMaxDelay(m.MaxDelay)
	go m.run(ctx)
	return nil
}

// SetMaxDelay replaces MaxDelay, from the next poll on.
func (m *Mirror) SetMaxDelay(d clock.Millis) { m.maxDelay.Store(int64(d)) }

// pollWait returns how long a poll waits for changes, and whether MaxDelay is set.
func (m *Mirror) pollWait() (wait clock.Millis, bounded bool) {
	if d := clock.Millis(m.maxDelay.Load()); d > 0 {
		return d / pollsPerDelay, true
	}
	return defaultPollWait, false
}

// Stop stops following the prefix.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	<-m.done
	return nil
}

// Rev returns the revision up to which the copy is complete, 0 before the first
// list.
func (m *Mirror) Rev() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// LastContact returns when the store last responded, on the monotonic clock; 0
// if never.
func (m *Mirror) LastContact() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// Freshness returns for how long the copy may have been out of date, and MaxDelay:
// the copy holds all changes that were made before the latest successful call was
// sent. Before the first list the age is that of the process.
func (m *Mirror) Freshness() (age, maxDelay clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Monotonic() - m.confirmed.ago(m.Clock), clock.Millis(m.maxDelay.Load())
}

// ConfirmedAt returns the monotonic time up to which the copy holds all changes; 0
// before the first list. It is earlier by the time in which the host was suspended since.
func (m *Mirror) ConfirmedAt() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed.ago(m.Clock)
}

// ExpectRevision says that the store has reached a revision. If the watch does
// not deliver it soon, all keys are listed again: a watch may be silent while
// changes are made.
func (m *Mirror) ExpectRevision(rev int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev <= m.rev || rev <= m.expectedRev {
		return
	}
	m.expectedRev = rev
	time.AfterFunc(expectWait.Duration(), m.relistIfBehind)
}

// relistIfBehind cancels the poll under way if the watch is silent and behind
// the expected revision, so that all keys are listed again.
func (m *Mirror) relistIfBehind() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rev >= m.expectedRev || m.cancelPoll == nil {
		return
	}
	now := m.Clock.Monotonic()
	delay := m.lastContact + silentAfter - now
	if m.relistedAt > 0 {
		delay = max(delay, m.relistedAt+relistInterval-now)
	}
	if delay > 0 {
		time.AfterFunc(delay.Duration(), m.relistIfBehind)
		return
	}
	m.relistedAt = now
	m.Log.Info("watch_behind", "prefix", m.Prefix, "revision", m.rev, "news", m.expectedRev)
	m.cancelPoll()
	m.cancelPoll = nil
}

// Wait returns once the copy is complete up to a revision, or ctx ends.
func (m *Mirror) Wait(ctx context.Context, rev int64) error {
	for {
		m.mu.Lock()
		have, advanced := m.rev, m.advanced
		m.mu.Unlock()
		if have >= rev {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-advanced:
		}
	}
}

func (m *Mirror) run(ctx context.Context) {
	defer close(m.done)
	listed := false
	failedAt := -relistInterval // when a watch last failed for good
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = m.list(ctx)
			listed = err == nil
		} else {
			var relist bool
			relist, err = m.poll(ctx)
			if errors.Is(err, store.ErrCompacted) {
				m.Log.Info("mirror_history_lost", "prefix", m.Prefix, "revision", m.Rev())
				relist = true
			}
			if fault.Is(err, fault.TooLarge) || fault.Is(err, fault.Rejected) {
				// The same poll would fail again. A list comes in pages.
				m.Log.Warn("mirror_watch_fails", "prefix", m.Prefix, "revision", m.Rev(), "error", err)
				sleep(ctx, failedAt+relistInterval-m.Clock.Monotonic())
				relist, failedAt = true, m.Clock.Monotonic()
			}
			if relist {
				listed, err = false, nil
			}
		}
		m.logAvailability(ctx, err)
		if err != nil {
			if _, bounded := m.pollWait(); bounded {
				listed = false
			}
			sleep(ctx, retryDelay)
		}
	}
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}

// logAvailability logs when the store becomes unavailable and when it responds
// again.
func (m *Mirror) logAvailability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !m.unavailable:
		m.unavailable = true
		m.Log.Warn("store_lost", "prefix", m.Prefix, "revision", m.Rev(), "error", err)
	case err == nil && m.unavailable:
		m.unavailable = false
		m.Log.Info("store_back", "prefix", m.Prefix, "revision", m.Rev())
	}
}

// list reads all keys and applies what differs from the copy.
func (m *Mirror) list(ctx context.Context) error {
	sent := momentOf(m.Clock)
	kvs, rev, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(kvs))
	var changes []store.Change
	for _, kv := range kvs {
		present[kv.Key] = true
		changes = append(changes, store.Change{KV: kv})
	}
	m.mu.Lock()
	for key := range m.keys {
		if !present[key] {
			changes = append(changes, store.Change{KV: store.KV{Key: key, Rev: rev}, Deleted: true})
		}
	}
	m.logMissed(kvs)
	m.mu.Unlock()
	m.apply(changes, rev, fromList, sent)
	return nil
}

// logMissed logs listed keys that a watch should have delivered: they were
// written before the revision up to which the copy is complete. The caller holds
// mu.
func (m *Mirror) logMissed(kvs []store.KV) {
	for _, kv := range kvs {
		if have := m.keys[kv.Key].Rev; have < kv.Rev && kv.Rev <= m.rev {
			m.Log.Warn("watch_missed_change", "prefix", m.Prefix, "key", kv.Key, "revision", kv.Rev, "have", have, "complete_to", m.rev)
		}
	}
}

// poll waits for changes. It reports in relist whether it was cancelled so that
// all keys are listed again.
func (m *Mirror) poll(ctx context.Context) (relist bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.cancelPoll = cancel
	if m.expectedRev > m.rev {
		time.AfterFunc(expectWait.Duration(), m.relistIfBehind)
	}
	m.mu.Unlock()
	sent := momentOf(m.Clock)
	wait, bounded := m.pollWait()
	if bounded {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, (wait + pollGrace).Duration())
		defer stop()
	}
	changes, rev, err := m.Store.Poll(ctx, m.Prefix, m.Rev(), wait)
	m.mu.Lock()
	relist = m.cancelPoll == nil
	m.cancelPoll = nil
	m.mu.Unlock()
	if err != nil {
		return relist, err
	}
	m.apply(changes, rev, fromWatch, sent)
	return relist, nil
}

// apply drops changes that are already known, passes the rest to OnChange, and
// then announces the revision. The call that returned them was sent at the given
// time.
func (m *Mirror) apply(changes []store.Change, rev int64, from source, sent moment) {
	var fresh []store.Change
	m.mu.Lock()
	for _, c := range changes {
		old, have := m.keys[c.Key]
		if have && old.Rev >= c.Rev && !(c.Deleted && old.Rev == c.Rev) || c.Deleted && !have {
			continue
		}
		if c.Deleted {
			delete(m.keys, c.Key)
		} else {
			m.keys[c.Key] = c.KV
		}
		fresh = append(fresh, c)
	}
	m.mu.Unlock()
	if len(fresh) > 0 && m.OnChange != nil {
		m.OnChange(fresh)
	}
	m.mu.Lock()
	now := m.Clock.Monotonic()
	wait, _ := m.pollWait()
	if quiet := now - m.lastContact; m.lastContact > 0 && quiet > wait+lateMargin && len(fresh) > 0 {
		m.Log.Warn("mirror_late", "prefix", m.Prefix, "quiet_for", quiet, "changes", len(fresh), "from", from, "revision", rev)
	}
	m.lastContact = now
	if sent.monotonic > m.confirmed.monotonic {
		m.confirmed = sent
	}
	if rev > m.rev {
		m.rev = rev
		close(m.advanced)
		m.advanced = make(chan struct{})
	}
	m.mu.Unlock()
}

// Get reads a key from the copy.
func (m *Mirror) Get(key string) (store.KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	return kv, ok
}
