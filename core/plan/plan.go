// Package plan implements the planner: a state machine that decides which task
// runs on which worker. It performs no I/O: messages go in, Effects come out,
// and the caller supplies the time.
//
// A start is recorded before it is ordered, the end of a run is recorded before
// it is acknowledged to the worker, and a task that may still run somewhere is
// started nowhere else. A new planner that reads the records and asks the
// workers therefore knows everything that its predecessor may have done.
package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
	"gypsumcrank/core/route"
	"gypsumcrank/core/speed"
	"gypsumcrank/core/task"
)

// Instant is one moment on the monotonic clock and on the wall clock.
type Instant struct {
	Monotonic clock.Millis // never jumps; measures durations
	Wall      clock.Millis // time of day; may jump; used for due times and retention
}

// Settings are the planner's limits. Durations are in milliseconds.
type Settings struct {
	MaxLease         clock.Millis // longest lease that a worker accepts
	StaleGrantWindow clock.Millis // how long a deposed planner may continue to extend leases
	Retention        clock.Millis // how long ended jobs are kept
	GangStartTimeout clock.Millis // how long the members of a gang may take to start
	MaxStopTime      clock.Millis // longest time that a stop takes
	ReclaimLimit     clock.Millis // time within which guaranteed work must start
	CrossRackFactor  float64      // how many times as long work takes on the wrong rack or across racks
	LearnSpeeds      bool         // the speeds of workers are learned and placement takes them into account
	// CloseDelay is the time after which nothing may start any more in a data centre
	// that was closed; 0 if no data centre is ever closed.
	CloseDelay clock.Millis
}

// DefaultSettings returns settings for workers that accept leases of 6 s.
func DefaultSettings() Settings {
	return Settings{MaxLease: 5500, StaleGrantWindow: 8 * clock.Second, Retention: 180 * clock.Second, GangStartTimeout: 1500, MaxStopTime: 900, ReclaimLimit: 2700, CrossRackFactor: 3, LearnSpeeds: true}
}

// Planner schedules tasks on workers. Set the exported fields before the first
// Update, and call Update from one goroutine only.
type Planner struct {
	Epoch    int64
	Settings Settings

	now            Instant
	started        clock.Millis // when this planner got its first message
	config         *route.Config
	jobs           map[string]*job
	workers        map[task.Incarnation]*worker
	byNode         map[string]*worker        // newest incarnation on each host
	incarnations   int                       // worker incarnations ever seen
	durations      map[string]*durationStats // by queue
	speeds         speed.Model               // by host
	speedKinds     map[string]string         // kind of the worker of each host
	sidesHeard     map[string]bool           // hosts whose side has said what it kept
	speedsJoined   bool                      // workers have joined since speeds were last inferred
	storedAt       clock.Millis              // when speeds were last written
	lastSolved     clock.Millis              // when speeds were last inferred
	inFlight       *inFlightWrite            // nil if none
	seq            int                       // number of the last write
	storeRev       int64                     // highest revision that this planner's writes were stored at
	awaited        map[*unit]bool            // tasks whose end a reservation relies on
	suspects       map[*unit]bool            // tasks that may crash the workers that start them
	trialsIgnored  bool                      // placement is tried as if there were no suspects
	writeQueue     []*job                    // jobs whose records are to be written, the first ones first
	aside          []*job                    // jobs whose records are kept out of writes for now
	partsPolicy    PartsPolicy
	lastStoredAt   clock.Millis // when a write was last known to be stored
	speedsRejected bool         // the store has rejected a write with speeds
	demand         *fair.Ledger // what the accounts use and wait for
	demandAt       clock.Millis // when demand was last updated
	overShareAt    map[accountClass]clock.Millis
	lastJobAt      clock.Millis              // when the last job was added
	lastUrgentAt   clock.Millis              // when the last job of priority 0 was added
	headroom       int                       // accelerators to be kept free for such jobs
	lastScheduled  clock.Millis              // when schedule last ran
	reservations   map[stepKey]*reservation  // of requests that wait for long
	waitLoggedAt   clock.Millis              // when the log last said why a request waits
	totals         map[string]task.Resources // resources of all workers by service, cached for one scheduling round
	changed        bool                      // a placement that failed before may succeed now
	effects        Effects
	closings       closings
	paused         bool                    // no task is placed
	pausedAt       clock.Millis            // when the pause began
	settlesAt      clock.Millis            // until then only work of priority 0 is placed
	goneSince      map[string]clock.Millis // since when services that jobs wait for have had no worker
	leaveCheckedAt clock.Millis            // when tasks on leaving workers were last examined
}

// Update applies one message and returns what the caller must carry out.
func (p *Planner) Update(now Instant, msg any) Effects {
	p.init(now)
	p.now = now
	p.effects = Effects{}
	switch m := msg.(type) {
	case ConfigMsg:
		p.applyConfig(m.Config)
	case JobMsg:
		p.addJob(m)
	case SpeedsMsg:
		p.applySpeeds(m)
	case CancelMsg:
		p.cancel(m.ID)
	case LinkMsg:
		p.setLink(m)
	case ReportMsg:
		p.applyReport(m)
	case ResultMsg:
		p.applyResult(m)
	case WrittenMsg:
		p.applyWritten(m)
	case RejectedMsg:
		p.applyRejected(m)
	case ClosedMsg:
		p.applyClosed(m)
	case TickMsg:
		p.tick()
	}
	if p.changed && !p.paused && p.config != nil && !p.startsHeld() {
		p.changed = false
		p.lastScheduled = p.now.Monotonic
		clear(p.totals)
		p.solveSpeeds()
		p.schedule()
	}
	p.flush()
	return p.effects
}

// applyConfig replaces the configuration unless the planner has a newer one: the
// messages of a new term may arrive out of order.
func (p *Planner) applyConfig(c *route.Config) {
	if p.config != nil && p.config.Version > c.Version {
		return
	}
	p.config = c
	p.changed = true
	p.emit(Event{Kind: "planner_configured", Detail: fmt.Sprintf("version %d", c.Version)})
}

func (p *Planner) init(now Instant) {
	if p.jobs != nil {
		return
	}
	p.started = now.Monotonic
	p.jobs = make(map[string]*job)
	p.workers = make(map[task.Incarnation]*worker)
	p.byNode = make(map[string]*worker)
	p.durations = make(map[string]*durationStats)
	p.speedKinds = make(map[string]string)
	p.sidesHeard = make(map[string]bool)
	p.totals = make(map[string]task.Resources)
	p.awaited = make(map[*unit]bool)
	p.suspects = make(map[*unit]bool)
	p.reservations = make(map[stepKey]*reservation)
	p.overShareAt = make(map[accountClass]clock.Millis)
	p.demand = &fair.Ledger{HalfLife: fair.DefaultHalfLife}
}

func (p *Planner) emit(e Event) { p.effects.Events = append(p.effects.Events, e) }

// rescheduleInterval is how often schedule runs although nothing has changed,
// because time limits of waiting requests pass, and backoffs and quarantines end.
const rescheduleInterval = 400 * clock.Millisecond

// tick handles everything that depends on the passing of time alone.
func (p *Planner) tick() {
	for _, w := range p.workers {
		p.checkLease(w)
		p.resend(w)
		p.settle(w)
		p.notePresence(w)
	}
	p.evictOverdue()
	p.reportHold()
	p.checkClosings()
	p.checkLeaving()
	p.solveSpeeds()
	for _, j := range p.jobs {
		p.addDueOccurrences(j)
		p.removeExpired(j)
	}
	p.checkGangStarts()
	p.retryAside()
	p.endSettling()
	if p.now.Monotonic-p.lastScheduled >= rescheduleInterval {
		p.moveOffStalled()
		p.moveJobs()
		p.changed = true
	}
}
