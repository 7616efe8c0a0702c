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

// Run serves callers, and plans when elected, until SIGTERM.
func (c *frontCmd) Run(log *slog.Logger) error {
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if err := checkAddr("metrics-listen", c.MetricsListen); err != nil {
		return err
	}
	if err := checkAddr("announce", c.Announce); err != nil {
		return err
	}
	limitRuntime(set.MemoryMB)
	ctx, stop := untilSignal()
	defer stop()
	f := newFrontDaemon(set, c.Announce, log.With("process", set.Node))
	f.metrics = c.MetricsListen
	return f.run(ctx)
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
	log.Info("process_start", "role", "side", "control", set.Control, "worker", set.Worker)
	k, s := newSide(set, log)
	settings := &reloader{current: set, log: log, apply: func(set platform.Settings) { s.Learn(set.Peers) }}
	go settings.run(ctx)
	addMetrics(k, c.MetricsListen, log)
	err = k.Run(ctx)
	log.Info("process_stop", "error", err)
	return err
}

// newSide puts the services of a side together.
func newSide(set platform.Settings, log *slog.Logger) (*kern.Kernel, *side.Side) {
	s := &side.Side{Node: set.Node, Fronts: set.Peers, Store: platform.NewKV(set.Store), Worker: platform.NewWorker(set.Worker), Log: log}
	beats := &httpd.Server{Addr: set.Control, Log: log}
	platform.ServeHeartbeats(beats, s)
	k := &kern.Kernel{Log: log}
	k.Add("side", s)
	k.Add("beats", beats)
	return k, s
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
