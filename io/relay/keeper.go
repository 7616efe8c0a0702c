package relay

import (
	"context"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Dispatch carries out a call at a store.
func Dispatch(ctx context.Context, k store.TxnStore, c link.Call) (r link.Reply, err error) {
	switch c.Op {
	case link.OpGet:
		var kv store.KV
		kv, r.OK, err = k.Get(ctx, c.Key)
		r.KVs = []store.KV{kv}
	case link.OpList:
		r.KVs, r.Rev, err = k.List(ctx, c.Key)
	case link.OpPoll:
		r.Changes, r.Rev, err = k.Poll(ctx, c.Key, c.After, c.Wait)
	case link.OpCommit:
		var res store.TxnResult
		if c.Txn == nil {
			return r, fault.New(fault.Invalid, "send a transaction", "commit call without a transaction").WithOutcome(fault.NotRun)
		}
		res, err = k.Commit(ctx, *c.Txn)
		r.OK, r.Rev = res.Committed, res.Rev
	case link.OpGrant:
		r.Lease, err = k.Grant(ctx, c.Wait)
	case link.OpKeepAlive:
		err = k.KeepAlive(ctx, c.Lease)
	case link.OpRevoke:
		err = k.Revoke(ctx, c.Lease)
	default:
		err = fault.New(fault.Invalid, "run the same version in all processes", "unknown store call %q", c.Op).WithOutcome(fault.NotRun)
	}
	return r, err
}

func (r *Relay) call(ctx context.Context, c link.Call) (link.Reply, error) {
	sent := clock.System().Monotonic()
	reply, err := r.route(ctx, c)
	if ctx.Err() == nil || err == nil {
		r.recordResult(sent, err)
	}
	return reply, err
}

// callDirect makes a call without a peer. A poll is cancelled when another call
// finds that the direct route does not work: on a connection that has gone
// silent it would receive nothing until its wait is over.
func (r *Relay) callDirect(ctx context.Context, c link.Call) (link.Reply, error) {
	if c.Op == link.OpPoll {
		r.mu.Lock()
		directCtx := r.directCtx
		r.mu.Unlock()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(directCtx, cancel)()
	}
	sent := clock.System().Monotonic()
	reply, err := Dispatch(ctx, r.Direct, c)
	if ctx.Err() == nil && fault.Is(err, fault.StoreUnavailable) && clock.System().Monotonic()-sent < hedgeDelay {
		r.recordRefusal() // it was neither cancelled nor timed out
	}
	return reply, err
}

// Get reads one key.
func (r *Relay) Get(ctx context.Context, key string) (store.KV, bool, error) {
	reply, err := r.call(ctx, link.Call{Op: link.OpGet, Key: key})
	if err != nil || len(reply.KVs) == 0 {
		return store.KV{}, false, err
	}
	return reply.KVs[0], reply.OK, nil
}

// List reads all keys under a prefix.
func (r *Relay) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	reply, err := r.call(ctx, link.Call{Op: link.OpList, Key: prefix})
	return reply.KVs, reply.Rev, err
}

// Poll waits for changes.
func (r *Relay) Poll(ctx context.Context, prefix string, after int64, wait clock.Millis) ([]store.Change, int64, error) {
	reply, err := r.call(ctx, link.Call{Op: link.OpPoll, Key: prefix, After: after, Wait: wait})
	if fault.Is(err, fault.Conflict) {
		err = store.ErrCompacted
	}
	return reply.Changes, reply.Rev, err
}

// Commit applies a transaction.
func (r *Relay) Commit(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	reply, err := r.call(ctx, link.Call{Op: link.OpCommit, Txn: &t})
	return store.TxnResult{Committed: reply.OK, Rev: reply.Rev}, err
}

// Grant creates a lease.
func (r *Relay) Grant(ctx context.Context, ttl clock.Millis) (int64, error) {
	reply, err := r.call(ctx, link.Call{Op: link.OpGrant, Wait: ttl})
	return reply.Lease, err
}

// KeepAlive renews a lease.
func (r *Relay) KeepAlive(ctx context.Context, lease int64) error {
	_, err := r.call(ctx, link.Call{Op: link.OpKeepAlive, Lease: lease})
	return err
}

// Revoke ends a lease.
func (r *Relay) Revoke(ctx context.Context, lease int64) error {
	_, err := r.call(ctx, link.Call{Op: link.OpRevoke, Lease: lease})
	return err
}
