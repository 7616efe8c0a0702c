package plan

import (
	"gypsumcrank/core/clock"
)

// evacuate stops the tasks on a draining worker that would not end in time and
// can resume from a checkpoint.
func (p *Planner) evacuate(w *worker) {
	for _, u := range w.sorted() {
		if u.phase == running && u.step.Checkpoints && p.now.Monotonic+p.remaining(u) > w.leavesAt {
			p.emit(Event{Kind: "task_moved", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: u.run, Detail: "its worker drains before the task would end"})
			p.stop(u)
			p.stopGangPeers(u)
		}
	}
}

// remaining estimates how much longer a running task takes.
func (p *Planner) remaining(u *unit) clock.Millis {
	if left, ok := p.remainingAtPace(u); ok && p.uneven() {
		return left
	}
	ran := p.now.Monotonic - u.confirmedAt
	if u.percent > 0 && ran > 0 {
		return ran * clock.Millis(100-u.percent) / clock.Millis(u.percent)
	}
	return max(0, clock.Millis(float64(p.expectedDuration(u.job, u.name.Step))*p.gangFactor(u))-ran)
}
