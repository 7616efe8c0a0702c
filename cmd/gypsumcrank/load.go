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
	Fronts int           `default:"2" help:"How many fronts serve it."`
	Wait   time.Duration `default:"1m" help:"How long jobs may take after the last event."`
}

// Size of the plot, in characters.
const (
	plotWidth  = 72
	plotHeight = 6
)

// Run plays the load and prints what came of it.
func (c *loadCmd) Run() error {
	in, err := os.Open(c.Load)
	if err != nil {
		return fault.New(fault.Invalid, "name a readable file", "load: %v", err)
	}
	defer in.Close()
	events, err := load.Read(in)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return fault.New(fault.Invalid, "give the load workers and jobs", "%s holds no events", c.Load)
	}
	ctx, stop := untilSignal()
	defer stop()
	f, err := startField(ctx, events, c.Fronts)
	if err != nil {
		return err
	}
	defer f.stop()
	fmt.Printf("%d workers and %d fronts in this process, on loopback; the load takes %s\n", len(f.workers), len(f.fronts), events[len(events)-1].At)
	f.play(ctx, c.Wait)
	return f.show(os.Stdout)
}

// show prints the report and a plot.
func (f *field) show(w io.Writer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := load.Weigh(f.events, f.came)
	r.LostWork = f.lost
	total, samples := 0, 0
	for _, room := range f.rooms {
		total += room.Accelerators
	}
	for i, n := range f.waiting {
		if n > 0 {
			samples++
			r.Stranded += 1 - f.busy[i]/float64(total)
		}
	}
	r.Stranded /= float64(max(1, samples))
	for _, b := range f.judge.Violations() {
		fmt.Fprintln(w, "broken promise:", b)
	}
	if err := r.Write(w); err != nil {
		return err
	}
	for _, p := range []struct {
		caption string
		values  []float64
	}{{fmt.Sprintf("accelerators in use, of %d", total), f.busy}, {"jobs that have not begun", f.waiting}} {
		plot := asciigraph.Plot(p.values, asciigraph.Width(plotWidth), asciigraph.Height(plotHeight), asciigraph.LowerBound(0), asciigraph.Precision(0), asciigraph.Caption(p.caption))
		if _, err := fmt.Fprintln(w, plot); err != nil {
			return err
		}
	}
	return nil
}
