package plan

import "slices"

// maxTxnOps limits the operations of one write; the store accepts no more. A
// write is one transaction that stores the records of some jobs; its operations
// are its conditions, puts and deletions.
const maxTxnOps = 32

// txnOps returns how many operations a job takes in a write: the condition on
// its progress record, and the put of that record or the deletions of its
// progress, cancel and job keys.
func (j *job) txnOps() int {
	if j.removing {
		return 4
	}
	return 2
}

// followUp is an action that must wait until a record is stored. Either
// startUnit or ackWorker is set.
type followUp struct {
	startUnit *unit   // order the start of this task
	startRun  int     // number of the run to start
	ackWorker *worker // acknowledge an ended run to this worker
	ackNumber int64   // number of the ended run
}

// inFlightWrite is the write that has been handed out and is not known to be
// stored yet.
type inFlightWrite struct {
	seq       int
	jobs      []*job
	removed   []*job // those of jobs whose deletion this write holds
	followUps []followUp
}

// markDirty marks a job's record as out of date.
func (p *Planner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// flush puts the next write into the effects if none is in flight.
func (p *Planner) flush() {
	if p.inFlight != nil || len(p.dirty) == 0 {
		return
	}
	n, ops := 0, 2 // the condition on the planner key, and the put of speeds
	for n < len(p.dirty) && ops+p.dirty[n].txnOps() <= maxTxnOps {
		ops += p.dirty[n].txnOps()
		n++
	}
	p.seq++
	next := &inFlightWrite{seq: p.seq, jobs: slices.Clone(p.dirty[:n])}
	write := &Write{Seq: p.seq, Speeds: p.speedsToStore()}
	for _, j := range next.jobs {
		r := Record{ID: j.ID, Rev: j.rev}
		if j.removing {
			next.removed = append(next.removed, j)
		} else {
			r.Progress = j.progress()
		}
		write.Records = append(write.Records, r)
		next.followUps = append(next.followUps, j.followUps...)
		j.followUps, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, n)
	p.inFlight = next
	p.effects.Write = write
}

// applyWritten applies the news that a write is stored: it takes over the new
// revisions, forgets removed jobs, and carries out the actions that waited.
func (p *Planner) applyWritten(m WrittenMsg) {
	stored := p.inFlight
	if stored == nil || stored.seq != m.Seq {
		return
	}
	p.inFlight = nil
	for _, j := range stored.jobs {
		j.rev = m.Revs[j.ID]
		p.storeRev = max(p.storeRev, j.rev)
	}
	for _, j := range stored.removed {
		delete(p.jobs, j.ID)
	}
	for _, action := range stored.followUps {
		if action.startUnit != nil {
			p.orderStart(action.startUnit, action.startRun)
		}
		if action.ackWorker != nil {
			action.ackWorker.recordEnd(action.ackNumber)
			p.grant(action.ackWorker)
		}
	}
}
