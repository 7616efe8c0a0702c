package replay

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

// UrgentBound is the target for the wait of urgent jobs.
const UrgentBound = 9400 * clock.Millisecond

// Report has the outcomes of a replay.
type Report struct {
	Groups      []Group
	All         Group
	Jobs        int
	Done        int
	Refused     int
	Cancelled   int
	Open        int
	Evictions   int
	Failures    int
	FailedJobs  int
	Quarantines int
	// AttemptsBeforeQuarantine is the number of failed attempts before the first quarantine.
	AttemptsBeforeQuarantine int
	Unknown                  int
	LostWork                 clock.Millis
	// Fragmentation is the mean of 1 - largest adjacent free block / largest
	// block that as many free accelerators could form.
	Fragmentation float64
	// Starved is the share of samples at which a waiting gang needed no more
	// accelerators than were free, but did not fit because of their location.
	Starved float64
	// Busy is the mean share of accelerators in use while jobs waited.
	Busy float64
	// MaxUnmet is the largest number of guaranteed accelerators that could not
	// be provided at a sample with all workers up.
	MaxUnmet int

	samples, starved, busySamples int
	fragmentation, busy           float64
}

// Group has the outcomes of one client account's jobs of one class.
type Group struct {
	Account  string
	Class    spec.Class
	Jobs     int
	Wait     Quantiles // from submission to the first start
	Complete Quantiles // from submission to the end
	Slowdown float64   // mean of completion time / run time
	InBound  float64   // share of jobs that waited no longer than UrgentBound
}

// Quantiles are quantiles of a duration.
type Quantiles struct {
	P50, P95, P99 clock.Millis
}

func quantiles(all []clock.Millis) Quantiles {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	at := func(q float64) clock.Millis {
		if len(all) == 0 {
			return 0
		}
		return all[min(len(all)-1, int(q*float64(len(all))))]
	}
	return Quantiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

func (r *Runner[P]) sample() {
	r.schedule(r.now+sampleInterval, r.sample)
	if len(r.workers) == 0 {
		return
	}
	s := r.state()
	r.report.samples++
	r.report.fragmentation += sched.Fragmentation(s)
	total, used, up := 0, 0, true
	for _, w := range r.workers {
		total += w.Accelerators
		up = up && !w.down && w.Usable
	}
	for _, j := range r.running {
		for _, a := range j.cells {
			used += a.Cell.Size
		}
	}
	if up {
		r.report.MaxUnmet = max(r.report.MaxUnmet, sched.Unmet(s))
	}
	if len(r.waiting) > 0 && total > 0 {
		r.report.busySamples++
		r.report.busy += float64(used) / float64(total)
	}
	if r.gangStarved(total - used) {
		r.report.starved++
	}
}

// gangStarved reports whether a gang has waited for more than sampleInterval
// although it needs no more accelerators than are free.
func (r *Runner[P]) gangStarved(free int) bool {
	for _, j := range r.waiting {
		if j.job.Tasks > 1 && j.job.Tasks*max(1, j.job.Accelerators) <= free && r.now-j.queuedAt > sampleInterval {
			return true
		}
	}
	return false
}

func (r *Runner[P]) finish() Report {
	out := r.report
	groups := make(map[string]*groupSums)
	all := &groupSums{account: "all"}
	for _, j := range r.order {
		out.Jobs++
		switch {
		case j.refused:
			out.Refused++
			continue
		case j.canceled:
			out.Cancelled++
			continue
		case j.endedAt == 0:
			out.Open++
			continue
		}
		out.Done++
		key := j.account + "/" + string(j.job.Class)
		if groups[key] == nil {
			groups[key] = &groupSums{account: j.account, class: j.job.Class}
		}
		groups[key].add(j)
		all.add(j)
	}
	out.Done -= out.FailedJobs + out.Unknown
	if len(all.waits) > 0 {
		out.All = all.group()
	}
	for _, g := range groups {
		out.Groups = append(out.Groups, g.group())
	}
	sort.Slice(out.Groups, func(i, j int) bool {
		a, b := out.Groups[i], out.Groups[j]
		if a.Account != b.Account {
			return a.Account < b.Account
		}
		return a.Class.Rank() < b.Class.Rank()
	})
	if out.samples > 0 {
		out.Fragmentation = out.fragmentation / float64(out.samples)
		out.Starved = float64(out.starved) / float64(out.samples)
	}
	if out.busySamples > 0 {
		out.Busy = out.busy / float64(out.busySamples)
	}
	return out
}

type groupSums struct {
	account     string
	class       spec.Class
	waits       []clock.Millis
	completions []clock.Millis
	slowdown    float64
	inBound     int
}

func (g *groupSums) add(j *jobState) {
	wait := j.firstStart - j.queuedAt
	complete := j.endedAt - j.queuedAt
	g.waits = append(g.waits, wait)
	g.completions = append(g.completions, complete)
	g.slowdown += float64(complete) / float64(max(clock.Second, j.runTime))
	if wait <= UrgentBound {
		g.inBound++
	}
}

func (g *groupSums) group() Group {
	n := len(g.waits)
	return Group{
		Account: g.account, Class: g.class, Jobs: n,
		Wait: quantiles(g.waits), Complete: quantiles(g.completions),
		Slowdown: g.slowdown / float64(n), InBound: float64(g.inBound) / float64(n),
	}
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "jobs %d: done %d, refused %d, cancelled %d, failed %d, unknown %d, open %d\n", r.Jobs, r.Done, r.Refused, r.Cancelled, r.FailedJobs, r.Unknown, r.Open)
	fmt.Fprintf(w, "fragmentation %.3f, gangs starved by it %.3f of the time, busy while jobs wait %.3f\n", r.Fragmentation, r.Starved, r.Busy)
	fmt.Fprintf(w, "evictions %d, failed attempts %d, quarantines %d, work lost %s, most unmet %d\n", r.Evictions, r.Failures, r.Quarantines, r.LostWork, r.MaxUnmet)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "account\tclass\tjobs\twait p50\tp95\tp99\tcomplete p50\tp95\tp99\tslowdown\tin 9.4 s\t")
	for _, g := range append(append([]Group(nil), r.Groups...), r.All) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t\n", g.Account, g.Class, g.Jobs,
			g.Wait.P50, g.Wait.P95, g.Wait.P99, g.Complete.P50, g.Complete.P95, g.Complete.P99, g.Slowdown, g.InBound)
	}
	return t.Flush()
}
