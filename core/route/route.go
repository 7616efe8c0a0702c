// Package route holds the operators' configuration as processes apply it: which
// queue a request belongs to, which client account its key belongs to, and what
// each client account is guaranteed. A Config is immutable; newer versions
// replace it.
package route

import (
	"fmt"
	"strings"
	"sync/atomic"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Queue accepts the jobs for one host and path prefix.
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
	ExternalPlacement bool // an external service chooses the workers that may run its steps
}

// Service is a kind of endpoint that runs the tasks of queues.
type Service struct {
	Name            string
	RejectsOverload bool // its workers refuse tasks that do not fit
	Standby         bool
}

// Account is a client account with its keys and its guarantee.
type Account struct {
	Name         string
	Keys         []string
	Accelerators int // guaranteed for its jobs of priority 0
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Accounts map[string]Account

	byKey map[string]string
}

// Prepare builds the lookup tables. It must be called once, before c is shared
// between goroutines.
func (c *Config) Prepare() *Config {
	c.byKey = make(map[string]string)
	for name, a := range c.Accounts {
		for _, k := range a.Keys {
			c.byKey[k] = name
		}
	}
	return c
}

// Match returns the queue with the longest prefix that matches, and the rest of
// the path after the prefix.
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

// Owner returns the client account that a key belongs to.
func (c *Config) Owner(key string) (account string, ok bool) {
	account, ok = c.byKey[key]
	return account, ok
}

// Admission is the queue and client account that a caller was admitted to.
type Admission struct {
	Queue   Queue
	Account string // empty for a caller without a key, on a public queue
	Rest    string // the path after the queue's prefix
	// Version is the version that decided, and Age for how long it may have been out of
	// date then; 0 if that is not known.
	Version int64
	Age     clock.Millis
}

// Owns reports whether the caller may read and cancel a job of a client account and a queue:
// its own account's jobs, through any queue, and those of a public queue through that one.
func (a Admission) Owns(account, queue string) bool {
	return account == a.Account && (account != "" || a.Queue.Name == queue) || a.Queue.Public && a.Queue.Name == queue
}

// Admit decides whether a caller may use the queue that a host and path belong
// to. The error is store_out if no configuration is known yet (c is nil),
// not_found if no queue matches, and denied if the key is unknown.
func (c *Config) Admit(host, path, key string) (Admission, error) {
	if c == nil {
		return Admission{}, fault.New(fault.StoreUnavailable, "retry after the given time", "no configuration is known yet").WithOutcome(fault.NotRun).WithRetry(clock.Second)
	}
	q, rest, ok := c.Match(host, path)
	if !ok {
		return Admission{}, fault.New(fault.NotFound, "check host and path", "no such queue").WithOutcome(fault.NotRun)
	}
	account, known := c.Owner(key)
	if !known && !q.Public {
		return Admission{}, fault.New(fault.Denied, "use a key of a client account", "the key is not known").WithOutcome(fault.NotRun)
	}
	return Admission{Queue: q, Account: account, Rest: rest, Version: c.Version}, nil
}

// Current holds the newest configuration that the process has seen. It never
// goes back to an older version. Set the exported field before use.
type Current struct {
	// Freshness, if set, returns for how long the configuration may have been out of
	// date, and for how long it may be while it decides about callers; no limit if that
	// is 0.
	Freshness func() (age, limit clock.Millis)
	// Stretch, if set, returns for how much longer than that callers are admitted by it
	// now.
	Stretch func() clock.Millis

	config     atomic.Pointer[Config]
	unreadable atomic.Bool // the newest version could not be read
}

// staleRetry is when a caller may retry that was refused by a configuration of
// unknown age.
const staleRetry = clock.Second

// Admit decides as Config.Admit does, with the newest configuration. While that may be out
// of date, the decision is a store_out error: a newer version may hold an unknown queue or
// key, and may have dropped a known one.
func (cur *Current) Admit(host, path, key string) (Admission, error) {
	age, limit := cur.freshness() // before Get, so that the age is not that of a newer version
	a, err := cur.Get().Admit(host, path, key)
	a.Age = age
	decided := "the queue and the key are known"
	switch {
	case fault.Is(err, fault.StoreUnavailable):
		return a, err
	case err != nil:
		decided = fault.Of(err).Detail
	case cur.Stretch != nil && limit > 0:
		limit += cur.Stretch()
	}
	why := ""
	if limit > 0 && age > limit {
		why = fmt.Sprintf("the configuration was last confirmed %s ago", age)
	} else if err != nil && cur.unreadable.Load() {
		why = "the newest configuration could not be read"
	}
	if why == "" {
		return a, err
	}
	return a, fault.New(fault.StoreUnavailable, "retry after the given time, at another front", "%s, but %s", decided, why).WithOutcome(fault.NotRun).WithRetry(staleRetry)
}

// freshness returns what Freshness does, or zeros if that is not set.
func (cur *Current) freshness() (age, limit clock.Millis) {
	if cur.Freshness == nil {
		return 0, 0
	}
	return cur.Freshness()
}

// MarkUnreadable says that a newer version could not be read. Until one is applied,
// the configuration counts as out of date.
func (cur *Current) MarkUnreadable() { cur.unreadable.Store(true) }

// Age returns for how long the configuration may have been out of date; 0 if
// Freshness is not set.
func (cur *Current) Age() clock.Millis {
	age, _ := cur.freshness()
	return age
}

// MaxAge returns for how long the configuration may be out of date while it decides about
// callers; 0 sets no limit.
func (cur *Current) MaxAge() clock.Millis {
	_, limit := cur.freshness()
	return limit
}

// Fresh reports whether the configuration is known and in its time.
func (cur *Current) Fresh() bool {
	age, limit := cur.freshness()
	return cur.Get() != nil && (limit == 0 || age <= limit)
}

// Apply replaces the configuration by c if c is newer, and reports whether it
// did.
func (cur *Current) Apply(c *Config) bool {
	for {
		old := cur.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if cur.config.CompareAndSwap(old, c) {
			cur.unreadable.Store(false)
			return true
		}
	}
}

// Get returns the newest configuration, or nil if none is known yet.
func (cur *Current) Get() *Config { return cur.config.Load() }
