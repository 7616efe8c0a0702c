package plan

import "slices"

// maxTxnOps limits one write; the store accepts no more operations.
const maxTxnOps = 32

// txnOps returns how many operations a job takes in a write: a condition and a
// put, or a condition and the deletion of its three keys.
func (j *job) txnOps() int {
	if j.removing {
		return 4
	}
	return 2
}

// followUp is an action that must wait until a record is stored.
type followUp struct {
	start     *unit // order the start of this run
	run       int
	endedOn   *worker // acknowledge this ended run
	endNumber int64
}

// inFlightWrite is the write that has been handed out and not yet confirmed.
type inFlightWrite struct {
	seq       int
	jobs      []*job
	followUps []followUp
}

// markDirty marks a job's record as out of date.
func (p *Planner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// flush hands out the next write if none is in flight.
func (p *Planner) flush() {
	if p.inFlight != nil || len(p.dirty) == 0 {
		return
	}
	n, ops := 0, 1
	for n < len(p.dirty) && ops+p.dirty[n].txnOps() <= maxTxnOps {
		ops += p.dirty[n].txnOps()
		n++
	}
	p.seq++
	f := &inFlightWrite{seq: p.seq, jobs: slices.Clone(p.dirty[:n])}
	w := &Write{Seq: p.seq}
	for _, j := range f.jobs {
		r := Record{ID: j.ID, Rev: j.rev}
		if !j.removing {
			r.Progress = j.progress()
		}
		w.Records = append(w.Records, r)
		f.followUps = append(f.followUps, j.followUps...)
		j.followUps, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, n)
	p.inFlight = f
	p.effects.Write = w
}

// applyWritten carries out the actions that waited for a write to be stored.
func (p *Planner) applyWritten(m WrittenMsg) {
	f := p.inFlight
	if f == nil || f.seq != m.Seq {
		return
	}
	p.inFlight = nil
	for _, j := range f.jobs {
		j.rev = m.Revs[j.ID]
		if j.removing {
			delete(p.jobs, j.ID)
		}
	}
	for _, action := range f.followUps {
		if action.start != nil {
			p.orderStart(action.start, action.run)
		}
		if action.endedOn != nil {
			action.endedOn.recordEnd(action.endNumber)
			p.grant(action.endedOn)
		}
	}
}
