package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case and keeps the runs for the judgement.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	runs  []*taskRun
}

// taskRun is one run of a subtask as its executor saw it.
type taskRun struct {
	executor, task string
	run            int
	start          time.Time
	end            time.Time // zero while it runs
	how            string
	noted          time.Time // when last_seen reached its end; zero if it did not
	lapsed         bool      // the executor's lease lapsed between its end and then
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// logf adds a line to the record.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds()) }

func (r *recorder) started(executor, task string, run int) *taskRun {
	t := &taskRun{executor: executor, task: task, run: run, start: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, t)
	r.mu.Unlock()
	r.logf("%s starts %s run %d", executor, task, run)
	return t
}

func (r *recorder) ended(t *taskRun, how string) {
	r.mu.Lock()
	t.end, t.how = time.Now(), how
	r.mu.Unlock()
	r.logf("%s ends %s run %d %s", t.executor, t.task, t.run, how)
}

func (r *recorder) noteEnd(t *taskRun, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.noted, t.lapsed = time.Now(), lapsed
}

// allRuns returns a copy of all runs so far.
func (r *recorder) allRuns() []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]taskRun, 0, len(r.runs))
	for _, t := range r.runs {
		out = append(out, *t)
	}
	return out
}

// runsOf returns the runs of one subtask.
func (r *recorder) runsOf(task string) []taskRun {
	var out []taskRun
	for _, t := range r.allRuns() {
		if t.task == task {
			out = append(out, t)
		}
	}
	return out
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is of use even if its last lines are missing.
	_ = r.out.Flush()
	_ = r.file.Close()
}

// judgeTwice checks the rule TWICE as far as it needs no excuse: two runs of one subtask at the
// same time, and a start after a run has ended done, if that end is taken note of then or later
// and the executor's lease did not lapse between the two.
func (r *recorder) judgeTwice() verdict {
	byTask := make(map[string][]taskRun)
	var order []string
	for _, t := range r.allRuns() {
		if byTask[t.task] == nil {
			order = append(order, t.task)
		}
		byTask[t.task] = append(byTask[t.task], t)
	}
	var out verdict
	for _, task := range order {
		runs := byTask[task]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.end.IsZero() || b.start.Before(a.end) {
					out = append(out, fmt.Sprintf("TWICE: %s run %d started on %s at %s while run %d was at work on %s since %s", task, b.run, b.executor, r.at(b.start), a.run, a.executor, r.at(a.start)))
				} else if a.how == "done" && !a.noted.IsZero() && !a.lapsed {
					out = append(out, fmt.Sprintf("TWICE: %s run %d started on %s at %s after run %d had ended done on %s at %s, taken note of at %s", task, b.run, b.executor, r.at(b.start), a.run, a.executor, r.at(a.end), r.at(a.noted)))
				}
			}
		}
	}
	return out
}

// judgeApart checks the rule ROUTE for anti_affinity: no more than so many subtasks of a job of one
// step are at work on one executor when a further one starts there.
func (r *recorder) judgeApart(job string, limit int) verdict {
	var out verdict
	runs := r.allRuns()
	for i, b := range runs {
		beside := 0
		for _, a := range runs[:i] {
			if a.executor == b.executor && a.task != b.task && a.task[:len(job)] == job && b.task[:len(job)] == job && (a.end.IsZero() || a.end.After(b.start)) {
				beside++
			}
		}
		if beside >= limit {
			out = append(out, fmt.Sprintf("ROUTE: %s run %d started on %s at %s beside %d of its step; anti_affinity is %d", b.task, b.run, b.executor, r.at(b.start), beside, limit))
		}
	}
	return out
}
