// Package plan is the planner: a state machine that decides which task runs
// where. It has no input or output of its own. Messages go in, Effects come
// out, and time is what the caller says it is.
//
// A start is recorded before it is ordered, an end is recorded before it is
// acknowledged to the worker, and a task whose run may still be somewhere
// starts nowhere else. So a new planner that reads the records and asks the
// workers knows all that the last one could have done.
package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// Instant is one moment on the two clocks that matter.
type Instant struct {
	Steady clock.Millis // never jumps; measures spans
	Wall   clock.Millis // time of day; may jump; only for due times
}

// Settings are the planner's limits, in milliseconds.
type Settings struct {
	MaxLease         clock.Millis // longest lease that a worker accepts
	StaleGrantWindow clock.Millis // how long a deposed planner may go on extending leases
	Retention        clock.Millis // how long ended jobs are kept
	GangStartTimeout clock.Millis // how long a gang's members may take to start
	MaxStopTime      clock.Millis // longest time that a stop takes
	ReclaimLimit     clock.Millis // within which guaranteed work begins
	CrossRackFactor  float64      // how many times as long work takes on the wrong rack
}

// DefaultSettings suit a worker that takes leases of 6 s.
func DefaultSettings() Settings {
	return Settings{MaxLease: 5500, StaleGrantWindow: 8 * clock.Second, Retention: 180 * clock.Second, GangStartTimeout: 1500, MaxStopTime: 900, ReclaimLimit: 2700, CrossRackFactor: 3}
}

// Planner decides. Set the exported fields before the first Update, and call
// Update from one goroutine only.
type Planner struct {
	Epoch    int64
	Settings Settings

	now        Instant
	started    clock.Millis
	config     *route.Config
	jobs       map[string]*job
	workers    map[task.Life]*worker
	byNode     map[string]*worker
	lives      int                 // how many lives of workers were ever known
	lengths    map[string]*lengths // by queue
	writing    *flight
	seq        int
	yielding   map[*unit]bool // tasks whose end others wait for
	dirty      []*job
	lastUrgent clock.Millis         // when the last job of priority 0 came
	looked     clock.Millis         // when waiting work was last looked at
	totals     map[string]task.Room // room of all workers by service, for one look
	changed    bool                 // something may be placed that could not before
	out        Effects
	paused     bool
}

// Update applies one message and returns what is to be done.
func (p *Planner) Update(now Instant, msg any) Effects {
	p.init(now)
	p.now = now
	p.out = Effects{}
	switch m := msg.(type) {
	case ConfigMsg:
		p.config = m.Config
		p.changed = true
	case JobMsg:
		p.addJob(m)
	case CancelMsg:
		p.cancel(m.ID)
	case LinkMsg:
		p.link(m)
	case ReportMsg:
		p.report(m)
	case ResultMsg:
		p.result(m)
	case WrittenMsg:
		p.written(m)
	case TickMsg:
		p.tick()
	}
	if p.changed && !p.paused && p.config != nil {
		p.changed = false
		p.looked = p.now.Steady
		clear(p.totals)
		p.schedule()
	}
	p.flush()
	return p.out
}

// Pause keeps the planner from starting anything while its lease is in doubt.
func (p *Planner) Pause(on bool) {
	if p.paused && !on {
		p.changed = true
	}
	p.paused = on
}

func (p *Planner) init(now Instant) {
	if p.jobs != nil {
		return
	}
	p.started = now.Steady
	p.jobs = make(map[string]*job)
	p.workers = make(map[task.Life]*worker)
	p.byNode = make(map[string]*worker)
	p.lengths = make(map[string]*lengths)
	p.totals = make(map[string]task.Room)
	p.yielding = make(map[*unit]bool)
}

func (p *Planner) note(n Event) { p.out.Events = append(p.out.Events, n) }

// lookEvery is how often waiting work is looked at again although nothing has
// changed: waits end and rests are over.
const lookEvery = 400 * clock.Millisecond

// tick looks after everything that depends on time alone.
func (p *Planner) tick() {
	for _, w := range p.workers {
		p.checkLease(w)
		p.resend(w)
	}
	p.checkYields()
	for _, j := range p.jobs {
		p.checkDue(j)
		p.collect(j)
	}
	p.checkGangs()
	if p.now.Steady-p.looked >= lookEvery {
		p.leaveStill()
		p.changed = true
	}
}
