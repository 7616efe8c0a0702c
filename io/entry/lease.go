package entry

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/store"
)

// leaderView is the current leader as mirrored. Its epoch is the store revision
// of the leader's record, so it increases with each new leader.
type leaderView struct {
	name  string
	epoch int64
}

func (c *control) applyLeader(_ clock.Millis, change store.Change) {
	if change.Deleted {
		c.leader = leaderView{}
		c.entry.planner.triggerRound()
		return
	}
	c.leader = leaderView{name: string(change.Value), epoch: change.Rev}
}

// isLeader reports whether this entry holds the lease, by its own clock.
func (p *planner) isLeader() bool {
	_, ok := p.leadership()
	return ok
}

// leadership returns the epoch of the lease that this entry has taken, or 0, and
// reports whether the lease is still valid by the entry's own clock.
func (p *planner) leadership() (epoch int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.epoch != 0 && p.entry.Clock.Now() < p.leaseUntil
}

func (p *planner) runLease(ctx context.Context) {
	defer p.wg.Done()
	var lease int64
	for {
		lease = p.renewOrAcquire(ctx, lease)
		if !sleep(ctx, leaseRenewInterval) {
			break
		}
	}
	if lease != 0 {
		revokeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.entry.Store.Revoke(revokeCtx, lease)
	}
}

// renewOrAcquire renews the lease, or acquires it if there is no leader. It
// returns the lease that is held, or 0.
func (p *planner) renewOrAcquire(ctx context.Context, lease int64) int64 {
	began := p.entry.Clock.Now()
	if lease != 0 {
		err := p.entry.Store.KeepAlive(ctx, lease)
		if err == nil {
			p.extendLease(began)
			return lease
		}
		if fault.Is(err, fault.StoreUnavailable) || p.isLeader() {
			return lease
		}
		p.resign("the lease expired")
		return 0
	}
	leader := leaderView{}
	p.entry.withControl(func(c *control, _ clock.Millis) { leader = c.leader })
	if leader.name != "" || p.entry.leaving.Load() {
		return 0
	}
	fresh, err := p.entry.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0
	}
	put := store.Put{Key: p.entry.keys().planner(), Value: []byte(p.entry.Name + "/" + nonce()), Lease: fresh}
	res, err := store.PutWithReadBack(ctx, p.entry.Store, put, func(kv store.KV) bool { return string(kv.Value) == string(put.Value) })
	if err != nil || !res.Applied {
		return 0
	}
	p.mu.Lock()
	p.epoch = res.Current.Rev
	p.mu.Unlock()
	p.extendLease(began)
	p.entry.events.Add(event.Event{Kind: "planner_elected", Epoch: res.Current.Rev})
	p.triggerRound()
	return fresh
}

func (p *planner) extendLease(began clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseUntil = began + leaseTTL
}

func (p *planner) resign(why string) {
	p.mu.Lock()
	epoch := p.epoch
	p.epoch = 0
	p.reclaims = make(map[string]reclaim)
	p.waitReasons = make(map[string]string)
	p.mu.Unlock()
	p.entry.events.Add(event.Event{Kind: "planner_resigned", Epoch: epoch, Detail: why})
}
