package front

import (
	"sync"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/route"
	"gypsumcrank/io/meter"
)

// Logging of the age of the configuration by which callers are admitted.
const (
	// agePeakInterval is how often the logging of peaks starts anew.
	agePeakInterval = clock.Minute
	// agePeakSteps is the number of peaks that are logged within the maximum age.
	agePeakSteps = 8
	// agePeakFirst is the first of them; a poll without changes takes two.
	agePeakFirst = 3
)

// agePeak is the highest age of the configuration by which a caller was admitted,
// within an interval.
type agePeak struct {
	mu     sync.Mutex
	began  clock.Millis
	logged clock.Millis
}

// rise reports whether age is a step higher than the last one that it reported.
func (p *agePeak) rise(now, age, maxAge clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := max(maxAge/agePeakSteps, 1)
	if p.began == 0 || now-p.began >= agePeakInterval {
		p.began, p.logged = now, (agePeakFirst-1)*step
	}
	if age < p.logged+step {
		return false
	}
	p.logged = age
	return true
}

// RecordAdmitted records for how long the configuration by which a caller was admitted
// may have been out of date. New peaks are logged.
func (f *Front) RecordAdmitted(method, path string, a route.Admission, maxAge clock.Millis) {
	meter.Observe("admitted_config_age", a.Age)
	if f.agePeak.rise(f.Clock.Monotonic(), a.Age, maxAge) {
		f.Log.Info("admitted_by_old_config", "method", clip(method), "path", clip(path), "config_version", a.Version, "config_age", a.Age, "max_age", maxAge)
	}
}
