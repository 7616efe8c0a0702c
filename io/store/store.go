// Package store is the client side of the platform's key-value service.
//
// Store has get, list, compare-and-swap, leases and watches; HTTP implements it
// over the JSON gateway of the etcd v3 API. A write whose response is lost may
// have taken effect: Swap then returns a store_out error, and PutWithReadBack
// reads the key back to find out. TxnStore has transactions over several keys
// and polled watches; CommitWithRetry finds out whether a transaction holds.
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

// Put is a conditional write: it is applied only if the key's revision is
// IfRev, where 0 means that the key must not exist yet.
type Put struct {
	Key    string
	Value  []byte
	IfRev  int64
	Lease  int64
	Delete bool
}

// Change is one put or deletion that a watch reports.
type Change struct {
	KV
	Deleted bool
}

// Store is a key-value store with conditional writes and streamed watches. Every
// method returns a store_out error when the service can't be reached or does not
// respond in time.
type Store interface {
	// Get reads one key; ok is false if it does not exist.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// List reads all keys under a prefix and returns the store's revision.
	List(ctx context.Context, prefix string) (kvs []KV, rev int64, err error)
	// LatestRevision returns the highest revision that wrote an existing key
	// under the prefix, or 0 if there is no key.
	LatestRevision(ctx context.Context, prefix string) (rev int64, err error)
	// Oldest reads up to limit keys under a prefix, least recently written first.
	Oldest(ctx context.Context, prefix string, limit int) (kvs []KV, err error)
	// Swap applies all writes or none. ok is false if a condition failed.
	Swap(ctx context.Context, puts ...Put) (ok bool, rev int64, err error)
	// Grant creates a lease; keys attached to it are deleted when it expires.
	Grant(ctx context.Context, ttl clock.Millis) (lease int64, err error)
	// KeepAlive renews a lease. It returns a not_found error if the lease has
	// expired.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys at once.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls onChange with the changes after revision from, until ctx ends
	// or the stream breaks; it always returns an error.
	Watch(ctx context.Context, prefix string, from int64, onChange func([]Change)) error
}

// PutResult is the outcome of PutWithReadBack: whether the put was applied, and
// the key's current value if it exists.
type PutResult struct {
	Applied bool
	Current KV
	Exists  bool
}

// maxReadBacks bounds the read-backs of one write.
const maxReadBacks = 3

// PutWithReadBack writes put once. If the write was refused or its response was
// lost, it reads the key back, and isOwn reports whether the value found is this
// writer's. It never writes a second time. An error means that the outcome is
// in doubt: the write may have taken effect, may still do so, or never will.
func PutWithReadBack(ctx context.Context, s Store, put Put, isOwn func(KV) bool) (PutResult, error) {
	ok, rev, err := s.Swap(ctx, put)
	if err == nil && ok {
		return PutResult{Applied: true, Exists: true, Current: KV{Key: put.Key, Value: put.Value, Rev: rev}}, nil
	}
	var lastErr error
	for range maxReadBacks {
		current, exists, readErr := s.Get(ctx, put.Key)
		if readErr != nil {
			lastErr = readErr
			continue
		}
		if exists && isOwn(current) {
			return PutResult{Applied: true, Current: current, Exists: true}, nil
		}
		if err != nil && !conditionFailed(current, exists, put) {
			return PutResult{}, inDoubtError(put.Key)
		}
		return PutResult{Current: current, Exists: exists}, nil
	}
	return PutResult{}, lastErr
}

// conditionFailed reports whether the key is no longer at the revision that put
// requires, so that the write can't take effect any more, not even late.
func conditionFailed(current KV, exists bool, put Put) bool {
	if !exists {
		return put.IfRev != 0
	}
	return current.Rev != put.IfRev
}

func inDoubtError(key string) error {
	return fault.New(fault.StoreUnavailable, "retry with the same key once the platform's store responds", "write of %s got no response and may still take effect", key)
}
