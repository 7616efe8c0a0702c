package plan

import (
	"encoding/json"
	"slices"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// maxTxnOps limits the operations of one write; the store accepts no more. A
// write is one transaction that stores the records of some jobs; its operations
// are its conditions, puts and deletions.
const maxTxnOps = 32

// baseOps are the operations that are not a job's: the condition on the planner key, and the put of speeds.
const baseOps = 2

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
	seq    int
	since  clock.Millis
	jobs   []jobWrite
	speeds bool // it holds the speeds of workers
}

// jobWrite is what a write holds of one job.
type jobWrite struct {
	job       *job
	followUps []followUp
	removal   bool
	size      int // bytes of its record
}

// markDirty marks a job's record as out of date. The record of a job that is set aside is written later.
func (p *Planner) markDirty(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	if !j.isAside() {
		p.dirty = append(p.dirty, j)
	}
}

// flush puts the next write into the effects if none is in flight.
func (p *Planner) flush() {
	if p.inFlight != nil || len(p.dirty) == 0 {
		return
	}
	p.seq++
	next := &inFlightWrite{seq: p.seq, since: p.now.Monotonic}
	write := &Write{Seq: p.seq}
	if !p.dirty[0].alone {
		write.Speeds = p.encodeSpeeds()
		next.speeds = write.Speeds != nil
	}
	n, ops := 0, baseOps
	for ; n < len(p.dirty); n++ {
		j := p.dirty[n]
		if ops += j.txnOps(); ops > maxTxnOps || n > 0 && (j.alone || p.dirty[0].alone) {
			break
		}
		r := j.record()
		write.Records = append(write.Records, r)
		next.jobs = append(next.jobs, jobWrite{job: j, followUps: j.followUps, removal: j.removing, size: len(r.Value)})
		j.followUps, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, n)
	p.inFlight = next
	p.effects.Write = write
}

// record returns the record of a job as it has to be stored now.
func (j *job) record() Record {
	r := Record{ID: j.ID, Rev: j.rev}
	if j.removing {
		return r
	}
	// The types that are encoded can't fail to be.
	r.Value, _ = task.Encode(j.progress())
	r.Ended = j.state.Ended()
	return r
}

// encodeSpeeds returns the speeds of workers if it is time to store them, nil if not.
func (p *Planner) encodeSpeeds() []byte {
	if p.speedsRejected {
		return nil
	}
	speeds := p.speedsToStore()
	if len(speeds) == 0 {
		return nil
	}
	raw, _ := json.Marshal(speeds)
	return raw
}

// applyWritten applies the news that a write is stored: it takes over the new
// revision, forgets removed jobs, and carries out the actions that waited.
func (p *Planner) applyWritten(m WrittenMsg) {
	stored := p.inFlight
	if stored == nil || stored.seq != m.Seq {
		return
	}
	p.inFlight = nil
	p.storeRev, p.lastStoredAt = max(p.storeRev, m.Rev), p.now.Monotonic
	for _, w := range stored.jobs {
		if w.removal {
			delete(p.jobs, w.job.ID)
		}
		w.job.rev = m.Rev
		p.recordAccepted(w.job)
	}
	for _, w := range stored.jobs {
		for _, action := range w.followUps {
			if action.startUnit != nil {
				p.orderStart(action.startUnit, action.startRun)
			}
			if action.ackWorker != nil {
				action.ackWorker.recordEnd(action.ackNumber)
				p.grant(action.ackWorker)
			}
		}
	}
}

// WritePending returns for how long the write in flight has waited to be stored, 0 if there is none.
func (p *Planner) WritePending() clock.Millis {
	if p.inFlight == nil {
		return 0
	}
	return p.now.Monotonic - p.inFlight.since
}
