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

// maxPartialRun is the maximum time for which only some members of a gang may run:
// the time to detect a lost member and to end the others.
const maxPartialRun = 13 * time.Second

// maxStartSkew is the maximum time between the starts of the members of a gang.
const maxStartSkew = 4 * time.Second

// cmdHealth checks what must hold in every scenario: no request or task whose name
// begins with "once" ran twice on one endpoint, no task of a run-once job ran twice
// anywhere, and gangs ran as a whole. An endpoint whose counts can't be read is
// skipped, and a job whose record no entry returns counts neither as run-once nor as
// a gang.
func cmdHealth(sc *scenario, _ []string) error {
	var spans []epfake.Span
	for _, a := range sc.agents {
		ep := strings.Replace(a, "agent", "endpoint", 1) // the endpoint is named like its agent
		var counts map[string]int
		if err := sc.getJSON(ep, "/counts", "", &counts); err != nil {
			continue
		}
		for name, n := range counts {
			if strings.HasPrefix(name, "once") && n > 1 {
				return fmt.Errorf("%s ran %d times on %s", name, n, ep)
			}
		}
		var endpointSpans []epfake.Span
		if err := sc.getJSON(ep, "/spans", "", &endpointSpans); err != nil {
			return err
		}
		spans = append(spans, endpointSpans...)
	}
	if err := sc.checkRunOnce(spans); err != nil {
		return err
	}
	return checkGangs(sc, spans)
}

// checkRunOnce checks that no task of a run-once job started more than once.
func (sc *scenario) checkRunOnce(spans []epfake.Span) error {
	starts := make(map[string]int)
	for _, s := range spans {
		starts[fmt.Sprintf("%s.%d", s.Job, s.Rank)]++
	}
	for _, s := range spans {
		if s.Job != "" && starts[fmt.Sprintf("%s.%d", s.Job, s.Rank)] > 1 && sc.isRunOnce(s.Job) {
			return fmt.Errorf("task %d of run-once job %s started more than once", s.Rank, s.Job)
		}
	}
	return nil
}

// isRunOnce reports whether a job is known and must not run twice. Such a job is not
// evictable.
func (sc *scenario) isRunOnce(job string) bool {
	j, ok := sc.jobSpec(job)
	return ok && !j.Idempotent && !j.Checkpoints
}

func checkGangs(sc *scenario, spans []epfake.Span) error {
	attempts := make(map[string][]epfake.Span)
	for _, s := range spans {
		if s.Job != "" {
			key := s.Job + "." + strconv.Itoa(s.Attempt)
			attempts[key] = append(attempts[key], s)
		}
	}
	for key, group := range attempts {
		size := sc.gangSize(group[0].Job)
		if size < 2 {
			continue
		}
		if partial := partialRunTime(group, size); partial > maxPartialRun {
			return fmt.Errorf("attempt %s: some but not all members of the gang ran, for %s in total", key, partial)
		}
		sort.Slice(group, func(i, j int) bool { return group[i].Start < group[j].Start })
		skew := time.Duration(group[len(group)-1].Start-group[0].Start) * time.Millisecond
		if skew > maxStartSkew {
			return fmt.Errorf("attempt %s: members started %s apart", key, skew)
		}
	}
	return nil
}

// gangSize returns the number of tasks of a job, or 1 if the job is not known.
func (sc *scenario) gangSize(job string) int {
	j, ok := sc.jobSpec(job)
	if !ok {
		return 1
	}
	return j.Tasks
}

// jobSpec returns the spec in a job's record, from the first entry that returns it.
func (sc *scenario) jobSpec(job string) (spec.Job, bool) {
	for _, e := range sc.entries {
		for _, token := range []string{accountToken, otherToken} {
			var rec spec.JobRecord
			if sc.getJSON(e, "/v1/jobs/"+job, token, &rec) == nil {
				return rec.Spec, true
			}
		}
	}
	return spec.Job{}, false
}

// partialRunTime adds up the time in which some but not all members ran. A member
// that still runs counts as ending now; its End in group is set to that.
func partialRunTime(group []epfake.Span, size int) time.Duration {
	now := time.Now().UnixMilli()
	var edges []int64
	for i := range group {
		if group[i].End == 0 {
			group[i].End = now
		}
		edges = append(edges, group[i].Start, group[i].End)
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i] < edges[j] })
	partial := int64(0)
	for i := 1; i < len(edges); i++ {
		running := 0
		for _, s := range group {
			if s.Start <= edges[i-1] && s.End >= edges[i] {
				running++
			}
		}
		if running > 0 && running < size {
			partial += edges[i] - edges[i-1]
		}
	}
	return time.Duration(partial) * time.Millisecond
}

// loadRun is a background load of idempotent requests.
type loadRun struct {
	stop         chan struct{}
	wg           sync.WaitGroup
	ended        atomic.Int64
	failed       atomic.Int64
	firstFailure atomic.Value
}

// cmdLoad starts callers that each send one request after another, only to entries
// that report themselves ready, as the platform's load balancer does. It waits until
// 20 of these requests have ended.
func cmdLoad(sc *scenario, a []string) error {
	n, _ := strconv.Atoi(a[0])
	sc.load = &loadRun{stop: make(chan struct{})}
	for i := range n {
		sc.load.wg.Add(1)
		go sc.runCaller(sc.load, i)
	}
	return cmdBusy(sc, []string{"20"})
}

// cmdBusy waits until the given number of further requests has ended, with or without
// a response.
func cmdBusy(sc *scenario, a []string) error {
	more, _ := strconv.ParseInt(a[0], 10, 64)
	want := sc.load.ended.Load() + more
	return sc.eventually(30*time.Second, func() error {
		if n := sc.load.ended.Load(); n < want {
			return fmt.Errorf("%d of %d requests have ended", n, want)
		}
		return nil
	})
}

// cmdReady waits until an entry reports to the load balancer that it is ready.
func cmdReady(sc *scenario, a []string) error {
	return sc.eventually(seconds(a[1]), func() error {
		status, body, err := sc.call(a[0], "GET", "/v1/ready", "", "", 0, nil)
		if err == nil && status != 200 {
			err = fmt.Errorf("%s", body)
		}
		return err
	})
}

func (sc *scenario) runCaller(l *loadRun, i int) {
	defer l.wg.Done()
	for n := i; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := sc.entries[n%len(sc.entries)]
		if status, _, err := sc.call(entry, "GET", "/v1/ready", "", "", 0, nil); err != nil || status != 200 {
			time.Sleep(pollInterval)
			continue
		}
		got := sc.sendRequest(entry, "/v1/services/swatch/requests", "", 5000, `{"work_ms":20}`)
		l.ended.Add(1)
		if got.outcome != "done" {
			l.failed.Add(1)
			l.firstFailure.CompareAndSwap(nil, fmt.Sprintf("%s: %s %d %s %v", entry, got.outcome, got.status, got.body, got.err))
		}
	}
}

// cmdLoaded ends the load, and fails if a request failed or if fewer than the given
// number have ended.
func cmdLoaded(sc *scenario, a []string) error {
	close(sc.load.stop)
	sc.load.wg.Wait()
	least, _ := strconv.ParseInt(a[0], 10, 64)
	ended, failed := sc.load.ended.Load(), sc.load.failed.Load()
	if failed > 0 || ended < least {
		return fmt.Errorf("a request failed or too few ended: %d of %d failed; first failure: %v", failed, ended, sc.load.firstFailure.Load())
	}
	return nil
}
