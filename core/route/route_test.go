package route

import (
	"testing"

	qt "github.com/frankban/quicktest"

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
