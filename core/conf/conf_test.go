package conf_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/conf"
)

func apply(c *qt.C, d conf.Document, path, value string) conf.Document {
	next, err := d.Apply(conf.Edit{Path: path, Value: value, By: "op", Nonce: path})
	c.Assert(err, qt.IsNil)
	return next
}

func TestInvalidEditsAreRefused(t *testing.T) {
	c := qt.New(t)
	d := apply(c, conf.Document{}, "fleet", `{"workers":2,"accelerators":8}`)
	d = apply(c, d, "teams/a/accounts/x/guarantee", `[{"accelerators":8,"count":1}]`)
	for _, bad := range []struct{ path, value, says string }{
		{"teams/b/accounts/y/guarantee", `[{"accelerators":4,"count":3}]`, ".*together promise 20 accelerators, the fleet has 16.*"},
		{"teams/b/accounts/y/guarantee", `[{"accelerators":3,"count":1}]`, ".*block of 3.*"},
		{"teams/b/accounts/y/colour", `1`, `.*unknown field "colour".*`},
		{"teams/b/accounts/y/max_jobs", `"many"`, ".*cannot unmarshal string.*"},
		{"teams/b/accounts/x", `{}`, ".*taken by team.*"},
		{"teams/b/accounts/y/max_jobs", `{`, ".*not JSON.*"},
		{"Teams/b", `{}`, ".*not a valid name.*"},
		{"fleet/workers/x", `1`, ".*value, not a subtree.*"},
		{"fleet/workers", `1`, ""},
		{"fleet/workers", `0`, ".*fleet has 0.*"},
	} {
		next, err := d.Apply(conf.Edit{Path: bad.path, Value: bad.value})
		if bad.says == "" {
			c.Check(err, qt.IsNil)
			continue
		}
		c.Check(err, qt.ErrorMatches, bad.says, qt.Commentf("%s", bad.path))
		c.Check(next.Revision, qt.Equals, d.Revision)
	}
}

func TestHistoryIsBoundedAndFindsNonces(t *testing.T) {
	c := qt.New(t)
	d := conf.Document{}
	for i := range 70 {
		d = apply(c, d, fmt.Sprintf("drain/agent-%d", i), "true")
	}
	c.Assert(d.Revision, qt.Equals, int64(70))
	c.Assert(d.History, qt.HasLen, 64)
	rev, ok := d.FindNonce("drain/agent-69")
	c.Assert(ok, qt.IsTrue)
	c.Assert(rev, qt.Equals, int64(70))
	last, ok := d.LastChange("drain")
	c.Assert(ok, qt.IsTrue)
	c.Assert(last.Path, qt.Equals, "drain/agent-69")
}

// Each accepted edit makes a document with the next revision.
func ExampleDocument_Apply() {
	d, _ := conf.Document{}.Apply(conf.Edit{Path: "fleet/workers", Value: "10"})
	fmt.Println(d.Revision, d.Tree.Fleet.Workers)
	_, err := d.Apply(conf.Edit{Path: "fleet/workers", Value: `"ten"`})
	fmt.Println(strings.Contains(err.Error(), "remedy"))
	// Output:
	// 1 10
	// true
}

func FuzzApply(f *testing.F) {
	f.Add("teams/a/accounts/x/max_jobs", "3")
	f.Add("fleet", `{"workers":2,"accelerators":8}`)
	f.Add("a/../b", "[]")
	f.Fuzz(func(t *testing.T, path, value string) {
		next, err := conf.Document{}.Apply(conf.Edit{Path: path, Value: value})
		if err != nil && next.Revision != 0 {
			t.Fatal("a refused edit changed the document")
		}
		if err == nil && next.Tree.Check() != nil {
			t.Fatal("an accepted edit is not valid")
		}
	})
}
