package plan

import "slices"

// maxEntries bounds one write; the store takes no more.
const maxEntries = 32

// entries is how many entries of a write a job takes: a condition and a write,
// or a condition and the removal of its three keys.
func (j *job) entries() int {
	if j.removing {
		return 4
	}
	return 2
}

// effect is something that may be done once a record holds.
type effect struct {
	start *unit // order the start of this run
	run   int
	ended *worker // acknowledge this end
	num   int64
}

// flight is the write that has been handed out and not yet confirmed.
type flight struct {
	seq   int
	jobs  []*job
	after []effect
}

// touch marks a job's record as out of date.
func (p *Planner) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// flush hands out the next write if none is on its way.
func (p *Planner) flush() {
	if p.writing != nil || len(p.dirty) == 0 {
		return
	}
	n, entries := 0, 1
	for n < len(p.dirty) && entries+p.dirty[n].entries() <= maxEntries {
		entries += p.dirty[n].entries()
		n++
	}
	p.seq++
	f := &flight{seq: p.seq, jobs: slices.Clone(p.dirty[:n])}
	w := &Write{Seq: p.seq}
	for _, j := range f.jobs {
		r := Record{ID: j.ID, Rev: j.rev}
		if !j.removing {
			r.Progress = j.progress()
		}
		w.Records = append(w.Records, r)
		f.after = append(f.after, j.after...)
		j.after, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, n)
	p.writing = f
	p.out.Write = w
}

// written carries out what waited for a write to hold.
func (p *Planner) written(m WrittenMsg) {
	f := p.writing
	if f == nil || f.seq != m.Seq {
		return
	}
	p.writing = nil
	for _, j := range f.jobs {
		j.rev = m.Revs[j.ID]
		if j.removing {
			delete(p.jobs, j.ID)
		}
	}
	for _, e := range f.after {
		if e.start != nil {
			p.orderStart(e.start, e.run)
		}
		if e.ended != nil {
			e.ended.record(e.num)
			p.grant(e.ended)
		}
	}
}
