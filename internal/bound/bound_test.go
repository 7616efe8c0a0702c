package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSecondsReadsLoggedDurations(t *testing.T) {
	for text, want := range map[string]float64{"399ms": 0.399, "2.5s": 2.5, "1m22.5s": 82.5, "0s": 0} {
		qt.Check(t, seconds(text), qt.Equals, want, qt.Commentf(text))
	}
}

// Two outages cover a caller's time together only if they follow each other.
func TestCovers(t *testing.T) {
	outages := []span{{18, 22}, {31, 37}, {35.5, 37.2}}
	for _, c := range []struct {
		from, to float64
		want     bool
	}{{18.5, 21.5, true}, {19.5, 22.5, false}, {34.1, 37.1, true}, {34.3, 37.3, false}, {25, 28, false}} {
		qt.Check(t, covers(outages, caller{"j", c.from, c.to}), qt.Equals, c.want, qt.Commentf("%v", c))
	}
}
