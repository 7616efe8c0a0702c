package link

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/store"
)

// Op names a call to the store.
type Op string

// The calls that one process makes for another.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpPoll      Op = "poll"
	OpCommit    Op = "commit"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keep"
	OpRevoke    Op = "revoke"
)

// Call asks another process to call the store.
type Call struct {
	ID    uint64       `cbor:"1,keyasint"`
	Op    Op           `cbor:"2,keyasint"`
	Key   string       `cbor:"3,keyasint,omitempty"` // a key or a prefix
	After int64        `cbor:"4,keyasint,omitempty"`
	Wait  clock.Millis `cbor:"5,keyasint,omitempty"` // longest wait of a poll, or TTL of a lease
	Txn   *store.Txn   `cbor:"6,keyasint,omitempty"`
	Lease int64        `cbor:"7,keyasint,omitempty"`
}

// Reply is the result of a Call.
type Reply struct {
	ID      uint64         `cbor:"1,keyasint"`
	Err     *fault.Error   `cbor:"2,keyasint,omitempty"`
	KVs     []store.KV     `cbor:"3,keyasint,omitempty"`
	Changes []store.Change `cbor:"4,keyasint,omitempty"`
	OK      bool           `cbor:"5,keyasint,omitempty"`
	Rev     int64          `cbor:"6,keyasint,omitempty"`
	Lease   int64          `cbor:"7,keyasint,omitempty"`
}
