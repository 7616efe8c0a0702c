// Package store is the platform's key-value service as the system sees it:
// get, list, compare-and-swap, leases and watches, and nothing else.
//
// Store is the interface; HTTP speaks it over the JSON gateway of the etcd v3
// API. A write whose answer is lost may have taken effect: Swap then returns a
// store_out error, and Settle finds out which it was by reading back.
package store

import (
	"context"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// KV is one key with its value and the revision that wrote it.
type KV struct {
	Key   string
	Value []byte
	Rev   int64
}

// Put is a conditional write: it holds only if the key's revision is IfRev,
// where 0 means that the key must not exist yet.
type Put struct {
	Key    string
	Value  []byte
	IfRev  int64
	Lease  int64
	Delete bool
}

// Change is one thing a watch saw.
type Change struct {
	KV
	Deleted bool
}

// Store is the platform's service. Every method returns a store_out error when
// the service can't be reached or does not answer in time.
type Store interface {
	// Get reads one key; ok is false where there is none.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// List reads all keys under a prefix, and the store's revision.
	List(ctx context.Context, prefix string) (kvs []KV, rev int64, err error)
	// Newest gives the highest revision that wrote a key under the prefix.
	Newest(ctx context.Context, prefix string) (rev int64, err error)
	// Oldest reads up to limit keys under a prefix, longest unwritten first.
	Oldest(ctx context.Context, prefix string, limit int) (kvs []KV, err error)
	// Swap applies all writes or none. ok is false where a condition failed.
	Swap(ctx context.Context, puts ...Put) (ok bool, rev int64, err error)
	// Grant makes a lease; keys put under it go when it lapses.
	Grant(ctx context.Context, ttl clock.Millis) (lease int64, err error)
	// KeepAlive renews a lease; a lapsed one is a not_found error.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and its keys at once.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls see for each change after revision from, until ctx ends or
	// the stream breaks; it always returns an error.
	Watch(ctx context.Context, prefix string, from int64, see func([]Change)) error
}

// Result says how a write was settled.
type Result struct {
	Won  bool
	Now  KV
	Have bool
}

// settleTries bounds the read-backs of one write.
const settleTries = 3

// Settle writes put and finds out whether it holds, also when the answer is
// lost: it reads the key back and asks mine whether the value is this
// writer's. It never writes a second time. An error means that nobody can
// tell: the write may hold now or never.
func Settle(ctx context.Context, s Store, put Put, mine func(KV) bool) (Result, error) {
	ok, rev, err := s.Swap(ctx, put)
	if err == nil && ok {
		return Result{Won: true, Have: true, Now: KV{Key: put.Key, Value: put.Value, Rev: rev}}, nil
	}
	var last error
	for range settleTries {
		now, have, readErr := s.Get(ctx, put.Key)
		if readErr != nil {
			last = readErr
			continue
		}
		if have && mine(now) {
			return Result{Won: true, Now: now, Have: true}, nil
		}
		if err != nil && !moved(now, have, put) {
			return Result{}, unsure(put.Key)
		}
		return Result{Now: now, Have: have}, nil
	}
	return Result{}, last
}

// moved tells whether the key is no longer in the state the write asked for,
// so that the write can't hold any more, not even late.
func moved(now KV, have bool, put Put) bool {
	if !have {
		return put.IfRev != 0
	}
	return now.Rev != put.IfRev
}

func unsure(key string) error {
	return fault.New(fault.StoreUnavailable, "try again with the same key once the platform's store answers", "write of %s has no answer and may still take effect", key)
}
