package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Outcome is the outcome of one job. Times count from the start of the load; 0
// means never.
type Outcome struct {
	Started clock.Millis
	Ended   clock.Millis
	State   task.State
}

// Report is what the jobs of a load were worth to their callers.
type Report struct {
	All    Group
	Queues []Group // by name
	// LostWork is the work that was started and then lost, in core-seconds.
	LostWork float64
	// Stranded is the mean share of accelerators that were free while jobs
	// waited.
	Stranded float64
}

// Group is the result of the jobs of one queue.
type Group struct {
	Name                string
	Jobs                int // without cancelled ones
	InTime, Late, Never int // Never: failed though feasible, ended too late for any worth, or not ended
	MaxWorth, Earned    float64
	Start, Complete     Quantiles
}

// Share returns the earned share of MaxWorth, or 1 if MaxWorth is 0.
func (g Group) Share() float64 {
	if g.MaxWorth == 0 {
		return 1
	}
	return g.Earned / g.MaxWorth
}

// Quantiles are the quantiles of a duration.
type Quantiles struct{ P50, P95 clock.Millis }

func quantiles(all []clock.Millis) Quantiles {
	if len(all) == 0 {
		return Quantiles{}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	at := func(q float64) clock.Millis { return all[min(len(all)-1, int(q*float64(len(all))))] }
	return Quantiles{P50: at(0.50), P95: at(0.95)}
}

// Weights of a job's worth within its queue.
const (
	// fixedShare is the part of a job's worth that does not depend on its size.
	fixedShare = 0.3
	// maxWeight limits the weight of a large job.
	maxWeight = 4
)

// Evaluate returns what the jobs of a load were worth, given their outcomes by
// job ID.
func Evaluate(events []Event, outcomes map[string]Outcome) Report {
	w := evaluator{queues: make(map[string]*queue), cancelled: make(map[string]bool)}
	for _, e := range events {
		switch e.Kind {
		case Workers:
			for range e.Count {
				w.total = w.total.Plus(*e.Resources)
			}
		case Queue:
			w.queue(e.Name).worth, w.queue(e.Name).lateWorth = e.Worth, e.LateWorth
		case Submit:
			q := w.queue(e.Job.Queue)
			q.jobs = append(q.jobs, e)
			q.work += e.work()
		case Cancel:
			w.cancelled[e.ID] = true
		}
	}
	return w.report(outcomes)
}

type evaluator struct {
	total     task.Resources
	queues    map[string]*queue
	cancelled map[string]bool
}

type queue struct {
	worth, lateWorth float64
	work             float64
	jobs             []Event
}

func (w *evaluator) queue(name string) *queue {
	q := w.queues[name]
	if q == nil {
		q = &queue{worth: 1}
		w.queues[name] = q
	}
	return q
}

// work returns the job's work in core-milliseconds.
func (e *Event) work() float64 {
	sum := 0.0
	for i, s := range e.Job.Steps {
		sum += float64(s.Count) * s.Need.Cores() * float64(e.RunTimes[i])
	}
	return sum
}

// objective returns the time within which the job should end, failed runs
// included.
func (e *Event) objective(total task.Resources) clock.Millis {
	criticalPath := e.Job.CriticalPath(total, func(step int) clock.Millis { return e.RunTimes[step] * clock.Millis(1+e.FailedRuns) })
	return e.Job.Objective(criticalPath)
}

func (w *evaluator) report(outcomes map[string]Outcome) Report {
	var out Report
	names := make([]string, 0, len(w.queues))
	for name := range w.queues {
		names = append(names, name)
	}
	sort.Strings(names)
	all := group{Group: Group{Name: "all"}}
	for _, name := range names {
		q := w.queues[name]
		g := group{Group: Group{Name: name}}
		for _, e := range q.jobs {
			if w.cancelled[e.Job.ID] {
				continue
			}
			weight := min(maxWeight, fixedShare+(1-fixedShare)*e.work()/(q.work/float64(len(q.jobs))))
			o := outcomes[e.Job.ID]
			objective := e.objective(w.total)
			g.add(e, o, objective, q.worth*weight, q.lateWorth*weight)
			all.add(e, o, objective, q.worth*weight, q.lateWorth*weight)
		}
		out.Queues = append(out.Queues, g.result())
	}
	out.All = all.result()
	return out
}

type group struct {
	Group
	starts, completes []clock.Millis
}

func (g *group) add(e Event, o Outcome, objective clock.Millis, worth, late float64) {
	g.Jobs++
	g.MaxWorth += worth
	if o.Started > 0 {
		g.starts = append(g.starts, o.Started-e.At)
	}
	took := o.Ended - e.At
	attempts := max(1, e.Job.Attempts)
	wanted := o.State == task.Completed || o.State == task.Failed && e.FailedRuns >= attempts
	switch {
	case o.Ended == 0 || !wanted || took > task.MaxLatenessFactor*objective:
		g.Never++
		return
	case took > objective:
		g.Late++
		g.Earned += late
	default:
		g.InTime++
		g.Earned += worth
	}
	g.completes = append(g.completes, took)
}

func (g *group) result() Group {
	g.Start, g.Complete = quantiles(g.starts), quantiles(g.completes)
	return g.Group
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "queue\tjobs\tin time\tlate\tnever\tworth\tstart p50\tstart p95\tcomplete p50\tcomplete p95\t")
	for _, g := range append(append([]Group(nil), r.Queues...), r.All) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t%s\t\n", g.Name, g.Jobs, g.InTime, g.Late, g.Never, g.Share(), g.Start.P50, g.Start.P95, g.Complete.P50, g.Complete.P95)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "work lost %.0f core-seconds, accelerators free while jobs waited %.3f\n", r.LostWork, r.Stranded)
	return err
}
