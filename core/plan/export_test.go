package plan

import "gypsumcrank/core/clock"

// Expect lets tests see what was learnt about a queue's tasks.
func (p *Planner) Expect(queue string, estimate clock.Millis) clock.Millis {
	return p.lengths[queue].expect(estimate)
}
