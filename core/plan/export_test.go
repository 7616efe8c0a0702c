package plan

import "gypsumcrank/core/clock"

// ExpectedDuration lets tests see what was learnt about a queue's tasks.
func (p *Planner) ExpectedDuration(queue string, estimate clock.Millis) clock.Millis {
	return p.lengths[queue].expect(estimate)
}
