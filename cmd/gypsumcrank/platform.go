package main

import (
	"bytes"
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/side"
	"gypsumcrank/platform"
)

const (
	// leaveWait is how long a stopping front still accepts callers: the load
	// balancer probes once per second and removes a front after two failures.
	leaveWait = 2300 * time.Millisecond
	// readyMaxStaleness is the maximum time since the last contact with the store
	// for a front to be ready; the watch of the store responds every 1.5 s.
	readyMaxStaleness = 3 * clock.Second
	// leaseMarginDivisor makes granted leases shorter than the worker's maximum,
	// by a twelfth.
	leaseMarginDivisor = 12
	// retentionMargin is how much longer an ended job is kept than the platform
	// requires.
	retentionMargin = clock.Minute
	// memoryLimitShare is the share of the host's memory that is set as the soft
	// memory limit of the Go runtime; near it, garbage is collected more often.
	memoryLimitShare = 0.5
	// registerLease is how long the address of a crashed front stays in the store.
	registerLease = 60 * clock.Second
	registerRenew = 20 * time.Second
	// registerRetry is the pause between attempts to register a front.
	registerRetry = 500 * time.Millisecond
)

// limitRuntime limits the Go runtime to one core, as hosts provide only a share of
// one, and to memoryLimitShare of the host's memory if its size is known.
func limitRuntime(memoryMB int) {
	runtime.GOMAXPROCS(1)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryLimitShare * (1 << 20)))
	}
}

// platformFlags are flags for settings that the platform's settings file lacks.
type platformFlags struct {
	clientFlags
	MetricsListen string `help:"IP and port where metrics are served as text, at /metrics; none if empty."`
}

func (f platformFlags) check() error {
	if err := checkAddr("metrics-listen", f.MetricsListen); err != nil {
		return err
	}
	return f.clientFlags.check()
}

// Run serves callers until SIGTERM, and is the planner while elected.
func (c *frontCmd) Run(log *slog.Logger) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	if err := checkAddr("announce", c.Announce); err != nil {
		return err
	}
	limitRuntime(settings.MemoryMB)
	ctx, stop := signalContext()
	defer stop()
	d := newFrontDaemon(settings, c.Announce, c.clientFlags, log.With("process", settings.Node))
	d.metricsAddr = c.MetricsListen
	if !c.WorkerSpeeds {
		d.workerSpeeds = false
		d.steer.SetPlanSettings(d.planSettings(settings))
	}
	return d.run(ctx)
}

type sideCmd struct{ platformFlags }

// Run serves the endpoint of this host until SIGTERM.
func (c *sideCmd) Run(log *slog.Logger) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	limitRuntime(settings.MemoryMB)
	log = log.With("process", settings.Node)
	ctx, stop := signalContext()
	defer stop()
	log.Info("process_start", "role", "side", "control", settings.Control, "worker", settings.Worker)
	limits := newHostLimits(c.clientFlags, settings, log)
	k, s := newSide(settings, limits, log)
	settingsReloader := &reloader{lastRead: settings, log: log, apply: func(next platform.Settings) { s.AddFronts(next.Peers) }}
	go settingsReloader.run(ctx)
	addMetrics(k, c.MetricsListen, limits, log)
	err = k.Run(ctx)
	log.Info("process_stop", "error", err)
	return err
}

// newSide creates a side and a kernel with its services.
func newSide(settings platform.Settings, limits hostLimits, log *slog.Logger) (*kern.Kernel, *side.Side) {
	kv := platform.NewKV(settings.Store)
	kv.LimitConnections(limits.storeConnections())
	s := &side.Side{Node: settings.Node, DataCentre: settings.DataCentre, Fronts: settings.Peers, Store: kv, Worker: platform.NewWorker(settings.Worker), Log: log}
	heartbeats := &httpd.Server{Listener: limits.listen(controlListener, settings.Control), Limits: limits.flags.requestLimits(), Log: log}
	platform.ServeHeartbeats(heartbeats, s)
	k := &kern.Kernel{Log: log}
	k.Add("side", s)
	k.Add("beats", heartbeats)
	return k, s
}

// addMetrics serves the process's metrics as text at addr; an empty addr serves
// none.
func addMetrics(k *kern.Kernel, addr string, limits hostLimits, log *slog.Logger) {
	if addr == "" {
		return
	}
	srv := &httpd.Server{Listener: limits.listen(metricsListener, addr), Limits: limits.flags.requestLimits(), Log: log}
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
