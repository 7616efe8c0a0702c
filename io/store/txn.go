package store

import (
	"bytes"
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Condition asks that a key is at a revision; 0 means that it does not exist.
type Condition struct {
	Key string
	Rev int64
}

// Item is one key to write.
type Item struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a write that holds as a whole or not at all.
type Txn struct {
	If     []Condition
	Put    []Item
	Delete []string
}

// TxnResult says whether a Txn holds. Rev is the revision that it made.
type TxnResult struct {
	Committed bool
	Rev       int64
}

// TxnStore is a store with transactions over several keys and polled watches.
// Errors are store_out faults; their outcome is not_run where the call surely
// had no effect.
type TxnStore interface {
	// Get reads one key; ok is false where there is none.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// List reads all keys under a prefix; watch from rev to miss nothing.
	List(ctx context.Context, prefix string) (kvs []KV, rev int64, err error)
	// Poll waits for changes after a revision and returns them with the
	// revision to go on from. ErrCompacted means that List is needed.
	Poll(ctx context.Context, prefix string, after int64, wait clock.Millis) (changes []Change, rev int64, err error)
	// Commit applies a transaction.
	Commit(ctx context.Context, t Txn) (TxnResult, error)
	// Grant makes a lease; keys put under it go when it lapses.
	Grant(ctx context.Context, ttl clock.Millis) (lease int64, err error)
	// KeepAlive renews a lease; a lapsed one is a not_found error.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and its keys at once.
	Revoke(ctx context.Context, lease int64) error
}

// ErrCompacted says that a watch's history is no longer there.
var ErrCompacted = fault.New(fault.Conflict, "list the keys again and watch from there", "the store no longer has this history")

// Pauses between tries of Resolve.
const (
	firstPause   = 20 * time.Millisecond
	longestPause = 320 * time.Millisecond
)

// CommitWithRetry commits a transaction and finds out whether it holds, also when
// answers are lost. The conditions make sure that repeating it can't apply it
// twice, so every written key must be under one. It tries until ctx ends, or
// until the store refused tries times in a row without effect (0: no bound).
// The error's outcome is not_run if surely nothing was or will be written.
func CommitWithRetry(ctx context.Context, s TxnStore, t Txn, tries int) (TxnResult, error) {
	doubt, refusals, pause := false, 0, firstPause
	for {
		res, err := s.Commit(ctx, t)
		if err == nil && (res.Committed || !doubt) {
			return res, nil
		}
		if err == nil {
			res, err = written(ctx, s, t)
			if err == nil {
				return res, nil
			}
		} else if fault.Of(err).Outcome == fault.NotRun {
			refusals++
		} else {
			doubt, refusals = true, 0
		}
		if ctx.Err() != nil || (!doubt && tries > 0 && refusals >= tries) {
			return TxnResult{}, outcome(err, doubt)
		}
		select {
		case <-ctx.Done():
			return TxnResult{}, outcome(err, doubt)
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}

func outcome(err error, doubt bool) error {
	o := fault.NotRun
	if doubt {
		o = fault.Unknown
	}
	return fault.Of(err).WithOutcome(o)
}

// written tells whether an earlier try of t is what made its condition fail.
func written(ctx context.Context, s TxnStore, t Txn) (TxnResult, error) {
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
