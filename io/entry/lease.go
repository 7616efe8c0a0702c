package entry

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/store"
)

// leaderView is who plans, as the mirror has it. The epoch is the revision of
// the leader's record: it grows with each new leader.
type leaderView struct {
	name  string
	epoch int64
}

func (c *control) leaderFrom(_ clock.Millis, change store.Change) {
	if change.Deleted {
		c.leader = leaderView{}
		c.entry.planner.nudge()
		return
	}
	c.leader = leaderView{name: string(change.Value), epoch: change.Rev}
}

// leads tells whether this entry holds the lease, by its own clock.
func (p *planner) leads() bool {
	_, ok := p.lead()
	return ok
}

func (p *planner) lead() (epoch int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.epoch != 0 && p.entry.Clock.Now() < p.until
}

func (p *planner) runLease(ctx context.Context) {
	defer p.wg.Done()
	var lease int64
	for {
		lease = p.keepLease(ctx, lease)
		if !pause(ctx, leaseEvery) {
			break
		}
	}
	if lease != 0 {
		bye, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.entry.Store.Revoke(bye, lease)
	}
}

// keepLease renews the lease, or takes it where nobody holds it.
func (p *planner) keepLease(ctx context.Context, lease int64) int64 {
	began := p.entry.Clock.Now()
	if lease != 0 {
		err := p.entry.Store.KeepAlive(ctx, lease)
		if err == nil {
			p.extend(began)
			return lease
		}
		if fault.Is(err, fault.StoreUnavailable) || p.leads() {
			return lease
		}
		p.resign("the lease has lapsed")
		return 0
	}
	leader := leaderView{}
	p.entry.ask(func(c *control, _ clock.Millis) { leader = c.leader })
	if leader.name != "" || p.entry.leaving.Load() {
		return 0
	}
	fresh, err := p.entry.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0
	}
	put := store.Put{Key: p.entry.keys().planner(), Value: []byte(p.entry.Name + "/" + nonce()), Lease: fresh}
	res, err := store.Settle(ctx, p.entry.Store, put, func(kv store.KV) bool { return string(kv.Value) == string(put.Value) })
	if err != nil || !res.Won {
		return 0
	}
	p.mu.Lock()
	p.epoch = res.Now.Rev
	p.mu.Unlock()
	p.extend(began)
	p.entry.line.Add(event.Event{Kind: "planner_elected", Epoch: res.Now.Rev})
	p.nudge()
	return fresh
}

func (p *planner) extend(began clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = began + leaseTTL
}

func (p *planner) resign(why string) {
	p.mu.Lock()
	epoch := p.epoch
	p.epoch = 0
	p.promises = make(map[string]promise)
	p.waits = make(map[string]string)
	p.mu.Unlock()
	p.entry.line.Add(event.Event{Kind: "planner_resigned", Epoch: epoch, Detail: why})
}
