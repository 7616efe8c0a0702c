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

// Paces of the conversation with the worker.
const (
	renewEvery   = time.Second
	observeEvery = 250 * time.Millisecond
)

// workerService renews leases, watches the worker's tasks and ticks.
type workerService struct {
	agent  *Agent
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start begins the three rounds.
func (s *workerService) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(3)
	go s.runEvery(ctx, tickEvery, s.tick)
	go s.runEvery(ctx, renewEvery, s.renew)
	go s.runEvery(ctx, observeEvery, s.observe)
	return nil
}

// Stop ends them and hands the tasks over to the agent that comes next.
func (s *workerService) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	s.agent.handOver(ctx)
	return nil
}

func (s *workerService) runEvery(ctx context.Context, every time.Duration, do func(context.Context)) {
	defer s.wg.Done()
	tick := time.NewTicker(every)
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
	s.agent.ask(func(l *ledg.Ledger, now clock.Millis) {
		ids = l.Renewals(now, s.agent.ctl.contact)
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
	var asked clock.Millis
	s.agent.ask(func(l *ledg.Ledger, now clock.Millis) {
		running = len(l.Running())
		url = s.agent.ctl.worker.URL
		asked = now
	})
	if running == 0 {
		return
	}
	tasks, err := s.agent.client.State(ctx, url)
	if err != nil {
		return
	}
	s.agent.loop.Send(observedMsg{asked: asked, tasks: tasks})
}

// handOver leaves the running tasks with a lease long enough for the next
// agent of this host to take them in.
func (a *Agent) handOver(ctx context.Context) {
	var ids []string
	var url string
	a.ask(func(l *ledg.Ledger, now clock.Millis) {
		ids = l.Renewals(now, a.ctl.contact)
		url = a.ctl.worker.URL
	})
	if len(ids) == 0 {
		return
	}
	if err := a.client.Renew(ctx, url, ids, ledg.HandoverLease); err != nil {
		a.Log.Warn("handover_failed", "error", err)
		return
	}
	a.line.Add(event.Event{Kind: "tasks_handed_over", Detail: strings.Join(ids, " ")})
}
