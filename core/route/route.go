// Package route holds the operators' configuration as processes apply it:
// which queue a request belongs to, whose key it carries, what each client
// account is guaranteed. A Config is never changed; newer versions replace it.
package route

import (
	"strings"
	"sync/atomic"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Queue takes the jobs of one host and path prefix.
type Queue struct {
	Name              string
	Host              string
	Prefix            string
	Service           string
	Timeout           clock.Millis
	Target            clock.Millis
	Priority          int
	Attempts          int
	Stretch           float64
	Public            bool
	ExternalPlacement bool // an outside service says which workers may run its steps
}

// Service names endpoints that run a queue's tasks.
type Service struct {
	Name            string
	RejectsOverload bool // its workers refuse what does not fit
	Standby         bool
}

// Account is a client account with its keys and its guarantee.
type Account struct {
	Name         string
	Keys         []string
	Accelerators int // guaranteed to its jobs of priority 0
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Accounts map[string]Account

	byKey map[string]string
}

// Prepare builds the look-up tables. Call it once, before the Config is shared.
func (c *Config) Prepare() *Config {
	c.byKey = make(map[string]string)
	for name, a := range c.Accounts {
		for _, k := range a.Keys {
			c.byKey[k] = name
		}
	}
	return c
}

// Match finds the queue of the longest prefix, and what follows the prefix.
func (c *Config) Match(host, path string) (q Queue, rest string, ok bool) {
	host, _, _ = strings.Cut(host, ":")
	best := -1
	for i := range c.Queues {
		p := c.Queues[i].Prefix
		if c.Queues[i].Host == host && strings.HasPrefix(path, p) && (best < 0 || len(p) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return c.Queues[best], path[len(c.Queues[best].Prefix):], true
}

// Owner finds the client account that holds a key.
func (c *Config) Owner(key string) (account string, ok bool) {
	account, ok = c.byKey[key]
	return account, ok
}

// Admission is what a caller is let in to.
type Admission struct {
	Queue   Queue
	Account string // empty for a caller without a key, on a public queue
	Rest    string // of the path, after the queue's prefix
}

// Admit decides whether a caller may use the queue that a host and path belong
// to. The error is store_out while no configuration is known (c is nil),
// not_found where there is no such queue, and denied for an unknown key.
func (c *Config) Admit(host, path, key string) (Admission, error) {
	if c == nil {
		return Admission{}, fault.New(fault.StoreOut, "try again", "no configuration is known yet").WithOutcome(fault.NotRun).WithRetry(clock.Second)
	}
	q, rest, ok := c.Match(host, path)
	if !ok {
		return Admission{}, fault.New(fault.NotFound, "check host and path", "no such queue").WithOutcome(fault.NotRun)
	}
	account, known := c.Owner(key)
	if !known && !q.Public {
		return Admission{}, fault.New(fault.Denied, "use a key of a client account", "the key is not known").WithOutcome(fault.NotRun)
	}
	return Admission{Queue: q, Account: account, Rest: rest}, nil
}

// Current is the newest configuration that a process has seen. It never goes
// back to an older version.
type Current struct {
	config atomic.Pointer[Config]
}

// Apply takes c if it is newer, and tells whether it did.
func (cur *Current) Apply(c *Config) bool {
	for {
		old := cur.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if cur.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Get returns the newest configuration, or nil if none is known yet.
func (cur *Current) Get() *Config { return cur.config.Load() }
