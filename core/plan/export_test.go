package plan

import "gypsumcrank/core/clock"

// ExpectedDuration returns the expected duration of a task of a queue.
func (p *Planner) ExpectedDuration(queue string, estimate clock.Millis) clock.Millis {
	return p.durations[queue].predict(estimate)
}
