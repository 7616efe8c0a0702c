package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/life"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

// Paces and bounds of planning.
const (
	planEvery  = time.Second
	planGap    = 20 * time.Millisecond
	leaseTTL   = 4 * clock.Second
	leaseEvery = 1 * time.Second
	// promiseFor is how long cells stay promised while victims leave.
	promiseFor = 20 * clock.Second
	// avoidFor is how long an agent that refused a reservation is passed over.
	avoidFor = 2 * clock.Second
	// A step that led to nothing is tried again after a wait between these.
	firstSetback = 100 * clock.Millisecond
	mostSetback  = 2 * clock.Second
	// planJobs bounds the waiting jobs that one round looks at.
	planJobs = 64
)

// setback spaces out the tries of a step that changes nothing.
type setback struct {
	backoff retry.Backoff
	until   clock.Millis
}

type promise struct {
	cells []sched.Allocation
	at    clock.Millis
}

// planner takes its turn at planning. Its memory may be lost at any moment:
// what has to last is in the jobs' records and in the agents' ledgers.
type planner struct {
	entry  *Entry
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	epoch    int64
	until    clock.Millis
	turn     int
	busy     map[string]bool
	promises map[string]promise
	// pending are the placements that are being committed.
	pending map[string]sched.Running
	waits   map[string]string
	avoid   map[string]clock.Millis
	// later holds back the next step of a job whose last one led to nothing.
	later  map[string]*setback
	failed map[string]map[string]bool
}

func newPlanner(e *Entry) *planner {
	return &planner{
		entry:    e,
		wake:     make(chan struct{}, 1),
		busy:     make(map[string]bool),
		promises: make(map[string]promise),
		pending:  make(map[string]sched.Running),
		waits:    make(map[string]string),
		avoid:    make(map[string]clock.Millis),
		later:    make(map[string]*setback),
		failed:   make(map[string]map[string]bool),
	}
}

// Start begins to stand for the lease and to plan.
func (p *planner) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Add(2)
	go p.runLease(ctx)
	go p.run(ctx)
	return nil
}

// Stop gives the lease back, so that another entry plans at once.
func (p *planner) Stop(context.Context) error {
	p.cancel()
	p.wg.Wait()
	return nil
}

func (p *planner) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *planner) run(ctx context.Context) {
	defer p.wg.Done()
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.wake:
			pause(ctx, planGap)
		}
		epoch, ok := p.lead()
		if epoch != 0 {
			p.round(ctx, epoch, ok)
		}
	}
}

// putStep writes the next record of a job and logs it.
func (p *planner) putStep(ctx context.Context, rev int64, rec spec.JobRecord, kind string) bool {
	won, err := p.entry.putJob(ctx, rev, rec)
	if err != nil || !won {
		return false
	}
	p.entry.line.Add(event.Event{Kind: kind, Account: rec.Account, Job: rec.ID, Attempt: attemptText(rec), Epoch: rec.Epoch, Detail: rec.Reason})
	return true
}

func attemptText(rec spec.JobRecord) string {
	raw, _ := json.Marshal(rec.Attempt)
	return string(raw)
}

func (p *planner) finish(ctx context.Context, rev int64, rec spec.JobRecord, trigger life.Trigger, reason string) {
	next, err := life.Jobs.Next(rec.State, trigger)
	if err != nil {
		return
	}
	rec.State = next
	rec.Reason = reason
	rec.EndedAt = p.entry.Clock.Now()
	p.putStep(ctx, rev, rec, "job_"+string(next))
}
