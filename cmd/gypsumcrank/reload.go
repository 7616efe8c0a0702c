package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gypsumcrank/platform"
)

// settingsPollInterval is how often the settings file is compared with the
// settings in force, as the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// sighup receives SIGHUP, which would otherwise end the process.
var sighup = make(chan os.Signal, 1)

// notifySIGHUP starts the delivery of SIGHUP to the channel. The platform's daemons
// call it before anything else, as the signal may come at any time.
func notifySIGHUP() { signal.Notify(sighup, syscall.SIGHUP) }

// reloader applies changes of the settings file to a running process.
type reloader struct {
	current platform.Settings
	log     *slog.Logger
	// apply applies the settings that can change while the process runs.
	apply func(platform.Settings)
}

// run reloads the settings on SIGHUP, and checks the file every
// settingsPollInterval.
func (r *reloader) run(ctx context.Context) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			r.reload(true)
		case <-tick.C:
			r.reload(false)
		}
	}
}

// reload reads and applies the settings file. If the file can't be read or is
// invalid, the current settings stay in force.
func (r *reloader) reload(requested bool) {
	next, err := platform.LoadSettings()
	if err != nil {
		r.log.Error("settings_kept", "error", err)
		return
	}
	changed := next.Differs(r.current)
	if !requested && len(changed) == 0 {
		return
	}
	fixed := next.Fixed(r.current)
	r.log.Info("settings_reloaded", "asked", requested, "changed", changed, "needs_restart", fixed)
	r.current = next
	r.apply(next)
}
