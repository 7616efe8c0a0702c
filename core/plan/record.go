package plan

import (
	"bytes"
	"maps"
	"slices"

	"gypsumcrank/core/task"
)

// The load that this answers: jobs of thousands of tasks whose workers crash. All that is stored of such a job at
// once is bounded by its parts, and a change writes the parts that it concerns.

// storedPart is one part of a large job's progress as it is stored.
type storedPart struct {
	rev   int64 // 0 if it is not stored
	tasks []task.TaskProgress
}

// pendingRecord is a record of a job that waits to be stored, and what it says of the job.
type pendingRecord struct {
	Record
	tasks   []task.TaskProgress // of a part
	inParts bool                // of the job's own record: the parts count from now on
}

// txnOps returns how many operations a record takes in a write: the condition on it, and the put of it or the
// deletions of the part or of the job's progress, cancel and job keys.
func (r *Record) txnOps() int {
	if r.Part == 0 && r.Value == nil {
		return 4
	}
	return 2
}

// PartsPolicy says in which form the progress of large jobs is stored. Any front may become the planner, and
// those of builds before parts can't read them.
type PartsPolicy int

// The policies.
const (
	KeepForm    PartsPolicy = iota // as it is; that of new jobs in one record
	InParts                        // one record for each part of the tasks
	InOneRecord                    // without crash histories and checkpoints, so that it is short enough
)

// SetPartsPolicy sets in which form the progress of large jobs is stored from now on.
func (p *Planner) SetPartsPolicy(policy PartsPolicy) {
	if p.partsPolicy == policy {
		return
	}
	p.partsPolicy = policy
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if j := p.jobs[id]; policy == InOneRecord && j.hasParts() {
			p.markDirty(j)
		}
	}
}

// storedInParts reports whether a job's progress is to be stored in parts.
func (p *Planner) storedInParts(j *job) bool {
	if !j.Large() || j.brief || p.partsPolicy == InOneRecord {
		return false
	}
	return p.partsPolicy == InParts || j.inParts
}

// hasParts reports whether parts of a job's progress are stored.
func (j *job) hasParts() bool {
	for _, part := range j.parts {
		if part.rev > 0 {
			return true
		}
	}
	return false
}

// restoreParts takes over which parts of a job's progress are stored, and what they hold if they count.
func (j *job) restoreParts(m JobMsg) {
	if len(m.PartRevs) == 0 && !j.Large() {
		return
	}
	j.parts = make([]storedPart, j.Parts())
	for n, rev := range m.PartRevs {
		if n <= len(j.parts) {
			j.parts[n-1].rev = rev
		}
	}
	j.inParts = m.Progress != nil && m.Progress.Parts > 0
	if !j.inParts {
		return
	}
	for _, t := range m.Progress.Tasks {
		if u := j.index[task.Name{Job: j.ID, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}]; u != nil {
			part := &j.parts[u.part()]
			part.tasks = append(part.tasks, t)
		}
	}
}

// part returns the index of the part that holds the task, if its job is large.
func (u *unit) part() int { return u.position / task.PartTasks }

// encodeRecords returns the records that bring what is stored of a job up to date, in the order in which they must be
// stored: parts count once the job's own record says so, and a job that has ended has to be known as ended before its
// tasks are known to be over.
func (p *Planner) encodeRecords(j *job) []pendingRecord {
	if j.removing {
		return append(j.deleteParts(), pendingRecord{Record: Record{ID: j.ID, Rev: j.rev}})
	}
	progress := j.progress()
	if p.storedInParts(j) {
		return j.encodeParts(progress)
	}
	if j.Large() {
		shorten(progress.Tasks)
	}
	task.LimitCheckpoints(progress.Tasks)
	own := pendingRecord{Record: j.encodeOwn(progress)}
	return append([]pendingRecord{own}, j.deleteParts()...)
}

// encodeOwn encodes the job's own record.
func (j *job) encodeOwn(progress *task.Progress) Record {
	return Record{ID: j.ID, Rev: j.rev, Value: encode(progress), Ended: j.state.Ended()}
}

// encode encodes a record. Records have only types that can always be encoded.
func encode(v any) []byte {
	raw, _ := task.Encode(v)
	return raw
}

// encodeParts returns the parts that have changed, and the job's own record if it has.
func (j *job) encodeParts(progress *task.Progress) []pendingRecord {
	tasks := make([][]task.TaskProgress, len(j.parts))
	for _, t := range progress.Tasks {
		n := j.index[task.Name{Job: j.ID, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}].part()
		tasks[n] = append(tasks[n], t)
	}
	var out []pendingRecord
	for n, stored := range j.parts {
		if j.inParts && !task.Changed(stored.tasks, tasks[n]) || stored.rev == 0 && len(tasks[n]) == 0 {
			continue
		}
		task.LimitCheckpoints(tasks[n])
		r := Record{ID: j.ID, Part: n + 1, Rev: stored.rev, Value: encode(&task.Part{Tasks: tasks[n]})}
		out = append(out, pendingRecord{Record: r, tasks: tasks[n]})
	}
	progress.Tasks, progress.Parts = nil, len(j.parts)
	own := pendingRecord{Record: j.encodeOwn(progress), inParts: true}
	switch {
	case j.inParts && j.state.Ended():
		return append([]pendingRecord{own}, out...)
	case !j.inParts || len(out) == 0 || !bytes.Equal(own.Value, j.ownValue):
		return append(out, own)
	}
	return out
}

// deleteParts returns the deletions of all parts that are stored.
func (j *job) deleteParts() []pendingRecord {
	var out []pendingRecord
	for n, part := range j.parts {
		if part.rev > 0 {
			out = append(out, pendingRecord{Record: Record{ID: j.ID, Part: n + 1, Rev: part.rev}})
		}
	}
	return out
}

// recordStored takes over that a record is stored at a revision.
func (j *job) recordStored(r pendingRecord, rev int64) {
	switch {
	case r.Part == 0:
		j.rev, j.inParts, j.ownValue = rev, r.inParts, r.Value
	case r.Value == nil:
		j.parts[r.Part-1] = storedPart{}
	default:
		j.parts[r.Part-1] = storedPart{rev, r.tasks}
	}
}

// shorten drops crash histories and checkpoints from a record. They are known to this planner; the next one suspects
// tasks anew, and starts those again from the beginning that don't run.
func shorten(tasks []task.TaskProgress) {
	for i := range tasks {
		tasks[i].Crashes, tasks[i].Checkpoint = task.TaskProgress{}.Crashes, ""
	}
}
