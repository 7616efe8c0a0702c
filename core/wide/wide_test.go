package wide_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
	"gypsumcrank/core/wide"
)

func accelerators(n int) task.Resources { return task.Resources{Accelerators: n} }

// fleet returns two racks of two workers with 8 accelerators each. The first worker of a
// rack is busy until the given times.
func fleet(ends ...clock.Millis) []wide.Worker {
	var out []wide.Worker
	for i, at := range ends {
		rack := fmt.Sprint("r", i)
		out = append(out,
			wide.Worker{Rack: rack, Limit: 8, Free: accelerators(2), Releases: []wide.Release{{At: at, Need: accelerators(6)}}},
			wide.Worker{Rack: rack, Limit: 8, Free: accelerators(8)})
	}
	return out
}

func ExampleRequest_Find() {
	gang := wide.Request{Need: accelerators(8), Count: 2, OneRack: true}
	place, ok := gang.Find(100, fleet(9000, 4000))
	fmt.Println(place.Start, place.Tasks, ok)
	// Output: 4s [0 0 1 1] true
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name  string
		r     wide.Request
		start clock.Millis
		ok    bool
	}{
		{"any rack", wide.Request{Need: accelerators(8), Count: 2}, 100, true},
		{"one rack", wide.Request{Need: accelerators(8), Count: 2, OneRack: true}, 4000, true},
		{"all workers", wide.Request{Need: accelerators(8), Count: 4}, 9000, true},
		{"wider than a rack", wide.Request{Need: accelerators(8), Count: 3, OneRack: true}, 0, false},
		{"wider than all", wide.Request{Need: accelerators(8), Count: 5}, 0, false},
		{"several on a worker", wide.Request{Need: accelerators(4), Count: 4, OneRack: true}, 4000, true},
	} {
		p, ok := test.r.Find(100, fleet(9000, 4000))
		c.Check(ok, qt.Equals, test.ok, qt.Commentf(test.name))
		c.Check(p.Start, qt.Equals, test.start, qt.Commentf(test.name))
		n := 0
		for _, k := range p.Tasks {
			n += k
		}
		c.Check(!ok || n == test.r.Count, qt.IsTrue, qt.Commentf(test.name))
	}
	// Without an expected end of what runs there, nothing is reserved.
	unknown := fleet(9000)
	unknown[0].Releases = nil
	_, ok := wide.Request{Need: accelerators(8), Count: 2, OneRack: true}.Find(100, unknown)
	c.Check(ok, qt.IsFalse)
}

func TestStartOfAPlaceFollowsItsTasks(t *testing.T) {
	c := qt.New(t)
	gang := wide.Request{Need: accelerators(8), Count: 2, OneRack: true}
	p, _ := gang.Find(100, fleet(9000, 4000))
	start, ok := gang.StartAt(3000, fleet(9000, 12_000), p)
	c.Check(ok, qt.IsTrue)
	c.Check(start, qt.Equals, 12*clock.Second)
	late := fleet(9000, 4000)
	late[2].Releases = nil
	_, ok = gang.StartAt(3000, late, p)
	c.Check(ok, qt.IsFalse)
}

// Of a worker that the request needs whole, nothing is left to work that outlasts its
// start; of one that it needs in part, the rest is.
func TestLeft(t *testing.T) {
	c := qt.New(t)
	w := fleet(4000)[0] // 2 free, 6 more at 4 s
	r := wide.Request{Need: accelerators(4), Count: 2}
	c.Check(r.Left(w, 2, 4000), qt.Equals, accelerators(0))
	c.Check(r.Left(w, 1, 4000), qt.Equals, accelerators(4))
	c.Check(r.Left(w, 1, 3999), qt.Equals, accelerators(-2))
}
