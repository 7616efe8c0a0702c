package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
)

// What is asked about a worker, and where the answer is:
//
//	may something be started there now     Planner.usable; Planner.takesStarts, once a start is recorded
//	may something run there                worker.units, until its leases have ended (Planner.leasesEnded)
//	will there be capacity, now or soon    Planner.present; outside closed data centres Planner.open
//	why are its runs over                  worker.hasAnnouncedEnd (loss.go)
//	is it ever expected back               Planner.forgotten
//
// A worker that is not present may come back at any time, with its runs if its leases have not ended. So what is
// decided without it must be right then, too: it says nothing about what runs there.

// forgetAfter is how long a worker has to be absent before nothing is expected of it any more.
const forgetAfter = clock.Minute

// leasesEnded reports whether a worker has been silent until all leases on it have ended. Those that a deposed planner may have
// granted count until the worker has sent lists to this one.
func (p *Planner) leasesEnded(w *worker) bool {
	if w.lastReportAt == 0 {
		return p.now.Monotonic-p.started > p.Settings.StaleGrantWindow+lease.Wait(p.Settings.MaxLease)
	}
	silent := p.now.Monotonic - w.lastReportAt
	if w.grantedUntil == 0 {
		return silent > 2*p.Settings.MaxLease
	}
	return lease.Ended(w.grantedUntil, w.clock, silent)
}

// heardAt returns when a worker last gave its lists, or was first reported by its side if it has given none.
func (w *worker) heardAt() clock.Millis { return max(w.lastReportAt, w.joinedAt) }

// silent reports whether a worker has given no lists for as long as a lease lasts, whatever its side says: its process may be
// gone.
func (p *Planner) silent(w *worker) bool {
	if w.lastReportAt == 0 {
		return p.now.Monotonic-w.joinedAt > lease.Wait(p.Settings.MaxLease)
	}
	return p.leasesEnded(w)
}

// hasAnnouncedEnd reports whether a worker has said that it leaves, or is known to have left after that.
func (w *worker) hasAnnouncedEnd() bool { return w.draining || w.left || w.departed }

// present reports whether a worker counts as capacity of its service: its side has reported it, it has not announced its
// end, and it is not silent. What it has may be in use, or not be available for a moment.
func (p *Planner) present(w *worker) bool {
	return w.joined && !w.dead && !w.hasAnnouncedEnd() && !p.silent(w)
}

// open reports whether a worker is present and may be given work.
func (p *Planner) open(w *worker) bool { return p.present(w) && !p.inClosedCentre(w) }

// usable reports whether a worker may be given new tasks now.
func (p *Planner) usable(w *worker) bool {
	if !p.takesStarts(w) || !w.linked || !w.tombstonesAcknowledged() || p.now.Monotonic < w.backoffUntil || w.health.quarantined(p.now.Monotonic) && !w.health.onParole(p.now.Monotonic) {
		return false
	}
	// A worker without a recent report would start tasks on a short lease.
	return p.now.Monotonic-w.lastReportAt < p.Settings.MaxLease/2
}

// takesStarts reports whether a start that was recorded for a worker may be ordered, also if the worker can't be reached
// for a moment: the order is sent again.
func (p *Planner) takesStarts(w *worker) bool {
	return !w.dead && !w.draining && w.acceptedEpoch && !p.inClosedCentre(w)
}

// forgotten reports whether a worker has been absent for so long that nothing is expected of it.
func (p *Planner) forgotten(w *worker) bool {
	return p.now.Monotonic-max(w.presentAt, w.joinedAt, p.started) > forgetAfter
}

// notePresence notes whether a worker is present, and drops it if it is over and forgotten. One whose side is connected, or that
// needs a fencing token of its own, would be taken for another one.
func (p *Planner) notePresence(w *worker) {
	if p.present(w) {
		w.presentAt = p.now.Monotonic
	}
	over := w.dead || !w.linked && w.fence == 0 && p.silent(w)
	if !over || !p.forgotten(w) || len(w.units)+len(w.unanswered)+len(w.tombstones) > 0 {
		return
	}
	delete(p.workers, w.incarnation)
	if p.byNode[w.node] == w {
		delete(p.byNode, w.node)
	}
}
