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

// settingsPollInterval is how often the settings file is compared with what is in
// force, as it may change without a signal.
const settingsPollInterval = 2 * time.Second

// sighup receives SIGHUP, which would end a process that does not wait for it.
var sighup = make(chan os.Signal, 1)

// notifySIGHUP is called first of all in the platform's daemons, as the signal
// may come at any moment of their life.
func notifySIGHUP() { signal.Notify(sighup, syscall.SIGHUP) }

// reloader keeps a process's settings up to date.
type reloader struct {
	current platform.Settings
	log     *slog.Logger
	// apply puts into force what can change while the process runs.
	apply func(platform.Settings)
}

// run reads the settings again on SIGHUP, and now and then.
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

// reload applies the file; a file that can't be used changes nothing.
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
