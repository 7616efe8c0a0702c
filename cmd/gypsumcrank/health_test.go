package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gypsumcrank/core/spec"
	"gypsumcrank/internal/standin/epfake"
)

// aloneMost is how long a member may run while another of its gang does not:
// the time to notice a lost member and to end the rest.
const aloneMost = 13 * time.Second

// startSkew is how far apart the members of a gang may start.
const startSkew = 4 * time.Second

// cmdHealth checks what must hold in every scenario: no run-once work ran
// twice (its names begin with "once"), and no part of a gang ran without the
// rest.
func cmdHealth(w *world, _ []string) error {
	var spans []epfake.Span
	for _, a := range w.agents {
		ep := strings.Replace(a, "agent", "endpoint", 1)
		var counts map[string]int
		if err := w.getJSON(ep, "/counts", "", &counts); err != nil {
			continue
		}
		for name, n := range counts {
			if strings.HasPrefix(name, "once") && n > 1 {
				return fmt.Errorf("%s ran %d times on %s", name, n, ep)
			}
		}
		var some []epfake.Span
		if err := w.getJSON(ep, "/spans", "", &some); err != nil {
			return err
		}
		spans = append(spans, some...)
	}
	if err := w.onceOnly(spans); err != nil {
		return err
	}
	return wholeGangs(w, spans)
}

// onceOnly checks that no task of a run-once job started more than once.
func (w *world) onceOnly(spans []epfake.Span) error {
	starts := make(map[string]int)
	for _, s := range spans {
		starts[fmt.Sprintf("%s.%d", s.Job, s.Rank)]++
	}
	for _, s := range spans {
		if s.Job != "" && starts[fmt.Sprintf("%s.%d", s.Job, s.Rank)] > 1 && w.runOnce(s.Job) {
			return fmt.Errorf("task %d of run-once job %s started more than once", s.Rank, s.Job)
		}
	}
	return nil
}

func (w *world) runOnce(job string) bool {
	known, ok := w.jobSpec(job)
	return ok && !known.Idempotent && !known.Checkpoints
}

func wholeGangs(w *world, spans []epfake.Span) error {
	attempts := make(map[string][]epfake.Span)
	for _, s := range spans {
		if s.Job != "" {
			key := s.Job + "." + strconv.Itoa(s.Attempt)
			attempts[key] = append(attempts[key], s)
		}
	}
	for key, group := range attempts {
		size := w.gangSize(group[0].Job)
		if size < 2 {
			continue
		}
		if alone := aloneTime(group, size); alone > aloneMost {
			return fmt.Errorf("attempt %s: a part ran alone for %s", key, alone)
		}
		sort.Slice(group, func(i, j int) bool { return group[i].Start < group[j].Start })
		skew := time.Duration(group[len(group)-1].Start-group[0].Start) * time.Millisecond
		if skew > startSkew {
			return fmt.Errorf("attempt %s: members started %s apart", key, skew)
		}
	}
	return nil
}

func (w *world) gangSize(job string) int {
	known, ok := w.jobSpec(job)
	if !ok {
		return 1
	}
	return known.Tasks
}

func (w *world) jobSpec(job string) (spec.Job, bool) {
	for _, e := range w.entries {
		for _, token := range []string{accountToken, otherToken} {
			var rec spec.JobRecord
			if w.getJSON(e, "/v1/jobs/"+job, token, &rec) == nil {
				return rec.Spec, true
			}
		}
	}
	return spec.Job{}, false
}

// aloneTime adds up the time in which some but not all members ran, before the
// first of them ended by itself.
func aloneTime(group []epfake.Span, size int) time.Duration {
	now := time.Now().UnixMilli()
	var marks []int64
	for i := range group {
		if group[i].End == 0 {
			group[i].End = now
		}
		marks = append(marks, group[i].Start, group[i].End)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i] < marks[j] })
	alone := int64(0)
	for i := 1; i < len(marks); i++ {
		running := 0
		for _, s := range group {
			if s.Start <= marks[i-1] && s.End >= marks[i] {
				running++
			}
		}
		if running > 0 && running < size {
			alone += marks[i] - marks[i-1]
		}
	}
	return time.Duration(alone) * time.Millisecond
}

// loadRun is a load of idempotent requests that goes on in the background.
type loadRun struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	sent   atomic.Int64
	failed atomic.Int64
	first  atomic.Value
}

// cmdLoad starts callers that each send one request after another, to the
// entries that say they are ready, as the platform's balancer would.
func cmdLoad(w *world, a []string) error {
	n, _ := strconv.Atoi(a[0])
	w.running = &loadRun{stop: make(chan struct{})}
	for i := range n {
		w.running.wg.Add(1)
		go w.runCaller(w.running, i)
	}
	return cmdBusy(w, []string{"20"})
}

// cmdBusy waits until so many more requests have been answered.
func cmdBusy(w *world, a []string) error {
	more, _ := strconv.ParseInt(a[0], 10, 64)
	want := w.running.sent.Load() + more
	return w.until(30*time.Second, func() error {
		if n := w.running.sent.Load(); n < want {
			return fmt.Errorf("%d of %d answered", n, want)
		}
		return nil
	})
}

// cmdReady waits until an entry tells the balancer that it takes callers.
func cmdReady(w *world, a []string) error {
	return w.until(seconds(a[1]), func() error {
		status, body, err := w.call(a[0], "GET", "/v1/ready", "", "", 0, nil)
		if err == nil && status != 200 {
			err = fmt.Errorf("%s", body)
		}
		return err
	})
}

func (w *world) runCaller(l *loadRun, i int) {
	defer l.wg.Done()
	for n := i; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := w.entries[n%len(w.entries)]
		if status, _, err := w.call(entry, "GET", "/v1/ready", "", "", 0, nil); err != nil || status != 200 {
			time.Sleep(pollEvery)
			continue
		}
		got := w.ask(entry, "/v1/services/swatch/requests", "", 5000, `{"work_ms":20}`)
		l.sent.Add(1)
		if got.outcome != "done" {
			l.failed.Add(1)
			l.first.CompareAndSwap(nil, fmt.Sprintf("%s: %s %d %s %v", entry, got.outcome, got.status, got.body, got.err))
		}
	}
}

// cmdLoaded ends the load and wants at least so many sent and none failed.
func cmdLoaded(w *world, a []string) error {
	close(w.running.stop)
	w.running.wg.Wait()
	least, _ := strconv.ParseInt(a[0], 10, 64)
	sent, failed := w.running.sent.Load(), w.running.failed.Load()
	if failed > 0 || sent < least {
		return fmt.Errorf("%d of %d requests failed, the first: %v", failed, sent, w.running.first.Load())
	}
	return nil
}
