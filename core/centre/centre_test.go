package centre_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/centre"
)

func ExampleCurrent() {
	var cur centre.Current
	cur.Apply(centre.Change{Name: "north", Closed: true, Rev: 4})
	cur.Apply(centre.Change{Name: "south", Closed: true, Rev: 6})
	cur.Apply(centre.Change{Name: "north", Rev: 9})
	fmt.Println(cur.Get().Names(), cur.Get().Rev())
	// Output: [south] 9
}

// A late list must not close a data centre again that has been reopened, nor
// reopen one that has been closed once more.
func TestOlderChangesAreIgnored(t *testing.T) {
	c := qt.New(t)
	var cur centre.Current
	c.Check(cur.Get(), qt.IsNil)
	c.Check(cur.Apply(), qt.IsFalse)
	c.Check(cur.Get().Names(), qt.HasLen, 0)
	closed := centre.Change{Name: "north", Closed: true, Rev: 4}
	c.Check(cur.Apply(closed), qt.IsTrue)
	c.Check(cur.Apply(closed), qt.IsFalse)
	before := cur.Get()
	c.Check(cur.Apply(centre.Change{Name: "north", Rev: 7}), qt.IsTrue)
	c.Check(cur.Apply(closed), qt.IsFalse)
	c.Check(cur.Get().Has("north"), qt.IsFalse)
	c.Check(cur.Apply(centre.Change{Name: "north", Closed: true, Rev: 8}), qt.IsTrue)
	c.Check(cur.Apply(centre.Change{Name: "north", Rev: 7}), qt.IsFalse)
	c.Check(cur.Get().ClosedAt("north"), qt.Equals, int64(8))
	c.Check(before.ClosedAt("north"), qt.Equals, int64(4)) // sets that were handed out don't change
}

func TestNilSetIsEmpty(t *testing.T) {
	c := qt.New(t)
	var none *centre.Closed
	c.Check(none.Has("north"), qt.IsFalse)
	c.Check(none.Names(), qt.HasLen, 0)
	c.Check(none.Rev(), qt.Equals, int64(0))
}
