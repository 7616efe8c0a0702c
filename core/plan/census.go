package plan

// TaskCountKey groups tasks for the metrics.
type TaskCountKey struct {
	Account  string
	Priority int
	Phase    string
}

var phaseNames = [...]string{idle: "waiting", recording: "recording", starting: "starting", running: "running", stopping: "stopping", inDoubt: "in_doubt"}

// TaskCounts counts the tasks that are not done, by account, priority and phase.
func (p *Planner) TaskCounts() map[TaskCountKey]int {
	out := make(map[TaskCountKey]int)
	for _, j := range p.jobs {
		for _, u := range j.units {
			if u.placedOn == nil && (u.done || j.state.Ended()) {
				continue
			}
			out[TaskCountKey{j.Account, j.Priority, phaseNames[u.phase]}]++
		}
	}
	return out
}
