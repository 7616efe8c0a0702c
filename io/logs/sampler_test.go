package logs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
)

func TestSamplerLogsAtMostMaxInAnInterval(t *testing.T) {
	c := qt.New(t)
	s := Sampler[string]{Interval: clock.Second, Max: 2}
	for i, want := range []int{1, 1, 0, 0, 0} {
		c.Check(s.Due("refused", clock.Millis(100+i)), qt.Equals, want)
	}
	c.Check(s.Due("evicted", 105), qt.Equals, 1)
	c.Check(s.Due("refused", 1099), qt.Equals, 0)
	c.Check(s.Due("refused", 1100), qt.Equals, 5)
	c.Check(s.Due("refused", 1101), qt.Equals, 1)
	c.Check(s.Due("refused", 1102), qt.Equals, 0)
}
