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

// Times of a field.
const (
	lookEvery   = 100 * time.Millisecond
	beatEvery   = 300 * time.Millisecond
	fieldReady  = 15 * time.Second
	loadService = "load"
)

// field is a store, workers, sides and fronts in one process, under a load.
type field struct {
	events  []load.Event
	config  *route.Config
	fronts  []*frontDaemon
	workers []*plat.Executor
	rooms   []task.Resources
	judge   *plat.Checker
	cancel  context.CancelFunc
	ended   sync.WaitGroup

	mu      sync.Mutex
	began   time.Time
	takes   map[string][]clock.Millis // by job
	fails   map[string]int            // runs of each task that are to fail, by job
	failed  map[string]int            // runs that did, by task
	jobs    map[string]*task.Job      // that were submitted
	slow    map[string]load.Event     // by worker, while it lasts
	failing map[string]load.Event
	came    map[string]load.Outcome
	busy    []float64 // accelerators in use, sample by sample
	waiting []float64 // jobs that have not begun
	lost    float64   // core-seconds of work that was thrown away
}

// startField brings up all that a load needs, and waits until it is served.
func startField(ctx context.Context, events []load.Event, fronts int) (*field, error) {
	f := newField(events)
	ctx, f.cancel = context.WithCancel(ctx)
	if err := f.start(ctx, fronts); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func newField(events []load.Event) *field {
	return &field{
		events: events, config: configOf(events), judge: plat.NewChecker(), takes: make(map[string][]clock.Millis), fails: make(map[string]int), failed: make(map[string]int),
		jobs: make(map[string]*task.Job), slow: make(map[string]load.Event), failing: make(map[string]load.Event), came: make(map[string]load.Outcome),
	}
}

func (f *field) start(ctx context.Context, fronts int) error {
	addr, err := serveLocal(ctx, plat.NewStore())
	if err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	for i := range fronts {
		set := platform.Settings{Node: fmt.Sprint("front-", i), Store: addr, Hold: 6 * clock.Second, KeepEnded: 2 * clock.Minute, StopTime: 200, Reclaim: 2700, FarFactor: 3}
		if err := freeAddrs(&set.Front, &set.Ready, &set.Link); err != nil {
			return err
		}
		d := newFrontDaemon(set, "", log.With("process", set.Node))
		d.config.Apply(f.config)
		f.fronts = append(f.fronts, d)
		f.ended.Add(1)
		go f.runFront(ctx, d)
	}
	for _, e := range f.events {
		if e.Kind != load.Workers {
			continue
		}
		for range e.Count {
			if err := f.addWorker(ctx, addr, e, log); err != nil {
				return err
			}
		}
	}
	if len(f.workers) == 0 {
		return fault.New(fault.Invalid, "begin the load with an event of kind workers", "the load has no workers")
	}
	return f.awaitPlanner(ctx)
}

// configOf makes the configuration that a load's jobs ask for.
func configOf(events []load.Event) *route.Config {
	c := &route.Config{Version: 1, Accounts: make(map[string]route.Account), Services: map[string]route.Service{loadService: {Name: loadService}}}
	for _, e := range events {
		if e.Kind == load.Account {
			c.Accounts[e.Name] = route.Account{Name: e.Name, Accelerators: e.Accelerators}
		}
	}
	return c.Prepare()
}

// serveLocal serves h on a free port of loopback until ctx ends.
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

// standin serves a stand-in of the platform.
type standin struct{ http.Server }

func (s *standin) run(ln net.Listener) {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		fmt.Fprintln(os.Stderr, "stand-in:", err)
	}
}

// freeAddrs finds free ports of loopback.
func freeAddrs(into ...*string) error {
	for _, at := range into {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*at = ln.Addr().String()
		if err := ln.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (f *field) runFront(ctx context.Context, d *frontDaemon) {
	defer f.ended.Done()
	if err := d.run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "front:", err)
	}
}

// addWorker starts a worker's stand-in and the side beside it.
func (f *field) addWorker(ctx context.Context, store string, e load.Event, log *slog.Logger) error {
	i := len(f.workers)
	name := fmt.Sprintf("worker-%02d", i)
	w := plat.NewExecutor(fmt.Sprint("i-", i), loadService, fmt.Sprint("r", i/e.RackSize), 0)
	w.Checker, w.Resources = f.judge, *e.Room
	w.RunTimeOf = func(text string) time.Duration { return f.length(name, w.Rack, text) }
	w.Fails = func(text string) bool { return f.spoils(name, text) }
	w.Checkpoints, w.OnWorkLost = f.saves, f.lose
	f.workers, f.rooms = append(f.workers, w), append(f.rooms, *e.Room)
	app, err := serveLocal(ctx, w)
	if err != nil {
		return err
	}
	set := platform.Settings{Node: fmt.Sprint("side-", name), Store: store, Worker: app}
	if err := freeAddrs(&set.Control); err != nil {
		return err
	}
	k, _ := newSide(set, log.With("process", set.Node))
	f.ended.Add(2)
	go f.runSide(ctx, k)
	go f.runBeats(ctx, w, set.Control)
	return nil
}

func (f *field) runSide(ctx context.Context, k *kern.Kernel) {
	defer f.ended.Done()
	if err := k.Run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "side:", err)
	}
}

// runBeats lets a worker send heartbeats and drop what has lost its lease.
func (f *field) runBeats(ctx context.Context, w *plat.Executor, control string) {
	defer f.ended.Done()
	for {
		// A side that is just starting takes no heartbeat; the next one comes soon.
		_, _ = w.Heartbeat(control, "ready")
		w.ExpireRuns()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}
	}
}

// awaitPlanner waits until a front plans and every front knows it.
func (f *field) awaitPlanner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fieldReady)
	defer cancel()
	for _, d := range f.fronts {
		for addr, _ := d.steer.Planner(); addr == ""; addr, _ = d.steer.Planner() {
			select {
			case <-ctx.Done():
				return fault.New(fault.Busy, "use fewer fronts, or a machine with less to do", "no front began to plan within %s", fieldReady)
			case <-time.After(lookEvery):
			}
		}
	}
	return nil
}

func (f *field) stop() {
	f.cancel()
	f.ended.Wait()
}

// length is how long a task takes on a worker now. Gangs that run over several
// racks take no longer here.
func (f *field) length(worker, rack, text string) time.Duration {
	name, err := task.ParseName(text)
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[name.Job]
	if err != nil || j == nil {
		return 0
	}
	takes := f.takes[name.Job][name.Step].Duration()
	if r := j.Steps[name.Step].DataRack; r != "" && r != rack {
		takes *= 3
	}
	if e, ok := f.slow[worker]; ok && time.Since(f.began) < (e.At+e.For).Duration() {
		takes = time.Duration(float64(takes) * e.Factor)
	}
	return takes
}

// spoils tells whether a run fails: by its own fault, or by its worker's.
func (f *field) spoils(worker, text string) bool {
	name, err := task.ParseName(text)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.failing[worker]; ok && time.Since(f.began) < (e.At+e.For).Duration() {
		return true
	}
	if err != nil || f.failed[text] >= f.fails[name.Job] {
		return false
	}
	f.failed[text]++
	return true
}

// saves tells whether a task's checkpoints keep its work.
func (f *field) saves(text string) bool {
	name, err := task.ParseName(text)
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[name.Job]
	return err == nil && j != nil && j.Steps[name.Step].Checkpoints
}

// lose adds up work that is thrown away.
func (f *field) lose(text string, ran time.Duration) {
	name, err := task.ParseName(text)
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[name.Job]; err == nil && j != nil {
		f.lost += ran.Seconds() * j.Steps[name.Step].Need.Cores()
	}
}

// play lets the events happen in time, and looks on until all jobs have ended.
func (f *field) play(ctx context.Context, wait time.Duration) {
	f.mu.Lock()
	f.began = time.Now()
	f.mu.Unlock()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	end := f.events[len(f.events)-1].At.Duration() + wait
	for next := 0; time.Since(f.began) < end; {
		for ; next < len(f.events) && f.events[next].At.Duration() <= time.Since(f.began); next++ {
			f.happen(ctx, next)
		}
		if open := f.look(ctx); open == 0 && next == len(f.events) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// happen lets one event happen; callers spread over the fronts.
func (f *field) happen(ctx context.Context, i int) {
	e := f.events[i]
	d := f.fronts[i%len(f.fronts)]
	switch e.Kind {
	case load.Submit:
		f.mu.Lock()
		j := *e.Job
		f.takes[j.ID], f.fails[j.ID], f.jobs[j.ID], f.came[j.ID] = e.Takes, e.Fails, &j, load.Outcome{}
		f.mu.Unlock()
		q := route.Queue{Name: j.Queue, Service: loadService, Priority: j.Priority, Attempts: j.Attempts, Stretch: j.Stretch, Target: j.Target}
		go f.runCall("submit", func() error { return d.ingress.Front.Submit(ctx, q, j.Account, &j) })
	case load.Cancel:
		go f.runCall("cancel", func() error { return d.ingress.Front.Cancel(ctx, e.ID) })
	case load.Slow:
		f.mu.Lock()
		f.slow[e.Name] = e
		f.mu.Unlock()
	case load.Failing:
		f.mu.Lock()
		f.failing[e.Name] = e
		f.mu.Unlock()
	}
}

func (f *field) runCall(what string, call func() error) {
	if err := call(); err != nil {
		fmt.Fprintln(os.Stderr, what+":", err)
	}
}

// look notes what has begun and ended, and returns how many jobs are open.
func (f *field) look(ctx context.Context) (open int) {
	now := clock.Millis(time.Since(f.began).Milliseconds())
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting, busy := 0, 0
	for id, o := range f.came {
		if o.Ended > 0 {
			continue
		}
		open++
		if o.Begun == 0 && f.judge.Started(id) {
			o.Begun = now
		}
		if o.Begun == 0 {
			waiting++
		}
		if s, ok := f.fronts[0].ingress.Front.CachedState(id); ok && s.Ended() {
			o.Ended, o.State = now, s
		}
		f.came[id] = o
	}
	for _, w := range f.workers {
		for _, text := range w.Running() {
			if name, err := task.ParseName(text); err == nil && f.jobs[name.Job] != nil {
				busy += f.jobs[name.Job].Steps[name.Step].Need.Accelerators
			}
		}
	}
	f.waiting, f.busy = append(f.waiting, float64(waiting)), append(f.busy, float64(busy))
	return open
}
