package task

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against planners that end again and again because of one stored record that another writer
// has left.
func TestProgressThatNoPlannerWritesIsRefused(t *testing.T) {
	for _, m := range []TaskProgress{
		{Occurrence: math.MaxInt64}, {Occurrence: MaxOccurrences}, {Occurrence: -1},
		{Step: math.MaxInt64}, {Step: -1}, {Index: math.MaxInt64}, {Index: -1},
		{Run: math.MaxInt64}, {Run: -1}, {Failures: math.MaxInt64}, {AppliedRun: math.MaxInt64}, {AppliedRun: -1}, {FailedRun: math.MaxInt64},
	} {
		raw, err := Encode(Progress{State: Running, Tasks: []TaskProgress{m}})
		qt.Assert(t, err, qt.IsNil)
		_, err = DecodeProgress(raw)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", raw))
	}
	for name, raw := range map[string]string{
		"number too large": `{"marks":[{"run":1e400}]}`,
		"another type":     `{"marks":{"run":1}}`,
		"deeply nested":    `{"marks":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000) + `}`,
		"no JSON":          "\x00\xff",
	} {
		_, err := DecodeProgress([]byte(raw))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(name))
	}
}
