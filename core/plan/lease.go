package plan

import "gypsumcrank/core/clock"

// driftPercent is how many percent too slow a worker's clock may run.
const driftPercent = 2

// leaseSlack is added to every wait for a lease to expire.
const leaseSlack = 300 * clock.Millisecond

// leaseEnd returns the end of a lease granted now, on the worker's clock. The
// lease counts from the worker's last report, so it is never too long.
func (p *Planner) leaseEnd(w *worker) clock.Millis {
	if w.lastReportAt == 0 {
		return 0
	}
	until := w.clock + (p.now.Monotonic - w.lastReportAt) + p.Settings.MaxLease
	w.grantedUntil = max(w.grantedUntil, until)
	return w.grantedUntil
}

// checkLease releases the tasks of a silent worker once its leases have expired.
// If it has not sent lists to this planner, these are the leases that a deposed
// planner may have granted.
func (p *Planner) checkLease(w *worker) {
	if w.dead || len(w.units) == 0 && w.lastReportAt == 0 {
		return
	}
	if w.lastReportAt == 0 {
		longestLease := p.Settings.StaleGrantWindow + p.Settings.MaxLease + p.Settings.MaxLease*driftPercent/100 + leaseSlack
		if p.now.Monotonic-p.started > longestLease {
			p.expireLease(w)
		}
		return
	}
	workerClock := w.clock + (p.now.Monotonic-w.lastReportAt)*(100-driftPercent)/100
	if w.grantedUntil > 0 && workerClock > w.grantedUntil+leaseSlack || w.grantedUntil == 0 && p.now.Monotonic-w.lastReportAt > 2*p.Settings.MaxLease {
		p.expireLease(w)
	}
}

// expireLease releases the tasks of a worker whose leases have expired. The worker
// gets no task before it sends its lists again.
func (p *Planner) expireLease(w *worker) {
	if len(w.units) > 0 {
		p.emit(Event{Kind: "lease_ran_out", Worker: w.node, Detail: w.incarnation.ID})
	}
	w.acceptedEpoch = false
	p.releaseAll(w)
}

// releaseAll treats all runs on a worker as ended without a result.
func (p *Planner) releaseAll(w *worker) {
	units := w.sorted()
	for _, u := range units {
		p.release(u)
	}
	for _, u := range units {
		p.stopGangPeers(u)
	}
	clear(w.unaccounted)
}
