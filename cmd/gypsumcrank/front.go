package main

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/centre"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
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
	Announce     string `env:"GYPSUMCRANK_ANNOUNCE" help:"IP and port that other processes connect to, if they differ from those where this front listens."`
	WorkerSpeeds bool   `env:"GYPSUMCRANK_WORKER_SPEEDS" default:"true" negatable:"" help:"Learn how fast workers are, and place work by it."`
}

// frontDaemon is the process of a front, with all its services.
type frontDaemon struct {
	settings     platform.Settings
	log          *slog.Logger
	store        store.TxnStore
	relay        *relay.Relay
	config       *route.Current
	closed       *centre.Current
	index        *front.Index
	jobMirror    *mirror.Mirror
	configMirror *mirror.Mirror
	steer        *steer.Coordinator
	ingress      *platform.Ingress
	seeds        atomic.Pointer[[]string] // addresses of possible other fronts, from the settings
	stretch      atomic.Int64             // ConfigStretch of the settings
	desk         admit.Desk               // decides with the planner's forecast
	leaving      atomic.Bool
	metricsAddr  string // address where metrics are served; none if empty
	workerSpeeds bool   // placement takes the speeds of workers into account
	announced    string // address at which other processes reach this front
	limits       hostLimits
}

func newFrontDaemon(settings platform.Settings, announce string, clients clientFlags, log *slog.Logger) *frontDaemon {
	direct := platform.NewKV(settings.Store)
	d := &frontDaemon{settings: settings, log: log, config: &route.Current{}, closed: &centre.Current{}, announced: announce, limits: newHostLimits(clients, settings, log), workerSpeeds: true}
	direct.LimitConnections(d.limits.storeConnections())
	if d.announced == "" {
		d.announced = settings.Link
	}
	d.seeds.Store(&settings.Peers)
	d.stretch.Store(int64(settings.ConfigStretch))
	d.index = &front.Index{Log: log}
	d.relay = &relay.Relay{Direct: direct, Peers: d.peers, Bulk: store.Root, Log: log}
	d.store = d.relay
	d.jobMirror = &mirror.Mirror{Prefix: store.Root, Store: d.store, Log: log, OnChange: d.index.Apply}
	d.configMirror = &mirror.Mirror{Prefix: platform.ConfigRoot, Store: d.store, Log: log, OnChange: d.applyOperatorChanges, MaxDelay: settings.OperatorDelay()}
	d.config.Freshness, d.closed.ConfirmedAt = d.configMirror.Freshness, d.configMirror.ConfirmedAt
	d.config.Stretch = d.configStretch
	calls := &relay.Server{Call: d.relay.CallForPeer, MaxPeerCalls: clients.MaxPeerCalls, OnWrite: d.jobMirror.ExpectRevision, OnForecast: d.takeForecast}
	d.steer = &steer.Coordinator{
		Node: settings.Node, Announce: d.announced, Store: d.store, Mirror: d.jobMirror, Index: d.index, Config: d.config, Closed: d.closed, Plan: d.planSettings(settings), LeaseMin: settings.LeaseMin, Log: log,
		ServePeer:  calls.Serve,
		OnJobEnd:   d.notifyFronts,
		Listener:   d.limits.listen(linkListener, settings.Link),
		OnForecast: d.publishForecast,
	}
	d.ingress = &platform.Ingress{Config: d.config, Front: &front.Front{
		Store: d.store, Index: d.index, AwaitStore: d.relay.Await, LastContact: d.jobMirror.LastContact, OnWrite: d.notifyPlanner, Admit: d.admit, Log: log,
	}}
	return d
}

// notifyPlanner tells this front's mirror, and the front that plans, that revision
// rev was written.
func (d *frontDaemon) notifyPlanner(rev int64) {
	d.jobMirror.ExpectRevision(rev)
	if addr, _ := d.steer.Planner(); addr != "" && addr != d.announced {
		d.relay.Notify(addr, rev)
	}
}

// notifyFronts tells this front's mirror, and all other fronts, that revision rev
// was written.
func (d *frontDaemon) notifyFronts(rev int64) {
	d.jobMirror.ExpectRevision(rev)
	for _, addr := range d.index.Fronts() {
		if addr != d.announced {
			d.relay.Notify(addr, rev)
		}
	}
}

// publishForecast passes a forecast of this front's planner to all fronts.
func (d *frontDaemon) publishForecast(f *admit.Forecast) {
	d.takeForecast(f)
	for _, addr := range d.index.Fronts() {
		if addr != d.announced {
			d.relay.Send(addr, link.Frame{Forecast: f})
		}
	}
}

// takeForecast takes a forecast that arrives now.
func (d *frontDaemon) takeForecast(f *admit.Forecast) {
	d.desk.Update(f, clock.System().Monotonic(), clock.System().Now())
}

// admit decides about a job with the newest forecast.
func (d *frontDaemon) admit(j *task.Job) (admit.Reason, clock.Millis) {
	_, epoch := d.steer.Planner()
	return d.desk.Decide(j, epoch, clock.System().Monotonic())
}

// configStretch returns for how much longer than usual callers are admitted by a
// configuration that can't be confirmed.
func (d *frontDaemon) configStretch() clock.Millis {
	if !d.relay.Refused() {
		return 0
	}
	return clock.Millis(d.stretch.Load())
}

// peers returns the addresses of the other fronts.
func (d *frontDaemon) peers() []string {
	var out []string
	seeds := *d.seeds.Load()
	for _, a := range append(d.index.Fronts(), seeds...) {
		if a != d.announced && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// planSettings derives the planner's settings from the platform's bounds.
func (d *frontDaemon) planSettings(bounds platform.Settings) plan.Settings {
	p := plan.DefaultSettings()
	p.LearnSpeeds = d.workerSpeeds
	if bounds.Hold > 0 {
		p.MaxLease = bounds.Hold - bounds.Hold/leaseMarginDivisor
	}
	if bounds.GangWait > 0 {
		p.GangStartTimeout = bounds.GangWait / 2 // the other half is left to stop the members that started
	}
	p.Retention = bounds.KeepEnded + retentionMargin
	p.MaxStopTime, p.ReclaimLimit, p.CrossRackFactor = bounds.StopTime, bounds.Reclaim, bounds.FarFactor
	p.CloseDelay = bounds.CloseDelay
	return p
}

func (d *frontDaemon) run(ctx context.Context) error {
	d.log.Info("process_start", "role", "front", "front", d.settings.Front, "link", d.settings.Link, "announced", d.announced)
	k := &kern.Kernel{Log: d.log}
	k.Add("store", d.relay)
	k.Add("jobs", d.jobMirror)
	k.Add("config", d.configMirror)
	callers := &httpd.Server{Listener: d.limits.listen(callerListener, d.settings.Front), Limits: d.limits.flags.requestLimits(), Log: d.log, Fallback: d.serve}
	k.Add("callers", callers)
	ready := &httpd.Server{Listener: d.limits.listen(readyListener, d.settings.Ready), Limits: d.limits.flags.requestLimits(), Log: d.log}
	ready.Handle("GET", platform.ReadyPath, d.ready)
	k.Add("ready", ready)
	k.Add("steer", d.steer)
	addMetrics(k, d.metricsAddr, d.limits, d.log)
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go d.runRegistration(serving)
	settingsReloader := &reloader{lastRead: d.settings, log: d.log, apply: func(settings platform.Settings) {
		d.seeds.Store(&settings.Peers)
		d.stretch.Store(int64(settings.ConfigStretch))
		d.steer.SetPlanSettings(d.planSettings(settings))
		d.configMirror.SetMaxDelay(settings.OperatorDelay())
	}}
	go settingsReloader.run(serving)
	go d.runShutdown(ctx, stop)
	err := k.Run(serving)
	d.log.Info("process_stop", "error", err)
	return err
}

// runShutdown waits until ctx is done, keeps serving callers for leaveWait, or half
// of the grace period if that is shorter, and then calls stop.
func (d *frontDaemon) runShutdown(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()
	d.log.Info("process_leaving")
	d.leaving.Store(true)
	wait := leaveWait
	if d.settings.Grace > 0 {
		wait = min(wait, (d.settings.Grace / 2).Duration())
	}
	time.Sleep(wait)
	stop()
}

// runRegistration keeps this front's address registered in the store until ctx is
// done, and then revokes the registration.
func (d *frontDaemon) runRegistration(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		wait := registerRetry
		if lease == 0 {
			lease = d.register(ctx)
		} else if err := d.store.KeepAlive(ctx, lease); fault.Is(err, fault.NotFound) {
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
		revokeCtx, cancel := context.WithTimeout(context.Background(), registerRetry)
		defer cancel()
		if err := d.store.Revoke(revokeCtx, lease); err != nil {
			d.log.Info("front_not_deregistered", "error", err)
		}
	}
}

// register writes this front's address to the store under a new lease. It returns
// the lease, or 0 if the address could not be written.
func (d *frontDaemon) register(ctx context.Context) int64 {
	if d.jobMirror.Rev() == 0 {
		return 0
	}
	key, format := store.FrontKey(d.settings.Node), store.FormatKey(d.settings.Node)
	lease, err := d.store.Grant(ctx, registerLease)
	if err != nil {
		d.log.Debug("front_not_registered", "error", err)
		return 0
	}
	old, _ := d.jobMirror.Get(key)
	oldFormat, _ := d.jobMirror.Get(format)
	res, err := d.store.Commit(ctx, store.Txn{
		If: []store.Condition{{Key: key, Rev: old.Rev}, {Key: format, Rev: oldFormat.Rev}},
		Put: []store.Item{
			{Key: key, Value: []byte(d.announced), Lease: lease},
			{Key: format, Value: strconv.AppendInt(nil, store.RecordFormat, 10), Lease: lease},
		},
	})
	if err != nil || !res.Committed {
		level := slog.LevelDebug
		if fault.Is(err, fault.Rejected) {
			level = slog.LevelWarn
		}
		d.log.Log(ctx, level, "front_not_registered", "held", res.Committed, "error", err)
		return 0
	}
	return lease
}

// applyOperatorChanges applies what the operator wrote. Closed data centres come
// first: the planner places nothing before it has a configuration.
func (d *frontDaemon) applyOperatorChanges(changes []store.Change) {
	var closings []centre.Change
	for _, ch := range changes {
		if c, ok := platform.ReadClosing(ch); ok {
			closings = append(closings, c)
		}
	}
	if d.closed.Apply(closings...) {
		d.log.Info("closed_data_centres_changed", "closed", strings.Join(d.closed.Get().Names(), ","), "revision", d.closed.Get().Rev())
	}
	d.applyConfig(changes)
}

func (d *frontDaemon) applyConfig(changes []store.Change) {
	for _, ch := range changes {
		if ch.Key != platform.ConfigKey || ch.Deleted {
			continue
		}
		c, err := platform.ReadConfig(ch.Value)
		if err != nil {
			d.config.MarkUnreadable()
			d.log.Error("config_unreadable", "revision", ch.Rev, "error", err)
			continue
		}
		age := d.config.Age()
		if d.config.Apply(c) {
			d.log.Info("config_applied", "version", c.Version, "revision", ch.Rev, "config_age", age, "queues", len(c.Queues), "accounts", len(c.Accounts))
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
	lastContact := d.jobMirror.LastContact()
	if d.leaving.Load() || !d.config.Fresh() || lastContact == 0 || now-lastContact > readyMaxStaleness {
		r.Text(503, "not ready")
		return
	}
	r.Text(200, "ready")
}
