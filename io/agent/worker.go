package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/ledg"
)

// Intervals of the calls to the worker.
const (
	renewInterval   = time.Second
	observeInterval = 250 * time.Millisecond
)

// workerService renews task leases, observes the worker's tasks, and sends
// ticks to control.
type workerService struct {
	agent  *Agent
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts the three periodic loops.
func (s *workerService) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(3)
	go s.runEvery(ctx, tickInterval, s.tick)
	go s.runEvery(ctx, renewInterval, s.renew)
	go s.runEvery(ctx, observeInterval, s.observe)
	return nil
}

// Stop stops the loops and hands the tasks over to the next incarnation of the
// agent.
func (s *workerService) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	s.agent.handOver(ctx)
	return nil
}

func (s *workerService) runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
	defer s.wg.Done()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do(ctx)
		}
	}
}

func (s *workerService) tick(context.Context) { s.agent.loop.Send(tickMsg{}) }

func (s *workerService) renew(ctx context.Context) {
	var ids []string
	var url string
	s.agent.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		ids = l.Renewals(now, s.agent.ctl.lastContact)
		url = s.agent.ctl.worker.URL
	})
	if len(ids) == 0 {
		return
	}
	if err := s.agent.client.Renew(ctx, url, ids, ledg.TaskLease); err != nil && ctx.Err() == nil {
		s.agent.Log.Warn("renewal_failed", "error", err)
	}
}

func (s *workerService) observe(ctx context.Context) {
	var url string
	running := 0
	var askedAt clock.Millis
	s.agent.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		running = len(l.Running())
		url = s.agent.ctl.worker.URL
		askedAt = now
	})
	if running == 0 {
		return
	}
	tasks, err := s.agent.client.State(ctx, url)
	if err != nil {
		return
	}
	s.agent.loop.Send(observedMsg{askedAt: askedAt, tasks: tasks})
}

// handOver gives the running tasks a lease that is long enough for the next
// agent on this host to adopt them.
func (a *Agent) handOver(ctx context.Context) {
	var ids []string
	var url string
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		ids = l.Renewals(now, a.ctl.lastContact)
		url = a.ctl.worker.URL
	})
	if len(ids) == 0 {
		return
	}
	if err := a.client.Renew(ctx, url, ids, ledg.HandoverLease); err != nil {
		a.Log.Warn("handover_failed", "error", err)
		return
	}
	a.events.Add(event.Event{Kind: "tasks_handed_over", Detail: strings.Join(ids, " ")})
}
