package lease

import (
	"slices"

	"gypsumcrank/core/clock"
)

// A process counts as gone only after several refused connections over a while,
// so that a process on its way out has ended as well as closed its port.
const (
	minRefusals    = 3
	minRefusalTime = 400 * clock.Millisecond
)

// Watch is what a side has observed of one incarnation of its worker. All times
// are on the side's monotonic clock. The zero value is ready for use; set Since
// first.
type Watch struct {
	Since clock.Millis // when the side process started

	until        clock.Millis // latest lease end passed on, on the worker's clock
	clock        clock.Millis // the worker's clock when it last answered
	answeredAt   clock.Millis
	refused      bool         // the last call was refused
	lostAt       clock.Millis // when the first call failed since it last answered, 0 if none did
	announced    bool         // the endpoint has announced its end
	earliestEnd  clock.Millis // earliest end of the process that it has announced
	refusals     int          // refused connections since the last sign of life
	refusedSince clock.Millis
	unanswered   []sentStart // starts passed on within MaxOrderDelay that have no definite answer
	earlier      []sentStart // the same of earlier incarnations with the same ID
}

type sentStart struct {
	task string
	run  int
	at   clock.Millis // when it was passed on
}

// Next returns the watch of the endpoint's next incarnation. Under the same ID, it may carry
// out what this one has left unanswered.
func (w *Watch) Next(now clock.Millis, sameID bool) Watch {
	next := Watch{Since: w.Since}
	if sameID {
		next.earlier = slices.DeleteFunc(slices.Concat(w.earlier, w.unanswered), func(s sentStart) bool { return now-s.at > MaxOrderDelay })
	}
	return next
}

// EarlierStarts returns the starts that earlier incarnations with the same ID have left
// unanswered, and that may still be carried out.
func (w *Watch) EarlierStarts(now clock.Millis) []Start { return pending(w.earlier, now) }

// PassOn records a lease end that is about to be passed on to the worker.
func (w *Watch) PassOn(until clock.Millis) { w.until = max(w.until, until) }

// Answered records an answer of the worker that shows its clock.
func (w *Watch) Answered(now, workerClock clock.Millis) {
	w.clock, w.answeredAt, w.lostAt = workerClock, now, 0
	w.refusals, w.refused = 0, false
}

// Lost records that a call failed in any way, for LostFor.
func (w *Watch) Lost(now clock.Millis) {
	if w.lostAt == 0 {
		w.lostAt = now
	}
}

// Failed records a call that failed in any way but a refused connection: the
// process may be alive.
func (w *Watch) Failed() { w.refusals, w.refused = 0, false }

// Refused records that the worker's port refused a connection: no process
// listens there. Before the announced end it proves nothing.
func (w *Watch) Refused(now clock.Millis) {
	w.refused = true
	if !w.announced || now < w.earliestEnd {
		return
	}
	if w.refusals == 0 {
		w.refusedSince = now
	}
	w.refusals++
}

// Heard records a heartbeat of the endpoint, and how much time it says is left
// at least if it drains.
func (w *Watch) Heard(now clock.Millis, draining bool, remaining clock.Millis) {
	w.announced, w.earliestEnd = draining, now+remaining
	w.refusals, w.refused = 0, false
}

// StartSent records a start order that is about to be passed on.
func (w *Watch) StartSent(now clock.Millis, task string, run int) {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(s sentStart) bool { return now-s.at > MaxOrderDelay })
	w.unanswered = append(w.unanswered, sentStart{task, run, now})
}

// StartAnswered records the definite answer to the start order that was passed on
// at the given time. Other orders for the same run stay unanswered.
func (w *Watch) StartAnswered(sentAt clock.Millis, task string, run int) {
	if i := slices.Index(w.unanswered, sentStart{task, run, sentAt}); i >= 0 {
		w.unanswered = slices.Delete(w.unanswered, i, i+1)
	}
}

// Gone reports whether the worker's process is certainly gone: it announced its
// end, the time that it had left at least is over, and since then its port has
// refused all connections.
func (w *Watch) Gone(now clock.Millis) bool {
	return w.refusals >= minRefusals && now-w.refusedSince >= minRefusalTime
}

// Handover returns what the side knows of the worker's leases.
func (w *Watch) Handover(now clock.Millis) *Handover {
	h := &Handover{Until: w.until, Clock: w.clock, Uptime: now - w.Since, Refused: w.refused}
	if w.clock > 0 {
		h.Age = now - w.answeredAt
	}
	if w.lostAt > 0 {
		h.LostFor = max(1, now-w.lostAt)
	}
	return h
}

// Departure returns the proof that the process is gone, or nil. There is none
// while orders of an earlier side process, of which this one knows nothing, may
// still be carried out.
func (w *Watch) Departure(now clock.Millis) *Departure {
	if !w.Gone(now) || now-w.Since < MaxOrderDelay {
		return nil
	}
	return &Departure{Unanswered: w.Unanswered(now)}
}

// Unanswered returns the starts that may still be carried out.
func (w *Watch) Unanswered(now clock.Millis) []Start { return pending(w.unanswered, now) }

func pending(starts []sentStart, now clock.Millis) []Start {
	var out []Start
	for _, s := range starts {
		if age := now - s.at; age <= MaxOrderDelay {
			out = append(out, Start{Task: s.task, Run: s.run, Age: age})
		}
	}
	return out
}
