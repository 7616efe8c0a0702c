package entry

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/retry"
	"gypsumcrank/io/store"
)

// Intervals and limits of the calls to the platform's store.
const (
	// watchCheckInterval is how often a cheap read checks whether the watch
	// has missed changes.
	watchCheckInterval = 2 * time.Second
	// memberTTL is the lease TTL of an entry's membership record.
	memberTTL           = 10 * clock.Second
	memberRenewInterval = 3 * time.Second
	collectBatch        = 200
	// recordRetention is how long ended claims, jobs and responses are
	// kept.
	recordRetention = 24 * clock.Hour
	collectInterval = 5 * time.Minute
)

// keys builds the keys of records in the platform's store.
type keys struct{ root string }

func (e *Entry) keys() keys { return keys{root: "gypsumcrank/" + e.Region + "/"} }

func (k keys) live() string             { return k.root + "live/" }
func (k keys) config() string           { return k.root + "live/config" }
func (k keys) members() string          { return k.root + "live/entries/" }
func (k keys) member(n string) string   { return k.members() + n }
func (k keys) planner() string          { return k.root + "live/planner" }
func (k keys) jobs() string             { return k.root + "live/jobs/" }
func (k keys) job(id string) string     { return k.jobs() + id }
func (k keys) claims() string           { return k.root + "claims/" }
func (k keys) claim(a, r string) string { return k.claims() + a + "/" + r }
func (k keys) answers() string          { return k.root + "answers/" }
func (k keys) answer(id string) string  { return k.answers() + id }

// Messages from the mirror to control.
type (
	// snapshotMsg has all live records, at store revision rev.
	snapshotMsg struct {
		kvs []store.KV
		rev int64
	}
	// changesMsg has changes reported by the watch.
	changesMsg struct{ changes []store.Change }
	// storeStatusMsg reports whether the store responds, and whether the
	// mirrored view is current.
	storeStatusMsg struct {
		err     error
		current bool
	}
)

// mirror copies the live records of the platform's store into control: one
// list, then a watch, which is checked by a cheap read at intervals.
type mirror struct {
	entry  *Entry
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	lastRev int64
}

// Start starts the mirror, the renewal of the entry's membership record, and
// the collection of expired records.
func (m *mirror) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wg.Add(3)
	go m.run(ctx)
	go m.runMembership(ctx)
	go m.runCollect(ctx)
	return nil
}

// Stop stops the mirror and removes the entry's membership record.
func (m *mirror) Stop(context.Context) error {
	m.cancel()
	m.wg.Wait()
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (m *mirror) run(ctx context.Context) {
	defer m.wg.Done()
	backoff := retry.Backoff{Initial: 100, Max: 2 * clock.Second}
	for ctx.Err() == nil {
		err := m.listAndWatch(ctx, &backoff)
		m.entry.loop.Send(storeStatusMsg{err: err})
		sleep(ctx, backoff.Next().Duration())
	}
}

// listAndWatch lists the live records, then watches them until the watch breaks
// or falls behind.
func (m *mirror) listAndWatch(ctx context.Context, backoff *retry.Backoff) error {
	kvs, rev, err := m.entry.Store.List(ctx, m.entry.keys().live())
	if err != nil {
		return err
	}
	backoff.Reset()
	m.recordRevision(rev)
	m.entry.loop.Send(snapshotMsg{kvs: kvs, rev: rev})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.wg.Add(1)
	go m.runWatchCheck(ctx, cancel)
	return m.entry.Store.Watch(ctx, m.entry.keys().live(), rev, func(changes []store.Change) {
		for _, c := range changes {
			m.recordRevision(c.Rev)
		}
		m.entry.loop.Send(changesMsg{changes: changes})
	})
}

func (m *mirror) recordRevision(rev int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastRev = max(m.lastRev, rev)
}

func (m *mirror) behind(newest int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return newest > m.lastRev
}

// runWatchCheck restarts a watch that has missed changes. A watch counts as
// stalled only if it is behind at two checks in a row, so that a change in
// transit is not taken for a lost one.
func (m *mirror) runWatchCheck(ctx context.Context, restart context.CancelFunc) {
	defer m.wg.Done()
	lagging := int64(0)
	for sleep(ctx, watchCheckInterval) {
		newest, err := m.entry.Store.LatestRevision(ctx, m.entry.keys().live())
		if err != nil {
			m.entry.loop.Send(storeStatusMsg{err: err})
			continue
		}
		if lagging > 0 && m.behind(lagging) {
			m.entry.events.Add(event.Event{Kind: "watch_stalled", Revision: newest})
			restart()
			return
		}
		lagging = 0
		if m.behind(newest) {
			lagging = newest
		}
		m.entry.loop.Send(storeStatusMsg{current: lagging == 0})
	}
}

// runMembership keeps the entry's membership record under a lease.
func (m *mirror) runMembership(ctx context.Context) {
	defer m.wg.Done()
	var lease int64
	for {
		lease = m.renewMembership(ctx, lease)
		if !sleep(ctx, memberRenewInterval) {
			break
		}
	}
	if lease != 0 {
		revokeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = m.entry.Store.Revoke(revokeCtx, lease)
	}
}

func (m *mirror) renewMembership(ctx context.Context, lease int64) int64 {
	if lease != 0 && m.entry.Store.KeepAlive(ctx, lease) == nil {
		return lease
	}
	fresh, err := m.entry.Store.Grant(ctx, memberTTL)
	if err != nil {
		return lease
	}
	key := m.entry.keys().member(m.entry.Name)
	current, _, err := m.entry.Store.Get(ctx, key)
	if err != nil {
		return 0
	}
	put := store.Put{Key: key, Value: []byte(m.entry.Advertise), IfRev: current.Rev, Lease: fresh}
	if ok, _, err := m.entry.Store.Swap(ctx, put); err != nil || !ok {
		return 0
	}
	return fresh
}

// runCollect deletes expired records in bounded batches while this entry is the
// leader.
func (m *mirror) runCollect(ctx context.Context) {
	defer m.wg.Done()
	for sleep(ctx, collectInterval) {
		if m.entry.planner.isLeader() {
			m.collectExpired(ctx, m.entry.keys().claims())
			m.collectExpired(ctx, m.entry.keys().jobs())
		}
	}
}

// collectExpired deletes the records under prefix that are past their
// retention, and with a job its responses.
func (m *mirror) collectExpired(ctx context.Context, prefix string) {
	keys := m.entry.keys()
	kvs, err := m.entry.Store.Oldest(ctx, prefix, collectBatch)
	if err != nil {
		return
	}
	now := m.entry.Clock.Now()
	dropped := 0
	for _, kv := range kvs {
		if !expired(kv, prefix, keys, now) {
			continue
		}
		if id, ok := strings.CutPrefix(kv.Key, keys.jobs()); ok && !m.deletePrefix(ctx, keys.answer(id+"/")) {
			continue
		}
		if m.deleteIfUnchanged(ctx, kv) {
			dropped++
		}
	}
	if dropped > 0 {
		m.entry.events.Add(event.Event{Kind: "records_collected", Detail: strconv.Itoa(dropped) + " of " + strings.TrimPrefix(prefix, keys.root)})
	}
}

func (m *mirror) deletePrefix(ctx context.Context, prefix string) bool {
	kvs, _, err := m.entry.Store.List(ctx, prefix)
	for _, kv := range kvs {
		if !m.deleteIfUnchanged(ctx, kv) {
			return false
		}
	}
	return err == nil
}

// deleteIfUnchanged deletes a record if it is still at the revision that was
// read.
func (m *mirror) deleteIfUnchanged(ctx context.Context, kv store.KV) bool {
	ok, _, err := m.entry.Store.Swap(ctx, store.Put{Key: kv.Key, IfRev: kv.Rev, Delete: true})
	return ok && err == nil
}
