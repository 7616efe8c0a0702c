// Command bound says which of the jobs that were not served, or were late, on a played day no
// schedule could have served: there was no store to accept them within their caller's time, or the
// power failed under them with less time left than they run. The rest is what better decisions
// could gain.
//
//	fleetbench run SITE DAY --seed 1 --log front --report REPORT >LOG 2>&1
//	go run ./internal/bound REPORT LOG
//
// It reads the bench's report and the fronts' log lines as the bench prints them.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

type options struct {
	Report string  `arg:"" help:"The bench's report of the play." type:"existingfile"`
	Log    string  `arg:"" help:"What the fronts logged in the play." type:"existingfile"`
	Limit  float64 `help:"Seconds that a caller has for all tries." default:"3"`
	// A job is in time if it ends within its stretch times its run time, and its target more.
	Stretches []float64 `help:"Stretch of the queues by priority." default:"1.5,3,3"`
	Targets   []float64 `help:"Target of the queues by priority, in seconds." default:"0.25,1,3"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Says which jobs no schedule could have served in time."))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "bound:", err)
		os.Exit(1)
	}
}

// report is what is used of the bench's report. Times are in seconds.
type report struct {
	Worth float64 `json:"G"`
	All   struct {
		Jobs    int `json:"n"`
		Late    int `json:"late"`
		Refused int `json:"refused"`
		Failed  int `json:"failed"`
		NotOwed int `json:"not_owed"`
	} `json:"all"`
	Events []struct {
		From float64 `json:"at_s"`
		To   float64 `json:"to_s"`
		Kind string  `json:"kind"`
	} `json:"events"`
}

// span is an interval of time in seconds.
type span struct{ from, to float64 }

func (o *options) run() error {
	raw, err := os.ReadFile(o.Report)
	if err != nil {
		return errors.Wrap(err, "read the report")
	}
	var r report
	if err := json.Unmarshal(raw, &r); err != nil {
		return errors.Wrap(err, "decode the report")
	}
	d, err := readLog(o.Log)
	if err != nil {
		return err
	}
	out := r.outages(d)
	noStore, refused := 0, d.refused(o.Limit)
	for _, c := range refused {
		covered := covers(out, c)
		if covered {
			noStore++
		}
		fmt.Printf("refused  %s  from %.2f to %.2f s  no store all the while: %t\n", c.job, c.from, c.to, covered)
	}
	hopeless, late := 0, d.late(o.objective)
	for _, j := range late {
		if j.hopeless {
			hopeless++
		}
		fmt.Printf("%s  %s  priority %d  accepted %.2f  started %d times, first after %.2f s  ended after %s  objective %.2f s  power lost under it and too late since: %t\n",
			j.outcome(), j.id, j.priority, j.accepted, j.starts, j.first-j.accepted, j.took(), j.objective, j.hopeless)
	}
	fmt.Printf("worth %.3f; by the bench: %d owed, %d late, %d refused, %d failed\n", r.Worth, r.All.Jobs-r.All.NotOwed, r.All.Late, r.All.Refused, r.All.Failed)
	fmt.Printf("by the logs: %d refused, %d of them without a store in their time; %d late or never, %d of them without enough time after the power failure\n", len(refused), noStore, len(late), hopeless)
	return nil
}

// objective returns within what time a job that runs for so long has to end, in seconds.
func (o *options) objective(priority int, expected float64) float64 {
	p := min(priority, len(o.Stretches)-1, len(o.Targets)-1)
	return o.Stretches[p]*expected + o.Targets[p]
}

// outages returns when no caller could be accepted: the store was down for all, or no front was up
// after the final fault.
func (r *report) outages(d *day) []span {
	var out []span
	for _, e := range r.Events {
		switch {
		case strings.HasPrefix(e.Kind, "platform_down") && !strings.Contains(e.Kind, "nodes"):
			out = append(out, span{e.From, e.To})
		case strings.HasPrefix(e.Kind, "closing"):
			out = append(out, span{e.From, d.readyAfter(e.From)})
			d.powerLost = e.From
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].from < out[j].from })
	return out
}

// covers reports whether the outages, one after another, cover a caller's whole time.
func covers(outages []span, c caller) bool {
	at := c.from
	for _, o := range outages {
		if o.from <= at+tryTime && o.to > at {
			at = o.to
		}
	}
	return at+tryTime >= c.to
}

// tryTime is what a call needs, in seconds.
const tryTime = 0.05
