package route

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

func config(version int64) *Config {
	c := &Config{
		Version: version,
		Queues: []Queue{
			{Name: "short", Host: "a.example", Prefix: "/p/"},
			{Name: "long", Host: "a.example", Prefix: "/p/long/", Public: true},
		},
		Accounts: map[string]Account{"acme": {Name: "acme", Keys: []string{"k1", "k2"}}},
	}
	return c.Prepare()
}

func TestCallersAreAdmittedByTheirKeyToTheLongestPrefix(t *testing.T) {
	c := qt.New(t)
	a, err := config(1).Admit("a.example:80", "/p/5c0e", "k2")
	c.Assert(err, qt.IsNil)
	c.Check(a.Queue.Name, qt.Equals, "short")
	c.Check(a.Account, qt.Equals, "acme")
	c.Check(a.Rest, qt.Equals, "5c0e")
	a, err = config(1).Admit("a.example", "/p/long/7", "")
	c.Assert(err, qt.IsNil)
	c.Check(a.Queue.Name, qt.Equals, "long")
	c.Check(a.Account, qt.Equals, "")
	_, err = config(1).Admit("a.example", "/p/5c0e", "gone")
	c.Check(fault.Is(err, fault.Denied), qt.IsTrue)
	_, err = config(1).Admit("b.example", "/p/5c0e", "k1")
	c.Check(fault.Is(err, fault.NotFound), qt.IsTrue)
	var none *Config
	_, err = none.Admit("a.example", "/p/5c0e", "k1")
	c.Check(fault.Is(err, fault.StoreUnavailable), qt.IsTrue)
}

func TestAnOlderConfigurationIsNeverAppliedAgain(t *testing.T) {
	c := qt.New(t)
	var cur Current
	c.Check(cur.Apply(config(5)), qt.IsTrue)
	c.Check(cur.Apply(config(4)), qt.IsFalse)
	c.Check(cur.Apply(config(5)), qt.IsFalse)
	c.Check(cur.Apply(config(9)), qt.IsTrue)
	c.Check(cur.Get().Version, qt.Equals, int64(9))
}

// Guards against telling a caller that a queue or a key does not exist by a
// configuration that a newer version may have replaced.
func TestUnknownQueueIsNotRefusedByStaleConfiguration(t *testing.T) {
	c := qt.New(t)
	var age clock.Millis
	cur := &Current{Freshness: func() (clock.Millis, clock.Millis) { return age, 2 * clock.Second }}
	cur.Apply(config(1))
	for _, age = range []clock.Millis{0, 2 * clock.Second, 2*clock.Second + 1} {
		fresh := age <= 2*clock.Second
		for key, path := range map[string]string{"k1": "/new/5c0e", "new": "/p/5c0e"} {
			_, err := cur.Admit("a.example", path, key)
			c.Check(fault.Is(err, fault.NotFound) || fault.Is(err, fault.Denied), qt.Equals, fresh)
			c.Check(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
			c.Check(fault.Of(err).RetryAfter > 0, qt.Equals, !fresh)
		}
	}
}

func TestUnknownQueueIsNotRefusedWhenNewestConfigurationIsUnreadable(t *testing.T) {
	c := qt.New(t)
	var cur Current
	cur.Apply(config(1))
	cur.MarkUnreadable()
	_, err := cur.Admit("b.example", "/p/5c0e", "k1")
	c.Check(fault.Is(err, fault.StoreUnavailable), qt.IsTrue)
	cur.Apply(config(3))
	_, err = cur.Admit("b.example", "/p/5c0e", "k1")
	c.Check(fault.Is(err, fault.NotFound), qt.IsTrue)
}

// Guards against callers of dropped queues and revoked keys that are served by a front
// whose configuration is out of date: one was admitted at an age of 18 s.
func TestCallerIsNotAdmittedByStaleConfiguration(t *testing.T) {
	c := qt.New(t)
	var age, stretch clock.Millis
	cur := &Current{
		Freshness: func() (clock.Millis, clock.Millis) { return age, 2 * clock.Second },
		Stretch:   func() clock.Millis { return stretch },
	}
	cur.Apply(config(1))
	for _, stretch = range []clock.Millis{0, 5 * clock.Second} {
		limit := 2*clock.Second + stretch
		for _, age = range []clock.Millis{0, limit, limit + 1, 20 * clock.Second} {
			a, err := cur.Admit("a.example", "/p/5c0e", "k1")
			c.Check(a.Age, qt.Equals, age)
			if age <= limit {
				c.Check(err, qt.IsNil)
				c.Check(a.Account, qt.Equals, "acme")
				continue
			}
			c.Assert(fault.Is(err, fault.StoreUnavailable), qt.IsTrue, qt.Commentf("age %s", age))
			c.Check(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
			c.Check(fault.Of(err).RetryAfter > 0, qt.IsTrue)
		}
	}
}

// A stretch is for callers that the configuration knows: a wrong refusal is final for the
// caller.
func TestStretchDoesNotAllowStaleRefusals(t *testing.T) {
	cur := &Current{
		Freshness: func() (clock.Millis, clock.Millis) { return 2500, 2 * clock.Second },
		Stretch:   func() clock.Millis { return 5 * clock.Second },
	}
	cur.Apply(config(1))
	for key, path := range map[string]string{"k1": "/new/5c0e", "new": "/p/5c0e"} {
		_, err := cur.Admit("a.example", path, key)
		qt.Check(t, fault.Is(err, fault.StoreUnavailable), qt.IsTrue)
	}
}

// Guards against a decision by one version that is judged by the age of the next.
func TestAgeIsThatOfTheVersionThatDecides(t *testing.T) {
	c := qt.New(t)
	cur := &Current{}
	cur.Apply((&Config{Version: 1}).Prepare())
	cur.Freshness = func() (clock.Millis, clock.Millis) {
		cur.Apply(config(2)) // another goroutine applies it at the worst moment
		return 0, 2 * clock.Second
	}
	_, err := cur.Admit("a.example", "/p/5c0e", "k1")
	c.Check(err, qt.IsNil)
}
