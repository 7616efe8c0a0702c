package main

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// entry is one line of the log: a time in seconds, an event and its fields.
type entry struct {
	at     float64
	event  string
	fields map[string]string
}

var (
	linePattern  = regexp.MustCompile(`^\s*(-?\d+\.\d+) \S+ time=\S+ level=\w+ msg=(\w+) (.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
	stepPattern  = regexp.MustCompile(`acc (\S+?)[ \]]`)
)

// day is what the fronts logged on one day.
type day struct {
	entries   []entry
	powerLost float64 // when all hosts failed, 0 if they didn't
}

func readLog(path string) (*day, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	defer f.Close()
	d := &day{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		m := linePattern.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		e := entry{event: m[2], fields: make(map[string]string)}
		e.at, _ = strconv.ParseFloat(m[1], 64)
		for _, field := range fieldPattern.FindAllStringSubmatch(m[3], -1) {
			e.fields[field[1]] = strings.Trim(field[2], `"`)
		}
		d.entries = append(d.entries, e)
	}
	sort.SliceStable(d.entries, func(i, j int) bool { return d.entries[i].at < d.entries[j].at })
	return d, errors.Wrap(lines.Err(), "read the log")
}

// readyAfter returns when the first process was ready again after a time.
func (d *day) readyAfter(at float64) float64 {
	for _, e := range d.entries {
		if e.event == "process_ready" && e.at > at {
			return e.at
		}
	}
	return at
}

// caller is a caller who was refused, and the time that it had.
type caller struct {
	job      string
	from, to float64
}

// refused returns the callers who were refused because the store was out, and never accepted.
func (d *day) refused(limit float64) []caller {
	accepted := make(map[string]bool)
	last := make(map[string]caller)
	for _, e := range d.entries {
		switch job := e.fields["job"]; {
		case e.event == "job_accepted":
			accepted[job] = true
		case e.event == "refused_store_out" && e.fields["call"] == "submit":
			// A front answers within four fifths of the time that a caller gives it.
			to := e.at - seconds(e.fields["waited"]) + seconds(e.fields["remaining"])/0.8
			if _, known := last[job]; !known {
				last[job] = caller{job, to - limit, to}
			}
		}
	}
	var out []caller
	for job, c := range last {
		if !accepted[job] {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].from < out[j].from })
	return out
}

// lateJob is a job that ended later than its objective, or not at all.
type lateJob struct {
	id                               string
	priority                         int
	accepted, first, ended, expected float64
	objective                        float64
	starts                           int
	hopeless                         bool
}

func (j lateJob) took() string {
	if j.ended == 0 {
		return "never"
	}
	return fmt.Sprintf("%.2f s", j.ended-j.accepted)
}

func (j lateJob) outcome() string {
	if j.ended == 0 || j.ended-j.accepted > 3*j.objective {
		return "never   "
	}
	return "late    "
}

// late returns the jobs that ended late by their estimates, or not at all, and whether they had
// too little time left when the fronts were back after a power failure.
func (d *day) late(objective func(priority int, expected float64) float64) []lateJob {
	jobs := make(map[string]*lateJob)
	var order []string
	skip := make(map[string]bool)
	for _, e := range d.entries {
		id := e.fields["job"]
		j := jobs[id]
		switch {
		case e.event == "job_taken" && j == nil:
			j = &lateJob{id: id, accepted: e.at}
			fmt.Sscanf(fieldIn(e.fields["detail"], "priority="), "%d", &j.priority)
			for _, m := range stepPattern.FindAllStringSubmatch(e.fields["detail"], -1) {
				j.expected += seconds(m[1])
			}
			j.objective = objective(j.priority, j.expected)
			skip[id] = strings.Contains(e.fields["detail"], "occurrences=")
			jobs[id], order = j, append(order, id)
		case j == nil:
		case e.event == "task_placed":
			if j.starts++; j.first == 0 {
				j.first = e.at
			}
		case e.event == "job_ended":
			j.ended = e.at
			skip[id] = skip[id] || !strings.HasPrefix(e.fields["detail"], "completed")
		}
	}
	var out []lateJob
	back := d.readyAfter(d.powerLost)
	for _, id := range order {
		j := jobs[id]
		if skip[id] || j.ended > 0 && j.ended-j.accepted <= j.objective {
			continue
		}
		before := d.powerLost > 0 && j.accepted < d.powerLost && (j.ended == 0 || j.ended > d.powerLost)
		j.hopeless = before && back+j.expected > j.accepted+j.objective
		out = append(out, *j)
	}
	return out
}

// fieldIn returns what follows a name in a text.
func fieldIn(text, name string) string {
	_, after, _ := strings.Cut(text, name)
	return after
}

// seconds returns a duration as it is logged, in seconds.
func seconds(s string) float64 {
	total := 0.0
	if head, tail, ok := strings.Cut(s, "m"); ok && !strings.HasPrefix(tail, "s") && head != "" {
		minutes, _ := strconv.ParseFloat(head, 64)
		total, s = 60*minutes, tail
	}
	unit := 1.0
	switch {
	case strings.HasSuffix(s, "ms"):
		s, unit = strings.TrimSuffix(s, "ms"), 0.001
	default:
		s = strings.TrimSuffix(s, "s")
	}
	v, _ := strconv.ParseFloat(s, 64)
	return total + v*unit
}
