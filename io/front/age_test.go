package front

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPeaksOfTheConfigurationsAgeAreLoggedByStep(t *testing.T) {
	c := qt.New(t)
	var p agePeak
	c.Check(p.rise(1, 700, 3000), qt.IsFalse)
	c.Check(p.rise(2, 1130, 3000), qt.IsTrue)
	c.Check(p.rise(3, 1400, 3000), qt.IsFalse)
	c.Check(p.rise(4, 1600, 3000), qt.IsTrue)
	c.Check(p.rise(5, 1200, 3000), qt.IsFalse)
	c.Check(p.rise(agePeakInterval+1, 1200, 3000), qt.IsTrue)
}
