package spare_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/spare"
)

func ExampleDemand() {
	d := spare.Demand{Window: 1500}
	fmt.Println("nothing urgent:", d.Keep(clock.Minute))
	for at := clock.Minute; at < clock.Minute+20*clock.Second; at += 5 * clock.Second {
		d.Add(at, 16)
	}
	fmt.Println("a job of 16 every 5 s:", d.Keep(clock.Minute+20*clock.Second))
	fmt.Println("after a minute without:", d.Keep(2*clock.Minute+20*clock.Second))
	// Output:
	// nothing urgent: 0
	// a job of 16 every 5 s: 16
	// after a minute without: 0
}

// What is kept grows with the urgent load: as many jobs as arrive within one window.
func TestKeepFollowsTheLoad(t *testing.T) {
	for _, c := range []struct {
		every clock.Millis
		want  int
	}{{4000, 8}, {1000, 16}, {500, 24}, {250, 48}} {
		d := spare.Demand{Window: 1500}
		now := clock.Millis(0)
		for ; now < clock.Minute; now += c.every {
			d.Add(now, 8)
		}
		qt.Check(t, d.Keep(now), qt.Equals, c.want, qt.Commentf("every %s", c.every))
	}
}

// A wide job counts for half a minute.
func TestArrivalsAreForgotten(t *testing.T) {
	d := spare.Demand{Window: 500}
	d.Add(clock.Minute, 200)
	qt.Check(t, d.Keep(clock.Minute+29*clock.Second), qt.Equals, 200)
	qt.Check(t, d.Keep(clock.Minute+31*clock.Second), qt.Equals, 0)
}

// A new planner learns of earlier arrivals in any order.
func TestArrivalsMayComeLate(t *testing.T) {
	d, late := spare.Demand{Window: 1500}, spare.Demand{Window: 1500}
	for i := range clock.Millis(10) {
		d.Add(clock.Minute+1000*i, 8)
		late.Add(clock.Minute+1000*(9-i), 8)
	}
	now := clock.Minute + 10*clock.Second
	qt.Check(t, late.Keep(now), qt.Equals, d.Keep(now))
}
