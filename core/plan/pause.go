package plan

import "gypsumcrank/core/clock"

const (
	// longPause is the shortest pause after which the planner lets jobs arrive before it
	// places work that can wait. Shorter ones hold few callers up.
	longPause = clock.Second
	// settleTime is how long that takes: the jobs of callers who were held up by an
	// outage arrive within a second after it, in no order.
	settleTime = 600 * clock.Millisecond
)

// Pause sets whether the planner is kept from placing tasks, because its lease is
// in doubt. After a long pause it places only work of priority 0 at first, so that
// what waits gets its place by urgency and not by arrival.
func (p *Planner) Pause(on bool) {
	switch {
	case on && !p.paused:
		p.pausedAt = p.now.Monotonic
	case p.paused && !on:
		p.changed = true
		if p.now.Monotonic-p.pausedAt >= longPause {
			p.settlesAt = p.now.Monotonic + settleTime
		}
	}
	p.paused = on
}

// settling reports whether only work of priority 0 is placed.
func (p *Planner) settling() bool { return p.settlesAt > 0 }

// endSettling places the rest once settleTime has passed.
func (p *Planner) endSettling() {
	if p.settling() && p.now.Monotonic >= p.settlesAt {
		p.emit(Event{Kind: "planner_settled", Wait: p.now.Monotonic - p.pausedAt})
		p.settlesAt = 0
		p.changed = true
	}
}
