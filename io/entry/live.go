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

// Paces of the conversation with the platform's store.
const (
	// checkEvery is how often a quiet watch is checked by a cheap read.
	checkEvery = 2 * time.Second
	// memberTTL is the lease of an entry's own record.
	memberTTL   = 10 * clock.Second
	memberEvery = 3 * time.Second
	collectPage = 200
	// keepFor is how long ended claims, jobs and answers can be asked for.
	keepFor      = 24 * clock.Hour
	collectEvery = 5 * time.Minute
)

// keys are the places of records in the platform's store.
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

// Messages of the mirror to control.
type (
	// syncMsg is the whole live part of the store.
	syncMsg struct {
		kvs []store.KV
		rev int64
	}
	// changesMsg is what the watch saw.
	changesMsg struct{ changes []store.Change }
	// storeMsg says whether the store answers, and that the view is current.
	storeMsg struct {
		err     error
		current bool
	}
)

// live mirrors the live part of the platform's store into control: one list,
// then one watch, which is checked by a cheap read now and then.
type live struct {
	entry  *Entry
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	seen int64
}

// Start begins to mirror.
func (l *live) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Add(3)
	go l.run(ctx)
	go l.runMember(ctx)
	go l.runCollect(ctx)
	return nil
}

// Stop ends the mirror and takes the entry's record away.
func (l *live) Stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (l *live) run(ctx context.Context) {
	defer l.wg.Done()
	backoff := retry.Backoff{Initial: 100, Max: 2 * clock.Second}
	for ctx.Err() == nil {
		err := l.follow(ctx, &backoff)
		l.entry.loop.Send(storeMsg{err: err})
		pause(ctx, backoff.Next().Duration())
	}
}

// follow lists, then watches until the watch breaks or falls behind.
func (l *live) follow(ctx context.Context, backoff *retry.Backoff) error {
	kvs, rev, err := l.entry.Store.List(ctx, l.entry.keys().live())
	if err != nil {
		return err
	}
	backoff.Reset()
	l.note(rev)
	l.entry.loop.Send(syncMsg{kvs: kvs, rev: rev})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.wg.Add(1)
	go l.runCheck(ctx, cancel)
	return l.entry.Store.Watch(ctx, l.entry.keys().live(), rev, func(changes []store.Change) {
		for _, c := range changes {
			l.note(c.Rev)
		}
		l.entry.loop.Send(changesMsg{changes: changes})
	})
}

func (l *live) note(rev int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = max(l.seen, rev)
}

func (l *live) behind(newest int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newest > l.seen
}

// runCheck ends a watch that has missed something: behind at two checks in a
// row, so that a change on its way is not taken for a lost one.
func (l *live) runCheck(ctx context.Context, restart context.CancelFunc) {
	defer l.wg.Done()
	lagging := int64(0)
	for pause(ctx, checkEvery) {
		newest, err := l.entry.Store.Newest(ctx, l.entry.keys().live())
		if err != nil {
			l.entry.loop.Send(storeMsg{err: err})
			continue
		}
		if lagging > 0 && l.behind(lagging) {
			l.entry.line.Add(event.Event{Kind: "watch_stalled", Revision: newest})
			restart()
			return
		}
		lagging = 0
		if l.behind(newest) {
			lagging = newest
		}
		l.entry.loop.Send(storeMsg{current: lagging == 0})
	}
}

// runMember keeps the entry's own record under a lease.
func (l *live) runMember(ctx context.Context) {
	defer l.wg.Done()
	var lease int64
	for {
		lease = l.keepMember(ctx, lease)
		if !pause(ctx, memberEvery) {
			break
		}
	}
	if lease != 0 {
		bye, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.entry.Store.Revoke(bye, lease)
	}
}

func (l *live) keepMember(ctx context.Context, lease int64) int64 {
	if lease != 0 && l.entry.Store.KeepAlive(ctx, lease) == nil {
		return lease
	}
	fresh, err := l.entry.Store.Grant(ctx, memberTTL)
	if err != nil {
		return lease
	}
	key := l.entry.keys().member(l.entry.Name)
	now, _, err := l.entry.Store.Get(ctx, key)
	if err != nil {
		return 0
	}
	put := store.Put{Key: key, Value: []byte(l.entry.Advertise), IfRev: now.Rev, Lease: fresh}
	if ok, _, err := l.entry.Store.Swap(ctx, put); err != nil || !ok {
		return 0
	}
	return fresh
}

// runCollect lets the planner drop what is too old, in bounded batches.
func (l *live) runCollect(ctx context.Context) {
	defer l.wg.Done()
	for pause(ctx, collectEvery) {
		if l.entry.planner.leads() {
			l.collect(ctx, l.entry.keys().claims())
			l.collect(ctx, l.entry.keys().jobs())
		}
	}
}

// collect drops records under a prefix that are too old to be asked for, and
// with a job its answers.
func (l *live) collect(ctx context.Context, prefix string) {
	keys := l.entry.keys()
	kvs, err := l.entry.Store.Oldest(ctx, prefix, collectPage)
	if err != nil {
		return
	}
	now := l.entry.Clock.Now()
	dropped := 0
	for _, kv := range kvs {
		if !expired(kv, prefix, keys, now) {
			continue
		}
		if id, ok := strings.CutPrefix(kv.Key, keys.jobs()); ok && !l.dropAll(ctx, keys.answer(id+"/")) {
			continue
		}
		if l.drop(ctx, kv) {
			dropped++
		}
	}
	if dropped > 0 {
		l.entry.line.Add(event.Event{Kind: "records_collected", Detail: strconv.Itoa(dropped) + " of " + strings.TrimPrefix(prefix, keys.root)})
	}
}

func (l *live) dropAll(ctx context.Context, prefix string) bool {
	kvs, _, err := l.entry.Store.List(ctx, prefix)
	for _, kv := range kvs {
		if !l.drop(ctx, kv) {
			return false
		}
	}
	return err == nil
}

// drop deletes a record that is still as it was read.
func (l *live) drop(ctx context.Context, kv store.KV) bool {
	ok, _, err := l.entry.Store.Swap(ctx, store.Put{Key: kv.Key, IfRev: kv.Rev, Delete: true})
	return ok && err == nil
}
