package plan

import (
	"encoding/json"

	"gypsumcrank/core/clock"
)

const (
	// maxTxnOps limits the operations of one write; the store accepts no more. A
	// write is one transaction that stores records of some jobs; its operations
	// are its conditions, puts and deletions.
	maxTxnOps = 32
	// baseOps are the operations that are not a job's: the condition on the planner key, and the put of speeds.
	baseOps = 2
	// maxWriteBytes limits the values of one write of several records. A link of 10 Mbit/s carries them, encoded
	// for the wire, in half the time of a call.
	maxWriteBytes = 192 << 10
	// maxJobRecords limits the records of one job in a write, so that a large job leaves space for others.
	maxJobRecords = 6
)

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
	job     *job
	records []pendingRecord
}

// size returns how many bytes the values have.
func (w *jobWrite) size() int {
	n := 0
	for _, r := range w.records {
		n += len(r.Value)
	}
	return n
}

// markDirty marks a job's records as out of date. Those of a job that is set aside are written later.
func (p *Planner) markDirty(j *job) {
	j.dirty = true
	if !j.isAside() {
		p.enqueue(j)
	}
}

// enqueue queues a job whose records are to be written.
func (p *Planner) enqueue(j *job) {
	if !j.queued {
		j.queued = true
		p.writeQueue = append(p.writeQueue, j)
	}
}

// flush puts the next write into the effects if none is in flight. A job whose records it does not hold all goes to the
// end of the queue.
func (p *Planner) flush() {
	if p.inFlight != nil || len(p.writeQueue) == 0 {
		return
	}
	p.seq++
	b := writeBuilder{write: &Write{Seq: p.seq}, ops: baseOps}
	next := &inFlightWrite{seq: p.seq, since: p.now.Monotonic}
	alone := p.writeQueue[0].alone
	if !alone {
		b.write.Speeds = p.encodeSpeeds()
		b.bytes, next.speeds = len(b.write.Speeds), b.write.Speeds != nil
	}
	queue := p.writeQueue
	p.writeQueue = nil
	var unfinished []*job
	for len(queue) > 0 {
		j := queue[0]
		if len(next.jobs) > 0 && (alone || j.alone) {
			break
		}
		if len(j.pending) == 0 {
			j.pending, j.awaiting, j.followUps, j.dirty = p.encodeRecords(j), j.followUps, nil, false
		}
		taken := b.take(j.pending)
		if len(taken) == 0 {
			break
		}
		queue = queue[1:]
		j.queued, j.pending = false, j.pending[len(taken):]
		next.jobs = append(next.jobs, jobWrite{j, taken})
		if len(j.pending) > 0 || j.dirty {
			j.queued = true
			unfinished = append(unfinished, j)
		}
	}
	p.writeQueue = append(queue, unfinished...)
	p.inFlight = next
	p.effects.Write = b.write
}

// writeBuilder collects the records of a write.
type writeBuilder struct {
	write      *Write
	ops, bytes int
}

// take adds the first of a job's records, as far as there is space, and returns them. The first record of all is
// always taken.
func (b *writeBuilder) take(records []pendingRecord) []pendingRecord {
	n := 0
	for n < min(len(records), maxJobRecords) {
		r := records[n].Record
		if b.ops+r.txnOps() > maxTxnOps || len(b.write.Records) > 0 && b.bytes+len(r.Value) > maxWriteBytes {
			break
		}
		b.ops, b.bytes = b.ops+r.txnOps(), b.bytes+len(r.Value)
		b.write.Records = append(b.write.Records, r)
		n++
	}
	return records[:n:n]
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
	raw, _ := json.Marshal(speeds) // they have only types that can always be encoded
	return raw
}

// applyWritten applies the news that a write is stored: it takes over the new
// revision, forgets removed jobs, and carries out the actions that waited for the last of a job's records.
func (p *Planner) applyWritten(m WrittenMsg) {
	stored := p.inFlight
	if stored == nil || stored.seq != m.Seq {
		return
	}
	p.inFlight = nil
	p.storeRev, p.lastStoredAt = max(p.storeRev, m.Rev), p.now.Monotonic
	var ready []followUp
	for _, w := range stored.jobs {
		j := w.job
		for _, r := range w.records {
			j.recordStored(r, m.Rev)
			if r.Part == 0 && r.Value == nil {
				delete(p.jobs, j.ID)
			}
		}
		if len(j.pending) == 0 {
			ready = append(ready, j.awaiting...)
			j.awaiting = nil
			p.recordAccepted(j)
		}
	}
	for _, action := range ready {
		if action.startUnit != nil {
			p.orderStart(action.startUnit, action.startRun)
		}
		if action.ackWorker != nil {
			action.ackWorker.recordEnd(action.ackNumber)
			p.grant(action.ackWorker)
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
