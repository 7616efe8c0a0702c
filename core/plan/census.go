package plan

// TaskCountKey sorts tasks for the metrics.
type TaskCountKey struct {
	Account  string
	Priority int
	Phase    string
}

var phaseNames = [...]string{idle: "waiting", intended: "recording", starting: "starting", running: "running", stopping: "stopping", unsure: "in_doubt"}

// TaskCounts counts the tasks that are not done, by account, priority and phase.
func (p *Planner) TaskCounts() map[TaskCountKey]int {
	out := make(map[TaskCountKey]int)
	for _, j := range p.jobs {
		for _, u := range j.units {
			if u.at == nil && (u.done || j.state.Ended()) {
				continue
			}
			out[TaskCountKey{j.Account, j.Priority, phaseNames[u.phase]}]++
		}
	}
	return out
}
