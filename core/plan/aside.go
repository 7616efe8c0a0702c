package plan

import (
	"fmt"
	"slices"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// The load that this answers: the store rejects a write for good, because of one record in it. That job is
// set aside, and all others go on.

const (
	// asideRetry is how often the record of a job that is set aside is tried again.
	asideRetry = 5 * clock.Second
	// asideLimit is how long a job is set aside before it is ended, if the store takes the records of others.
	// Until then its workers can't be told that its ended runs are recorded, and with some hundred of them they
	// list no others.
	asideLimit = 30 * clock.Second
)

// aside is the state of a job whose record the store has rejected.
type aside struct {
	rejections int          // in a row
	since      clock.Millis // when the first of them came
	until      clock.Millis // its record is not written before
}

// isAside reports whether a job's record is kept out of writes.
func (j *job) isAside() bool { return j.aside.until > 0 }

// unrecorded reports whether the store has rejected a job's record and has not taken one since. Nothing of
// the job is started.
func (j *job) unrecorded() bool { return j.aside.rejections > 0 }

// applyRejected applies the news that the store rejects a write. Nothing of it is stored. If it held the records
// of several jobs, those of each are written by themselves from now on; otherwise the job is set aside.
func (p *Planner) applyRejected(m RejectedMsg) {
	w := p.inFlight
	if w == nil || w.seq != m.Seq {
		return
	}
	p.inFlight = nil
	if w.speeds {
		p.speedsRejected = true
		p.emit(Event{Kind: "speeds_rejected", Detail: m.Reason})
	}
	if len(w.jobs) == 1 && !w.speeds {
		p.putAside(w.jobs[0], m.Reason)
		return
	}
	for _, held := range w.jobs {
		j := held.job
		j.pending, j.alone = append(held.records, j.pending...), true
		p.enqueue(j)
	}
}

// putAside keeps a job's records out of writes for a while. Its starts that wait for them are abandoned,
// so that others can have the resources.
func (p *Planner) putAside(rejected jobWrite, reason string) {
	j := rejected.job
	if !j.unrecorded() {
		j.aside.since = p.now.Monotonic
	}
	j.aside.rejections++
	lasted := p.now.Monotonic - j.aside.since
	p.emit(Event{Kind: "record_rejected", Job: j.ID, Wait: lasted, Detail: fmt.Sprintf("bytes=%d records=%d tasks=%d rejections=%d state=%s reason: %s", rejected.size(), len(rejected.records), len(j.units), j.aside.rejections, j.state, reason)})
	if j.queued {
		p.writeQueue = slices.DeleteFunc(p.writeQueue, func(o *job) bool { return o == j })
		j.queued = false
	}
	j.alone, j.aside.until = true, p.now.Monotonic+asideRetry
	p.aside = append(p.aside, j)
	waiting := append(j.awaiting, j.followUps...)
	j.pending, j.awaiting, j.followUps = nil, nil, nil
	for _, action := range waiting {
		if u := action.startUnit; u == nil {
			j.followUps = append(j.followUps, action)
		} else if u.phase == recording && u.run == action.startRun {
			p.abandonStart(u)
		}
	}
	if lasted >= asideLimit && !j.state.Ended() && p.now.Monotonic-p.lastStoredAt < 2*asideRetry {
		p.endJob(j, task.Failed, "the store rejects the record of its progress: "+reason)
	}
	j.brief = j.state.Ended()
	j.dirty = true
}

// retryAside queues the records of jobs that were set aside for long enough.
func (p *Planner) retryAside() {
	p.aside = slices.DeleteFunc(p.aside, func(j *job) bool {
		if p.now.Monotonic < j.aside.until {
			return false
		}
		j.aside.until = 0
		p.enqueue(j)
		return true
	})
}

// recordAccepted notes that a job's record is stored.
func (p *Planner) recordAccepted(j *job) {
	j.alone = false
	if j.unrecorded() {
		p.emit(Event{Kind: "record_accepted", Job: j.ID, Wait: p.now.Monotonic - j.aside.since, Detail: fmt.Sprintf("rejections=%d", j.aside.rejections)})
		j.aside = aside{}
		p.changed = true
	}
}

// Unrecorded returns the number of jobs whose record the store has rejected and has not taken since.
func (p *Planner) Unrecorded() int {
	n := 0
	for _, j := range p.jobs {
		if j.unrecorded() {
			n++
		}
	}
	return n
}
