package plan

import (
	"gypsumcrank/core/clock"
)

// evacuate stops the tasks of a leaving worker that would not end in time and
// whose work a stop saves.
func (p *Planner) evacuate(w *worker) {
	for _, u := range w.sorted() {
		if u.phase == running && u.step.Checkpoints && p.now.Steady+p.remaining(u) > w.leaves {
			p.note(Event{Kind: "task_moved", Job: u.job.ID, Task: u.text, Worker: w.node, Run: u.run, Detail: "its worker leaves"})
			p.stop(u)
			p.breakGang(u)
		}
	}
}

// remaining estimates how long a running task still takes.
func (p *Planner) remaining(u *unit) clock.Millis {
	ran := p.now.Steady - u.since
	if u.percent > 0 && ran > 0 {
		return ran * clock.Millis(100-u.percent) / clock.Millis(u.percent)
	}
	return max(0, p.expected(u.job, u.name.Step)-ran)
}
