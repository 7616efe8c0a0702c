package main

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/platform"
)

// The limits fit the users' hosts; docs/CAPACITY.md has them.
func TestLimitsFitTheHost(t *testing.T) {
	for _, test := range []struct {
		name                                    string
		memoryMB, maxFDs                        int
		flags                                   clientFlags
		callers, link, ready, store, memoryInMB int
	}{
		{"front", 284, 4100, clientFlags{}, 1298, 826, 64, 243, 35},
		{"smallest front", 184, 4100, clientFlags{}, 841, 535, 64, 243, 23},
		{"few descriptors", 284, 328, clientFlags{}, 64, 32, 8, 8, 35},
		{"little memory", 64, 328, clientFlags{}, 64, 32, 8, 8, 12},
		{"hardly any descriptors", 284, 100, clientFlags{}, 16, 8, 2, 8, 35},
		{"flags", 284, 4100, clientFlags{MaxConnections: 100, StoreConnections: 50, ClientMemoryMB: 20}, 100, 100, 64, 50, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newHostLimits(test.flags, platform.Settings{MemoryMB: test.memoryMB, MaxFDs: test.maxFDs}, slog.New(slog.DiscardHandler))
			c.Check(l.listen(callerListener, "").MaxConns, qt.Equals, test.callers)
			c.Check(l.listen(linkListener, "").MaxConns, qt.Equals, test.link)
			c.Check(l.listen(readyListener, "").MaxConns, qt.Equals, test.ready)
			c.Check(l.storeConnections(), qt.Equals, test.store)
			c.Check(int(l.guard.Receiving+l.guard.Handling)>>20, qt.Equals, test.memoryInMB)
		})
	}
}

func TestFlagsThatLeaveNoRoomAreRejected(t *testing.T) {
	c := qt.New(t)
	good := clientFlags{MaxConnections: 1, MaxHeadBytes: 1 << 10, MaxHeadFields: 16, MaxBodyBytes: 4 << 10, MaxPeerCalls: 16, RequestTimeout: time.Second, IdleTimeout: time.Second}
	c.Check(good.check(), qt.IsNil)
	for flag, change := range map[string]func(f *clientFlags){
		"max-connections":   func(f *clientFlags) { f.MaxConnections = 0 },
		"max-head-bytes":    func(f *clientFlags) { f.MaxHeadBytes = 1000 },
		"max-head-fields":   func(f *clientFlags) { f.MaxHeadFields = -1 },
		"max-body-bytes":    func(f *clientFlags) { f.MaxBodyBytes = 1 },
		"max-peer-calls":    func(f *clientFlags) { f.MaxPeerCalls = 1 },
		"client-memory-mb":  func(f *clientFlags) { f.ClientMemoryMB = -1 },
		"store-connections": func(f *clientFlags) { f.StoreConnections = -1 },
		"request-timeout":   func(f *clientFlags) { f.RequestTimeout = 0 },
		"idle-timeout":      func(f *clientFlags) { f.IdleTimeout = -time.Second },
	} {
		f := good
		change(&f)
		c.Check(f.check(), qt.ErrorMatches, `invalid: --`+flag+` must be at least .*`)
	}
}
