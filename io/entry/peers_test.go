package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fleet"
)

// An entry calls its list of agents complete only when they have had time to choose
// it as their home. In the scenario rolling, a restarted entry sent an empty list;
// the other entry then refused a request with "no endpoint of studio accepts work
// now" while three endpoints were idle.
func TestListOfAgentsIsPartialAfterStart(t *testing.T) {
	c := qt.New(t)
	now := clock.Manual(clock.Minute)
	ctl := newControl(&Entry{Name: "entry-1", Clock: now})
	c.Check(ctl.fullReport(now.Now()).Partial, qt.IsTrue)
	c.Check(ctl.fullReport(now.Now()+fleet.HomeSilenceTimeout).Partial, qt.IsFalse)
}
