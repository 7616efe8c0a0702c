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

// settingsLook is how often the settings file is compared with what is in
// force, as it may change without a signal.
const settingsLook = 2 * time.Second

// hups receives SIGHUP, which would end a process that does not wait for it.
var hups = make(chan os.Signal, 1)

// catchHups is called first of all in the platform's daemons, as the signal
// may come at any moment of their life.
func catchHups() { signal.Notify(hups, syscall.SIGHUP) }

// reloader keeps a process's settings up to date.
type reloader struct {
	current platform.Settings
	log     *slog.Logger
	// apply puts into force what can change while the process runs.
	apply func(platform.Settings)
}

// run reads the settings again on SIGHUP, and now and then.
func (r *reloader) run(ctx context.Context) {
	tick := time.NewTicker(settingsLook)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			r.reload(true)
		case <-tick.C:
			r.reload(false)
		}
	}
}

// reload applies the file; a file that can't be used changes nothing.
func (r *reloader) reload(asked bool) {
	next, err := platform.LoadSettings()
	if err != nil {
		r.log.Error("settings_kept", "error", err)
		return
	}
	changed := next.Differs(r.current)
	if !asked && len(changed) == 0 {
		return
	}
	fixed := next.Fixed(r.current)
	r.log.Info("settings_reloaded", "asked", asked, "changed", changed, "needs_restart", fixed)
	r.current = next
	r.apply(next)
}
