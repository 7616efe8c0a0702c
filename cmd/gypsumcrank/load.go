package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/guptarohit/asciigraph"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/load"
)

type loadCmd struct {
	Load   string        `arg:"" help:"File with the load, JSON lines, such as core/load/testdata/ordinary.jsonl."`
	Fronts int           `default:"2" help:"Number of fronts."`
	Wait   time.Duration `default:"1m" help:"Maximum time for jobs to end after the last event."`
}

// Size of the plot, in characters.
const (
	plotWidth  = 72
	plotHeight = 6
)

// Run plays the load and prints a report.
func (c *loadCmd) Run() error {
	in, err := os.Open(c.Load)
	if err != nil {
		return fault.New(fault.Invalid, "give the path of a readable file", "load: %v", err)
	}
	defer in.Close()
	events, err := load.Read(in)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return fault.New(fault.Invalid, "add events that define workers and submit jobs", "%s holds no events", c.Load)
	}
	ctx, stop := signalContext()
	defer stop()
	h, err := startHarness(ctx, events, c.Fronts)
	if err != nil {
		return err
	}
	defer h.stop()
	fmt.Printf("%d workers and %d fronts in this process, on loopback; the load takes %s\n", len(h.workers), len(h.fronts), events[len(events)-1].At)
	h.play(ctx, c.Wait)
	return h.writeReport(os.Stdout)
}

// writeReport writes the violations that the checker found, the report, and plots
// of the accelerators in use and of the waiting jobs.
func (h *harness) writeReport(w io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := load.Evaluate(h.events, h.outcomes)
	r.LostWork = h.lostWork
	total, samples := 0, 0
	for _, resources := range h.workerResources {
		total += resources.Accelerators
	}
	for i, n := range h.waiting {
		if n > 0 {
			samples++
			r.Stranded += 1 - h.busy[i]/float64(total)
		}
	}
	r.Stranded /= float64(max(1, samples))
	for _, violation := range h.checker.Violations() {
		fmt.Fprintln(w, "broken promise:", violation)
	}
	if err := r.Write(w); err != nil {
		return err
	}
	for _, p := range []struct {
		caption string
		values  []float64
	}{{fmt.Sprintf("accelerators in use, of %d", total), h.busy}, {"jobs that have not started", h.waiting}} {
		plot := asciigraph.Plot(p.values, asciigraph.Width(plotWidth), asciigraph.Height(plotHeight), asciigraph.LowerBound(0), asciigraph.Precision(0), asciigraph.Caption(p.caption))
		if _, err := fmt.Fprintln(w, plot); err != nil {
			return err
		}
	}
	return nil
}
