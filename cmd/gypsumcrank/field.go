package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/load"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/platform"
)

// Intervals and names of a harness.
const (
	sampleInterval    = 100 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	plannerTimeout    = 15 * time.Second
	loadService       = "load"
)

// harness runs a store, workers, sides and fronts in one process and plays a load
// against them.
type harness struct {
	events          []load.Event
	config          *route.Config
	fronts          []*frontDaemon
	workers         []*plat.Executor
	workerResources []task.Resources
	checker         *plat.Checker
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	mu               sync.Mutex
	startedAt        time.Time
	runTimes         map[string][]clock.Millis // run time of each step, by job
	injectedFailures map[string]int            // how many runs of each task fail, by job
	failedRuns       map[string]int            // injected failures so far, by task
	jobs             map[string]*task.Job      // submitted jobs by ID
	slowWorkers      map[string]load.Event     // last event of kind slow, by worker
	failingWorkers   map[string]load.Event     // last event of kind failing, by worker
	outcomes         map[string]load.Outcome   // by job
	busy             []float64                 // accelerators in use, one value per sample
	waiting          []float64                 // jobs that have not started, one value per sample
	lostWork         float64                   // in core-seconds
}

// startHarness starts everything that the load needs, and waits until every
// front knows the planner.
func startHarness(ctx context.Context, events []load.Event, fronts int) (*harness, error) {
	h := newHarness(events)
	ctx, h.cancel = context.WithCancel(ctx)
	if err := h.start(ctx, fronts); err != nil {
		h.stop()
		return nil, err
	}
	return h, nil
}

func newHarness(events []load.Event) *harness {
	return &harness{
		events: events, config: configOf(events), checker: plat.NewChecker(), runTimes: make(map[string][]clock.Millis), injectedFailures: make(map[string]int), failedRuns: make(map[string]int),
		jobs: make(map[string]*task.Job), slowWorkers: make(map[string]load.Event), failingWorkers: make(map[string]load.Event), outcomes: make(map[string]load.Outcome),
	}
}

func (h *harness) start(ctx context.Context, fronts int) error {
	addr, err := serveLocal(ctx, plat.NewStore())
	if err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	for i := range fronts {
		settings := platform.Settings{Node: fmt.Sprint("front-", i), Store: addr, Hold: 6 * clock.Second, KeepEnded: 2 * clock.Minute, StopTime: 200, Reclaim: 2700, FarFactor: 3}
		if err := freeAddrs(&settings.Front, &settings.Ready, &settings.Link); err != nil {
			return err
		}
		d := newFrontDaemon(settings, "", clientFlags{}, log.With("process", settings.Node))
		d.config.Apply(h.config)
		h.fronts = append(h.fronts, d)
		h.wg.Add(1)
		go h.runFront(ctx, d)
	}
	for _, e := range h.events {
		if e.Kind != load.Workers {
			continue
		}
		for range e.Count {
			if err := h.addWorker(ctx, addr, e, log); err != nil {
				return err
			}
		}
	}
	if len(h.workers) == 0 {
		return fault.New(fault.Invalid, "begin the load with an event of kind workers", "the load has no workers")
	}
	return h.awaitPlanner(ctx)
}

// configOf returns a configuration with the accounts of a load and the service
// that its jobs use.
func configOf(events []load.Event) *route.Config {
	c := &route.Config{Version: 1, Accounts: make(map[string]route.Account), Services: map[string]route.Service{loadService: {Name: loadService}}}
	for _, e := range events {
		if e.Kind == load.Account {
			c.Accounts[e.Name] = route.Account{Name: e.Name, Accelerators: e.Accelerators}
		}
	}
	return c.Prepare()
}

// serveLocal serves h on a free loopback port until ctx is done.
func serveLocal(ctx context.Context, h http.Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &standin{Server: http.Server{Handler: h}}
	go s.run(ln)
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return ln.Addr().String(), nil
}

// standin is the HTTP server of a stand-in for the platform.
type standin struct{ http.Server }

func (s *standin) run(ln net.Listener) {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		fmt.Fprintln(os.Stderr, "stand-in:", err)
	}
}

// freeAddrs sets each of addrs to a loopback address with a free port.
func freeAddrs(addrs ...*string) error {
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*addr = ln.Addr().String()
		if err := ln.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) runFront(ctx context.Context, d *frontDaemon) {
	defer h.wg.Done()
	if err := d.run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "front:", err)
	}
}

// addWorker starts the stand-in for a worker, and its side.
func (h *harness) addWorker(ctx context.Context, store string, e load.Event, log *slog.Logger) error {
	i := len(h.workers)
	name := fmt.Sprintf("worker-%02d", i)
	w := plat.NewExecutor(fmt.Sprint("i-", i), loadService, fmt.Sprint("r", i/e.RackSize), 0)
	w.Checker, w.Resources = h.checker, *e.Resources
	w.RunTimeOf = func(text string) time.Duration { return h.runTime(name, w.Rack, text) }
	w.Fails = func(text string) bool { return h.shouldFail(name, text) }
	w.Checkpoints, w.OnWorkLost = h.hasCheckpoints, h.addLostWork
	h.workers, h.workerResources = append(h.workers, w), append(h.workerResources, *e.Resources)
	app, err := serveLocal(ctx, w)
	if err != nil {
		return err
	}
	settings := platform.Settings{Node: fmt.Sprint("side-", name), Store: store, Worker: app}
	if err := freeAddrs(&settings.Control); err != nil {
		return err
	}
	k, _ := newSide(settings, newHostLimits(clientFlags{}, settings, log), log.With("process", settings.Node))
	h.wg.Add(2)
	go h.runSide(ctx, k)
	go h.runHeartbeats(ctx, w, settings.Control)
	return nil
}

func (h *harness) runSide(ctx context.Context, k *kern.Kernel) {
	defer h.wg.Done()
	if err := k.Run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "side:", err)
	}
}

// runHeartbeats sends the heartbeats of a worker and ends its tasks whose lease
// has expired.
func (h *harness) runHeartbeats(ctx context.Context, w *plat.Executor, control string) {
	defer h.wg.Done()
	for {
		// A side that is still starting misses the heartbeat; the next one
		// follows soon.
		_, _ = w.Heartbeat(control, "ready")
		w.ExpireRuns()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// awaitPlanner waits until a planner is elected and every front knows it.
func (h *harness) awaitPlanner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	for _, d := range h.fronts {
		for addr, _ := d.steer.Planner(); addr == ""; addr, _ = d.steer.Planner() {
			select {
			case <-ctx.Done():
				return fault.New(fault.Busy, "use fewer fronts, or a machine with less load", "not every front knew a planner within %s", plannerTimeout)
			case <-time.After(sampleInterval):
			}
		}
	}
	return nil
}

func (h *harness) stop() {
	h.cancel()
	h.wg.Wait()
}

// runTime returns how long a task takes on a worker now: longer off its data rack
// and on a slow worker. Cross-rack gangs take no longer here.
func (h *harness) runTime(worker, rack, text string) time.Duration {
	name, err := task.ParseName(text)
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[name.Job]
	if err != nil || j == nil {
		return 0
	}
	runTime := h.runTimes[name.Job][name.Step].Duration()
	if r := j.Steps[name.Step].DataRack; r != "" && r != rack {
		runTime *= 3
	}
	if e, ok := h.slowWorkers[worker]; ok && time.Since(h.startedAt) < (e.At+e.Duration).Duration() {
		runTime = time.Duration(float64(runTime) * e.Factor)
	}
	return runTime
}

// shouldFail reports whether a run fails, because its worker is failing or because
// the task has injected failures left, of which it then uses up one.
func (h *harness) shouldFail(worker, text string) bool {
	name, err := task.ParseName(text)
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.failingWorkers[worker]; ok && time.Since(h.startedAt) < (e.At+e.Duration).Duration() {
		return true
	}
	if err != nil || h.failedRuns[text] >= h.injectedFailures[name.Job] {
		return false
	}
	h.failedRuns[text]++
	return true
}

// hasCheckpoints reports whether a task writes checkpoints, so that its work
// survives a stop.
func (h *harness) hasCheckpoints(text string) bool {
	name, err := task.ParseName(text)
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[name.Job]
	return err == nil && j != nil && j.Steps[name.Step].Checkpoints
}

// addLostWork adds a run that ended neither completed nor with a checkpoint to the
// lost work.
func (h *harness) addLostWork(text string, ran time.Duration) {
	name, err := task.ParseName(text)
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[name.Job]; err == nil && j != nil {
		h.lostWork += ran.Seconds() * j.Steps[name.Step].Need.Cores()
	}
}

// play applies the events at their times and takes samples until all jobs have
// ended, for at most wait after the last event.
func (h *harness) play(ctx context.Context, wait time.Duration) {
	h.mu.Lock()
	h.startedAt = time.Now()
	h.mu.Unlock()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	end := h.events[len(h.events)-1].At.Duration() + wait
	for next := 0; time.Since(h.startedAt) < end; {
		for ; next < len(h.events) && h.events[next].At.Duration() <= time.Since(h.startedAt); next++ {
			h.applyEvent(ctx, next)
		}
		if open := h.sample(ctx); open == 0 && next == len(h.events) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// applyEvent applies one event. Submissions and cancellations are spread over the
// fronts.
func (h *harness) applyEvent(ctx context.Context, i int) {
	e := h.events[i]
	d := h.fronts[i%len(h.fronts)]
	switch e.Kind {
	case load.Submit:
		h.mu.Lock()
		j := *e.Job
		h.runTimes[j.ID], h.injectedFailures[j.ID], h.jobs[j.ID], h.outcomes[j.ID] = e.RunTimes, e.FailedRuns, &j, load.Outcome{}
		h.mu.Unlock()
		q := route.Queue{Name: j.Queue, Service: loadService, Priority: j.Priority, Attempts: j.Attempts, Stretch: j.Stretch, Target: j.Target}
		go h.runCall("submit", func() error { return d.ingress.Front.Submit(ctx, q, j.Account, &j) })
	case load.Cancel:
		h.mu.Lock()
		j := h.jobs[e.ID]
		h.mu.Unlock()
		if j == nil {
			return // it was not submitted
		}
		caller := route.Admission{Queue: route.Queue{Name: j.Queue}, Account: j.Account}
		go h.runCall("cancel", func() error { return d.ingress.Front.Cancel(ctx, caller, e.ID) })
	case load.Slow:
		h.mu.Lock()
		h.slowWorkers[e.Name] = e
		h.mu.Unlock()
	case load.Failing:
		h.mu.Lock()
		h.failingWorkers[e.Name] = e
		h.mu.Unlock()
	}
}

func (h *harness) runCall(what string, call func() error) {
	if err := call(); err != nil {
		fmt.Fprintln(os.Stderr, what+":", err)
	}
}

// sample records which jobs have started and ended, and returns how many jobs
// are open.
func (h *harness) sample(ctx context.Context) (open int) {
	now := clock.Millis(time.Since(h.startedAt).Milliseconds())
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting, busy := 0, 0
	for id, o := range h.outcomes {
		if o.Ended > 0 {
			continue
		}
		open++
		if o.Started == 0 && h.checker.Started(id) {
			o.Started = now
		}
		if o.Started == 0 {
			waiting++
		}
		if s, ok := h.fronts[0].ingress.Front.CachedState(id); ok && s.Ended() {
			o.Ended, o.State = now, s
		}
		h.outcomes[id] = o
	}
	for _, w := range h.workers {
		for _, text := range w.Running() {
			if name, err := task.ParseName(text); err == nil && h.jobs[name.Job] != nil {
				busy += h.jobs[name.Job].Steps[name.Step].Need.Accelerators
			}
		}
	}
	h.waiting, h.busy = append(h.waiting, float64(waiting)), append(h.busy, float64(busy))
	return open
}
