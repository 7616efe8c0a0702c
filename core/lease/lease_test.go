package lease_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
)

// A side passed on a lease that ends at 20 s of its worker's clock, which showed
// 15 s when the worker last answered, 6 s ago. The worker's clock may have run 2 %
// slow since, so the lease may have a moment left.
func Example() {
	h := lease.Handover{Until: 20_000, Clock: 15_000, Age: 5000, Uptime: 60_000}
	fmt.Println(h.Ended(5500))
	h.Age = 5500
	fmt.Println(h.Ended(5500))
	// Output:
	// false
	// true
}

func TestHandoverOfARestartedSideCountsFromItsStart(t *testing.T) {
	const longest = 10 * clock.Second
	for _, test := range []struct {
		name     string
		handover lease.Handover
		ended    bool
	}{
		{"nothing passed on, just started", lease.Handover{Uptime: 10_000}, false},
		{"nothing passed on, an earlier side's last lease has ended", lease.Handover{Uptime: 10_501}, true},
		{"own lease ended, an earlier side's not", lease.Handover{Until: 2000, Clock: 1000, Age: 9000, Uptime: 9500}, false},
		{"the worker's clock is not known", lease.Handover{Until: 2000, Uptime: 60_000}, false},
		{"own lease not ended", lease.Handover{Until: 12_000, Clock: 1000, Age: 11_000, Uptime: 60_000}, false},
		{"own lease ended", lease.Handover{Until: 12_000, Clock: 1000, Age: 11_600, Uptime: 60_000}, true},
	} {
		qt.Check(t, test.handover.Ended(longest), qt.Equals, test.ended, qt.Commentf(test.name))
	}
}

// Only a refused connection after the announced end proves anything, several
// times without another result between.
func TestOnlyRefusedConnectionsAfterTheAnnouncedEndProveADeparture(t *testing.T) {
	refuse := func(w *lease.Watch, from, to clock.Millis) {
		for at := from; at <= to; at += 150 {
			w.Refused(at)
		}
	}
	for _, test := range []struct {
		name    string
		observe func(w *lease.Watch)
		gone    bool
	}{
		{"removed after its notice", func(w *lease.Watch) { w.Heard(60_000, true, 1700); refuse(w, 61_700, 62_200) }, true},
		{"not announced", func(w *lease.Watch) { w.Heard(60_000, false, 0); refuse(w, 61_700, 64_000) }, false},
		{"no longer announced", func(w *lease.Watch) {
			w.Heard(60_000, true, 1700)
			w.Heard(60_500, false, 0)
			refuse(w, 61_700, 64_000)
		}, false},
		{"before its time is over", func(w *lease.Watch) { w.Heard(60_000, true, 5000); refuse(w, 60_500, 64_000) }, false},
		{"refused once", func(w *lease.Watch) { w.Heard(60_000, true, 1700); w.Refused(62_000) }, false},
		{"flapping: refused and reset by turns", func(w *lease.Watch) {
			w.Heard(60_000, true, 1700)
			for at := clock.Millis(61_700); at < 64_000; at += 300 {
				refuse(w, at, at+150)
				w.Failed()
			}
		}, false},
		{"frozen or cut off: calls time out", func(w *lease.Watch) { w.Heard(60_000, true, 0); w.Failed(); w.Failed(); w.Failed() }, false},
		{"a heartbeat arrives after refused connections", func(w *lease.Watch) {
			w.Heard(60_000, true, 1700)
			refuse(w, 61_700, 62_200)
			w.Heard(62_210, true, 0)
		}, false},
		{"it answers after refused connections", func(w *lease.Watch) {
			w.Heard(60_000, true, 1700)
			refuse(w, 61_700, 62_200)
			w.Answered(62_210, 5000)
		}, false},
		{"the side has started too recently", func(w *lease.Watch) {
			w.Since = 55_000
			w.Heard(60_000, true, 1700)
			refuse(w, 61_700, 62_200)
		}, false},
	} {
		w := &lease.Watch{Since: 1}
		test.observe(w)
		qt.Check(t, w.Departure(62_300) != nil, qt.Equals, test.gone, qt.Commentf(test.name))
	}
}

func TestDepartureNamesStartsWithoutADefiniteAnswer(t *testing.T) {
	w := &lease.Watch{Since: 1}
	w.StartSent(40_000, "old", 1)
	w.StartSent(50_000, "twice", 2)
	w.StartSent(51_000, "twice", 2)
	w.StartAnswered(51_000, "twice", 2) // the first order may still be carried out
	w.StartSent(52_000, "answered", 1)
	w.StartAnswered(52_000, "answered", 1)
	w.Heard(60_000, true, 0)
	for at := clock.Millis(60_100); at <= 60_700; at += 150 {
		w.Refused(at)
	}
	qt.Check(t, w.Departure(60_700), qt.DeepEquals, &lease.Departure{Unanswered: []lease.Start{{Task: "twice", Run: 2, Age: 10_700}}})
}

// Under the same ID, the next incarnation may carry out what the last ones left unanswered.
func TestTheNextIncarnationKnowsOfEarlierUnansweredStarts(t *testing.T) {
	c := qt.New(t)
	w := lease.Watch{Since: 1}
	w.StartSent(40_000, "old", 1)
	w.StartSent(52_000, "a", 1)
	w = w.Next(53_000, true)
	w.StartSent(54_000, "b", 1)
	w.StartAnswered(54_000, "b", 1)
	w = w.Next(56_000, true)
	c.Check(w.EarlierStarts(60_000), qt.DeepEquals, []lease.Start{{Task: "a", Run: 1, Age: 8000}})
	other := w.Next(60_000, false)
	c.Check(other.EarlierStarts(60_000), qt.HasLen, 0)
}
