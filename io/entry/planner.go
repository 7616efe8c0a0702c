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

// Intervals and limits of planning.
const (
	planInterval       = time.Second
	planDebounce       = 20 * time.Millisecond
	leaseTTL           = 4 * clock.Second
	leaseRenewInterval = 1 * time.Second
	// reclaimTimeout is how long cells stay reserved for a job while
	// evicted jobs leave them.
	reclaimTimeout = 20 * clock.Second
	// avoidDuration is how long an agent that refused a reservation is not
	// used.
	avoidDuration = 2 * clock.Second
	// A step, the next action on one job, is retried after a backoff
	// between these if it made no progress.
	minStepBackoff = 100 * clock.Millisecond
	maxStepBackoff = 2 * clock.Second
	// maxPlannedJobs limits the waiting jobs that one round considers.
	maxPlannedJobs = 64
)

// stepBackoff delays the next step of a job whose last one made no progress.
type stepBackoff struct {
	backoff retry.Backoff
	until   clock.Millis
}

// reclaim has the cells that are reserved for a job while evicted jobs leave
// them.
type reclaim struct {
	cells []sched.Allocation
	at    clock.Millis // when they were reserved
}

// planner places jobs while its entry holds the leader lease. Its in-memory
// state may be lost at any time: durable state is in the job records and in the
// agents' ledgers.
type planner struct {
	entry  *Entry
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	epoch       int64        // epoch of the lease that this entry has taken, or 0
	leaseUntil  clock.Millis // end of the lease on the clock of this entry
	roundNumber int
	inProgress  map[string]bool    // jobs with a step in progress
	reclaims    map[string]reclaim // by job
	// pending has the placements that are being committed, by job.
	pending     map[string]sched.Running
	waitReasons map[string]string       // why each job waits, as last logged
	avoidUntil  map[string]clock.Millis // by agent
	backoffs    map[string]*stepBackoff // by job
	// failedAgents has, for each job, the agents on which it has failed.
	failedAgents map[string]map[string]bool
}

func newPlanner(e *Entry) *planner {
	return &planner{
		entry:        e,
		wake:         make(chan struct{}, 1),
		inProgress:   make(map[string]bool),
		reclaims:     make(map[string]reclaim),
		pending:      make(map[string]sched.Running),
		waitReasons:  make(map[string]string),
		avoidUntil:   make(map[string]clock.Millis),
		backoffs:     make(map[string]*stepBackoff),
		failedAgents: make(map[string]map[string]bool),
	}
}

// Start begins to campaign for the leader lease and to plan.
func (p *planner) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Add(2)
	go p.runLease(ctx)
	go p.run(ctx)
	return nil
}

// Stop revokes the lease, so that another entry can plan at once.
func (p *planner) Stop(context.Context) error {
	p.cancel()
	p.wg.Wait()
	return nil
}

// triggerRound starts a planning round before the interval is over.
func (p *planner) triggerRound() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *planner) run(ctx context.Context) {
	defer p.wg.Done()
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.wake:
			sleep(ctx, planDebounce)
		}
		epoch, ok := p.leadership()
		if epoch != 0 {
			p.runRound(ctx, epoch, ok)
		}
	}
}

// putTransition writes the next record of a job and logs the transition.
func (p *planner) putTransition(ctx context.Context, rev int64, rec spec.JobRecord, kind string) bool {
	applied, err := p.entry.putJob(ctx, rev, rec)
	if err != nil || !applied {
		return false
	}
	p.entry.events.Add(event.Event{Kind: kind, Account: rec.Account, Job: rec.ID, Attempt: attemptText(rec), Epoch: rec.Epoch, Detail: rec.Reason})
	return true
}

func attemptText(rec spec.JobRecord) string {
	raw, _ := json.Marshal(rec.Attempt)
	return string(raw)
}

// finish writes the final state of a job.
func (p *planner) finish(ctx context.Context, rev int64, rec spec.JobRecord, trigger life.Trigger, reason string) {
	next, err := life.Jobs.Next(rec.State, trigger)
	if err != nil {
		return
	}
	rec.State = next
	rec.Reason = reason
	rec.EndedAt = p.entry.Clock.Now()
	p.putTransition(ctx, rev, rec, "job_"+string(next))
}
