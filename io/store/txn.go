package store

import (
	"bytes"
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Condition requires a key to be at a revision; 0 means that it must not exist.
type Condition struct {
	Key string
	Rev int64
}

// Item is one key and value to write, attached to Lease unless that is 0.
type Item struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction: if all conditions hold, all its writes are applied,
// otherwise none.
type Txn struct {
	If     []Condition
	Put    []Item
	Delete []string
}

// TxnResult reports whether a Txn was committed, and at which revision.
type TxnResult struct {
	Committed bool
	Rev       int64
}

// TxnStore is a store with transactions over several keys and polled watches.
// Errors are store_out faults; their outcome is not_run where the call is known
// to have had no effect.
type TxnStore interface {
	// Get reads one key; ok is false if it does not exist.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// List reads all keys under a prefix; a Poll after rev misses no change.
	List(ctx context.Context, prefix string) (kvs []KV, rev int64, err error)
	// Poll waits for changes after a revision and returns them with the
	// revision to continue from. After ErrCompacted, call List again.
	Poll(ctx context.Context, prefix string, after int64, wait clock.Millis) (changes []Change, rev int64, err error)
	// Commit applies a transaction.
	Commit(ctx context.Context, t Txn) (TxnResult, error)
	// Grant creates a lease; keys attached to it are deleted when it expires.
	Grant(ctx context.Context, ttl clock.Millis) (lease int64, err error)
	// KeepAlive renews a lease. It returns a not_found error if the lease has
	// expired.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys at once.
	Revoke(ctx context.Context, lease int64) error
}

// ErrCompacted is returned by Poll when the store has compacted the revisions
// after the one asked for.
var ErrCompacted = fault.New(fault.Conflict, "list the keys again and watch from the listed revision", "the platform's store has compacted the requested revisions")

// Backoff between the attempts of CommitWithRetry.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 320 * time.Millisecond
)

// Writer commits transactions and finds out whether they were applied, even if
// responses are lost. Set the fields before the first Commit.
type Writer struct {
	Store TxnStore
	// MaxRefusals is how many attempts in a row the store may refuse without effect
	// before Commit fails; 0 sets no limit.
	MaxRefusals int
	// OnFailure, if not nil, is called after each failed attempt with their number.
	OnFailure func(attempts int, err error)
}

// CommitWithRetry commits a transaction with a Writer.
func CommitWithRetry(ctx context.Context, s TxnStore, t Txn, maxRefusals int) (TxnResult, error) {
	w := Writer{Store: s, MaxRefusals: maxRefusals}
	return w.Commit(ctx, t)
}

// Commit commits a transaction. The conditions ensure that a retry can't apply it
// twice, so every written key must be under one. It retries until ctx ends, the
// store has refused MaxRefusals attempts in a row, or it rejects the transaction:
// then the error's kind is fault.Rejected. The error's outcome is not_run only if
// it is certain that nothing was or will be written.
func (w *Writer) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	s := w.Store
	inDoubt, refusals, backoff := false, 0, initialBackoff
	for attempts := 1; ; attempts++ {
		res, err := s.Commit(ctx, t)
		if err == nil && (res.Committed || !inDoubt) {
			return res, nil
		}
		if err == nil {
			res, err = alreadyApplied(ctx, s, t)
			if err == nil {
				return res, nil
			}
		} else if fault.Of(err).Outcome == fault.NotRun {
			refusals++
		} else {
			inDoubt, refusals = true, 0
		}
		if w.OnFailure != nil {
			w.OnFailure(attempts, err)
		}
		if ctx.Err() != nil || fault.Is(err, fault.Rejected) || (!inDoubt && w.MaxRefusals > 0 && refusals >= w.MaxRefusals) {
			return TxnResult{}, withOutcome(err, inDoubt)
		}
		select {
		case <-ctx.Done():
			return TxnResult{}, withOutcome(err, inDoubt)
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func withOutcome(err error, inDoubt bool) error {
	o := fault.NotRun
	if inDoubt {
		o = fault.Unknown
	}
	return fault.Of(err).WithOutcome(o)
}

// alreadyApplied reports, as Committed, whether an earlier attempt of t was
// applied and is what made its condition fail.
func alreadyApplied(ctx context.Context, s TxnStore, t Txn) (TxnResult, error) {
	var rev int64
	for _, it := range t.Put {
		kv, ok, err := s.Get(ctx, it.Key)
		if err != nil {
			return TxnResult{}, err
		}
		if !ok || !bytes.Equal(kv.Value, it.Value) || (rev != 0 && kv.Rev != rev) {
			return TxnResult{}, nil
		}
		rev = kv.Rev
	}
	for _, key := range t.Delete {
		_, ok, err := s.Get(ctx, key)
		if err != nil || ok {
			return TxnResult{}, err
		}
	}
	return TxnResult{Committed: true, Rev: rev}, nil
}
