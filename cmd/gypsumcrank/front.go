package main

import (
	"context"
	"log/slog"
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
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/relay"
	"gypsumcrank/io/steer"
	"gypsumcrank/io/store"
	"gypsumcrank/platform"
)

type frontCmd struct {
	platformFlags
	Announce string `env:"GYPSUMCRANK_ANNOUNCE" help:"Address at which other processes reach this front, if not where it listens: IP:PORT."`
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
	self    string // where other processes reach this front
}

func newFrontDaemon(set platform.Settings, announce string, log *slog.Logger) *frontDaemon {
	direct := platform.NewKV(set.Store)
	d := &frontDaemon{set: set, log: log, config: &route.Current{}, self: announce}
	if d.self == "" {
		d.self = set.Link
	}
	d.seeds.Store(&set.Peers)
	d.index = &front.Index{Log: log}
	d.relay = &relay.Relay{Direct: direct, Peers: d.peers, Log: log}
	d.keeper = d.relay
	d.jobs = &mirror.Mirror{Prefix: store.Root, Store: d.keeper, Log: log, See: d.index.See}
	d.ops = &mirror.Mirror{Prefix: platform.ConfigRoot, Store: d.keeper, Log: log, See: d.seeConfig}
	d.steer = &steer.Steer{
		Node: set.Node, Addr: set.Link, Announce: d.self, Store: d.keeper, Mirror: d.jobs, Index: d.index, Config: d.config, Plan: planSettings(set), LeaseMin: set.LeaseMin, Log: log,
		Relay: func(c *link.Conn, first link.Frame) { relay.Serve(c, direct, d.jobs.Nudge, first) },
		Ended: d.tellAll,
	}
	d.ingress = &platform.Ingress{Config: d.config, Front: &front.Front{
		Store: d.keeper, Index: d.index, Out: d.relay.Out, Heard: d.jobs.Heard, Tell: d.tellPlanner, Log: log,
	}}
	return d
}

// tellPlanner passes on news to the front that plans.
func (d *frontDaemon) tellPlanner(rev int64) {
	d.jobs.Nudge(rev)
	if addr, _ := d.steer.Planner(); addr != "" && addr != d.self {
		d.relay.Tell(addr, rev)
	}
}

// tellAll passes on news to all fronts.
func (d *frontDaemon) tellAll(rev int64) {
	d.jobs.Nudge(rev)
	for _, addr := range d.index.Fronts() {
		if addr != d.self {
			d.relay.Tell(addr, rev)
		}
	}
}

// peers lists the other fronts.
func (d *frontDaemon) peers() []string {
	var out []string
	seeds := *d.seeds.Load()
	for _, a := range append(d.index.Fronts(), seeds...) {
		if a != d.self && !slices.Contains(out, a) {
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
	d.log.Info("process_start", "role", "front", "front", d.set.Front, "link", d.set.Link, "announced", d.self)
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
	wait := leaveWait
	if d.set.Grace > 0 {
		wait = min(wait, (d.set.Grace / 2).Duration())
	}
	time.Sleep(wait)
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
		Put: []store.Item{{Key: key, Value: []byte(d.self), Lease: lease}},
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
	now := clock.System().Monotonic()
	heard := d.jobs.Heard()
	if d.leaving.Load() || d.config.Get() == nil || heard == 0 || now-heard > freshFor {
		r.Text(503, "not ready")
		return
	}
	r.Text(200, "ready")
}
