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
// settings as last read, as the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// sighup receives SIGHUP, which would otherwise end the process.
var sighup = make(chan os.Signal, 1)

// notifySIGHUP starts the delivery of SIGHUP to the channel. The platform's daemons
// call it before anything else, as the signal may come at any time.
func notifySIGHUP() { signal.Notify(sighup, syscall.SIGHUP) }

// reloader applies changes of the settings file to a running process.
type reloader struct {
	// lastRead has the settings as last read, also those that take effect only
	// after a restart.
	lastRead platform.Settings
	log      *slog.Logger
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

// reload reads and applies the settings file. A file without changes is skipped
// unless the reload was requested by SIGHUP. If the file can't be read or is
// invalid, the settings stay as they are.
func (r *reloader) reload(bySIGHUP bool) {
	next, err := platform.LoadSettings()
	if err != nil {
		r.log.Error("settings_kept", "error", err)
		return
	}
	changed := next.Changed(r.lastRead)
	if !bySIGHUP && len(changed) == 0 {
		return
	}
	needRestart := next.NeedRestart(r.lastRead)
	r.log.Info("settings_reloaded", "asked", bySIGHUP, "changed", changed, "needs_restart", needRestart)
	r.lastRead = next
	r.apply(next)
}
