package main

import (
	"bytes"
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/io/front"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/link"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/relay"
	"gypsumcrank/io/side"
	"gypsumcrank/io/steer"
	"gypsumcrank/io/store"
	"gypsumcrank/platform"
)

const (
	// leaveWait is how long a stopping front still takes callers: the balancer
	// asks each second and needs two misses.
	leaveWait = 2300 * time.Millisecond
	// freshFor is how old the last answer of the store may be for a front to
	// be ready; its watch answers each 1.5 s.
	freshFor = 3 * clock.Second
	// holdMargin keeps granted leases under the worker's longest, by a twelfth.
	holdMargin = 12
	// keepMargin is how much longer than promised an ended job is kept.
	keepMargin = clock.Minute
	// memoryShare is the part of the host's memory at which garbage is collected harder.
	memoryShare = 0.5
	// registerLease is how long a dead front's address stays in the store.
	registerLease = 60 * clock.Second
	registerRenew = 20 * time.Second
	// registerRetry is the pause between tries to announce a front.
	registerRetry = 500 * time.Millisecond
)

// limitRuntime fits the Go runtime to a host with a share of one core.
func limitRuntime(memoryMB int) {
	runtime.GOMAXPROCS(1)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryShare * (1 << 20)))
	}
}

// platformFlags are the settings that the platform's file does not have.
type platformFlags struct {
	MetricsListen string `help:"IP and port for metrics as text, at /metrics; none if empty."`
}

type frontCmd struct{ platformFlags }

// Run serves callers, and plans when elected, until SIGTERM.
func (c *frontCmd) Run(log *slog.Logger) error {
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if err := checkAddr("metrics-listen", c.MetricsListen); err != nil {
		return err
	}
	limitRuntime(set.MemoryMB)
	ctx, stop := untilSignal()
	defer stop()
	f := newFrontDaemon(set, log.With("process", set.Node))
	f.metrics = c.MetricsListen
	return f.run(ctx)
}

// frontDaemon is a front with its services.
type frontDaemon struct {
	set     platform.Settings
	log     *slog.Logger
	keeper  store.Keeper
	relay   *relay.Relay
	config  *route.Current
	index   *front.Index
	jobs    *mirror.Mirror
	ops     *mirror.Mirror
	steer   *steer.Steer
	ingress *platform.Ingress
	seeds   atomic.Pointer[[]string] // where other fronts may be, from the settings
	leaving atomic.Bool
	metrics string // where metrics are shown
}

func newFrontDaemon(set platform.Settings, log *slog.Logger) *frontDaemon {
	direct := platform.NewKV(set.Store)
	d := &frontDaemon{set: set, log: log, config: &route.Current{}}
	d.seeds.Store(&set.Peers)
	d.index = &front.Index{Log: log}
	d.relay = &relay.Relay{Direct: direct, Peers: d.peers, Log: log}
	d.keeper = d.relay
	d.jobs = &mirror.Mirror{Prefix: store.Root, Store: d.keeper, Log: log, See: d.index.See}
	d.ops = &mirror.Mirror{Prefix: platform.ConfigRoot, Store: d.keeper, Log: log, See: d.seeConfig}
	d.steer = &steer.Steer{
		Node: set.Node, Addr: set.Link, Store: d.keeper, Mirror: d.jobs, Index: d.index, Config: d.config, Plan: planSettings(set), LeaseMin: set.LeaseMin, Log: log,
		Relay: func(c *link.Conn, first link.Call) { relay.Serve(c, direct, first) },
	}
	d.ingress = &platform.Ingress{Config: d.config, Front: &front.Front{Store: d.keeper, Index: d.index, Out: d.relay.Out, Heard: d.jobs.Heard, Log: log}}
	return d
}

// peers lists the other fronts.
func (d *frontDaemon) peers() []string {
	var out []string
	seeds := *d.seeds.Load()
	for _, a := range append(d.index.Fronts(), seeds...) {
		if a != d.set.Link && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// planSettings fits the planner to the platform's bounds.
func planSettings(set platform.Settings) plan.Settings {
	p := plan.DefaultSettings()
	if set.Hold > 0 {
		p.Hold = set.Hold - set.Hold/holdMargin
	}
	if set.GangWait > 0 {
		p.StartWait = set.GangWait / 2 // a stop of those that came has to be in time too
	}
	p.KeepEnded = set.KeepEnded + keepMargin
	p.StopTime, p.Reclaim, p.FarFactor = set.StopTime, set.Reclaim, set.FarFactor
	return p
}

func (d *frontDaemon) run(ctx context.Context) error {
	d.log.Info("process_start", "role", "front", "front", d.set.Front, "link", d.set.Link)
	k := &kern.Kernel{Log: d.log}
	k.Add("store", d.relay)
	k.Add("jobs", d.jobs)
	k.Add("config", d.ops)
	callers := &httpd.Server{Addr: d.set.Front, Log: d.log, Fallback: d.serve}
	k.Add("callers", callers)
	ready := &httpd.Server{Addr: d.set.Ready, Log: d.log}
	ready.Handle("GET", platform.ReadyPath, d.ready)
	k.Add("ready", ready)
	k.Add("steer", d.steer)
	addMetrics(k, d.metrics, d.log)
	serving, end := context.WithCancel(context.Background())
	defer end()
	go d.runRegister(serving)
	settings := &reloader{current: d.set, log: d.log, apply: func(set platform.Settings) {
		d.seeds.Store(&set.Peers)
		d.steer.Reset(planSettings(set))
	}}
	go settings.run(serving)
	go d.runLeave(ctx, end)
	err := k.Run(serving)
	d.log.Info("process_stop", "error", err)
	return err
}

// runLeave keeps taking callers for a while after the stop was asked for.
func (d *frontDaemon) runLeave(ctx context.Context, end context.CancelFunc) {
	<-ctx.Done()
	d.log.Info("process_leaving")
	d.leaving.Store(true)
	time.Sleep(leaveWait)
	end()
}

// runRegister tells the others where this front is, for as long as it lives.
func (d *frontDaemon) runRegister(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		wait := registerRetry
		if lease == 0 {
			lease = d.register(ctx)
		} else if err := d.keeper.KeepAlive(ctx, lease); fault.Is(err, fault.NotFound) {
			lease = 0
			continue
		}
		if lease != 0 {
			wait = registerRenew
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.Background(), registerRetry)
		defer cancel()
		if err := d.keeper.Revoke(end, lease); err != nil {
			d.log.Info("front_not_deregistered", "error", err)
		}
	}
}

// register writes this front's address under a lease, and returns the lease or
// 0 if it could not.
func (d *frontDaemon) register(ctx context.Context) int64 {
	if d.jobs.Rev() == 0 {
		return 0
	}
	key := store.FrontKey(d.set.Node)
	lease, err := d.keeper.Grant(ctx, registerLease)
	if err != nil {
		d.log.Debug("front_not_registered", "error", err)
		return 0
	}
	old, _ := d.jobs.Get(key)
	res, err := d.keeper.Commit(ctx, store.Txn{
		If:  []store.Condition{{Key: key, Rev: old.Rev}},
		Put: []store.Item{{Key: key, Value: []byte(d.set.Link), Lease: lease}},
	})
	if err != nil || !res.Held {
		d.log.Debug("front_not_registered", "held", res.Held, "error", err)
		return 0
	}
	return lease
}

func (d *frontDaemon) seeConfig(changes []store.Change) {
	for _, ch := range changes {
		if ch.Key != platform.ConfigKey || ch.Deleted {
			continue
		}
		c, err := platform.ReadConfig(ch.Value)
		if err != nil {
			d.log.Error("config_unreadable", "revision", ch.Rev, "error", err)
			continue
		}
		if d.config.Apply(c) {
			d.log.Info("config_applied", "version", c.Version, "revision", ch.Rev, "queues", len(c.Queues), "accounts", len(c.Accounts))
			d.steer.Reconfigure(c)
		}
	}
}

func (d *frontDaemon) serve(ctx context.Context, r *httpd.Request) {
	if d.leaving.Load() {
		r.CloseAfter()
	}
	d.ingress.Serve(ctx, r)
}

func (d *frontDaemon) ready(_ context.Context, r *httpd.Request) {
	now := clock.System().Steady()
	heard := d.jobs.Heard()
	if d.leaving.Load() || d.config.Get() == nil || heard == 0 || now-heard > freshFor {
		r.Text(503, "not ready")
		return
	}
	r.Text(200, "ready")
}

type sideCmd struct{ platformFlags }

// Run serves the endpoint of this host until SIGTERM.
func (c *sideCmd) Run(log *slog.Logger) error {
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	limitRuntime(set.MemoryMB)
	log = log.With("process", set.Node)
	ctx, stop := untilSignal()
	defer stop()
	log.Info("process_start", "role", "side", "control", set.Control, "executor", set.Executor)
	s := &side.Side{Node: set.Node, Fronts: set.Peers, Store: platform.NewKV(set.Store), Worker: platform.NewWorker(set.Executor), Log: log}
	beats := &httpd.Server{Addr: set.Control, Log: log}
	platform.Beats(beats, s)
	settings := &reloader{current: set, log: log, apply: func(set platform.Settings) { s.Learn(set.Peers) }}
	go settings.run(ctx)
	k := &kern.Kernel{Log: log}
	k.Add("side", s)
	k.Add("beats", beats)
	addMetrics(k, c.MetricsListen, log)
	err = k.Run(ctx)
	log.Info("process_stop", "error", err)
	return err
}

// addMetrics shows the process's metrics as text, where an address is given.
func addMetrics(k *kern.Kernel, addr string, log *slog.Logger) {
	if addr == "" {
		return
	}
	srv := &httpd.Server{Addr: addr, Log: log}
	srv.Handle("GET", "/metrics", func(_ context.Context, r *httpd.Request) {
		var b bytes.Buffer
		if err := meter.Write(&b); err != nil {
			r.Problem(err)
			return
		}
		r.Send(200, "text/plain; charset=utf-8", b.Bytes())
	})
	k.Add("metrics", srv)
}
