package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// whole is the room of an executor on the small deployments.
var whole = capacity{CPU: 128000, MemMB: 262144, GPU: 8}

// Bounds of the small deployments.
const (
	reclaimBound = 3400 * time.Millisecond // for work within a guarantee to begin
	finishBound  = 14 * time.Second        // after the end of the traffic
	restartBound = 6 * time.Second         // for a subtask that lasts, from the end of its last run
	idleBound    = 3 * time.Second         // for a job with nothing running although there is room
)

// untilStopped is the run time of subtasks that last.
func untilStopped(string) time.Duration { return 0 }

// lastsBut returns the run times of a case with lasting jobs: the subtasks of one job end after a
// time, the others run until they are stopped.
func lastsBut(job string, length time.Duration) func(task string) time.Duration {
	return func(task string) time.Duration {
		if task[:len(job)] == job {
			return length
		}
		return 0
	}
}

// manyEnds kills the planner while more than 500 subtasks of one executor end.
func manyEnds(w *world) (verdict, error) {
	const jobs, width, spread = 18, 50, 2 * time.Second
	const arrival = 2500 * time.Millisecond // 0.4 jobs a second
	endsFrom := time.Now().Add(50 * time.Second)
	length := func(task string) time.Duration {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return time.Until(endsFrom) + time.Duration(h.Sum32()%1000)*spread/1000
	}
	if err := w.start(3, elevenExecutors, whole, length); err != nil {
		return nil, err
	}
	for n := range jobs {
		step := map[string]any{"count": width, "cpu": 100, "mem_mb": 200, "estimate_ms": 30000}
		if err := w.submit(acme, batchPath, jobID(n), step); err != nil {
			return nil, err
		}
		time.Sleep(arrival)
	}
	all := func() bool { return len(w.rec.allRuns()) >= jobs*width }
	if err := w.await(time.Until(endsFrom), "all subtasks to start", all); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(endsFrom))
	if w.trouble {
		p := w.planner()
		if p == nil {
			return nil, errors.New("no planner was found")
		}
		w.kill(p)
		time.Sleep(3 * time.Second)
		if err := w.launch(p); err != nil {
			return nil, err
		}
	}
	time.Sleep(15 * time.Second)
	for n := range jobs {
		w.call(acme, "GET", batchPath+jobID(n), "")
	}
	return w.rec.judgeTwice(), nil
}

// reclaim lets the lasting subtasks of a large job take all that is idle, and then submits a job
// of another tenant that is within its guarantee.
func reclaim(w *world) (verdict, error) {
	urgent := jobID(2)
	if err := w.start(3, elevenExecutors, whole, lastsBut(urgent, 2500*time.Millisecond)); err != nil {
		return nil, err
	}
	if w.trouble {
		step := map[string]any{"count": len(elevenExecutors), "cpu": 60000, "mem_mb": 100000, "gpu": 8, "estimate_ms": 11000, "long_running": true}
		if err := w.submit(birch, batchPath, jobID(1), step); err != nil {
			return nil, err
		}
		if err := w.await(10*time.Second, "the large job to start", func() bool { return len(w.rec.allRuns()) == len(elevenExecutors) }); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	step := map[string]any{"count": 1, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "estimate_ms": 2500}
	if err := w.submit(acme, urgentPath, urgent, step); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	begun := func() bool { return len(w.rec.runsOf(firstTask(urgent))) > 0 }
	err := w.await(40*time.Second, "the guaranteed job to begin", begun)
	waited := time.Since(confirmed).Round(time.Millisecond)
	w.call(acme, "GET", urgentPath+urgent, "")
	switch {
	case err != nil:
		return verdict{fmt.Sprintf("RECLAIM: job %s of a tenant with a guarantee of %d accelerators needs 1, was confirmed at %s and has not begun %s later", urgent, acme.guaranteed, w.rec.at(confirmed), waited)}, nil
	case waited > reclaimBound:
		return verdict{fmt.Sprintf("RECLAIM: job %s has begun only %s after its confirmation", urgent, waited)}, nil
	}
	w.rec.logf("job %s has begun %s after its confirmation", urgent, waited)
	time.Sleep(5 * time.Second)
	return nil, nil
}

// headroom lets a lasting subtask fail while urgent jobs come from time to time.
func headroom(w *world) (verdict, error) {
	const urgentPrefix = "0b0b"
	if err := w.start(3, elevenExecutors, whole, lastsBut(urgentPrefix, 500*time.Millisecond)); err != nil {
		return nil, err
	}
	const full = 9 // executors
	step := map[string]any{"count": full, "cpu": 60000, "mem_mb": 100000, "gpu": 8, "estimate_ms": 11000, "long_running": true}
	if err := w.submit(birch, batchPath, jobID(1), step); err != nil {
		return nil, err
	}
	lasting := jobID(2)
	step = map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1, "estimate_ms": 11000, "long_running": true}
	if err := w.submit(acme, batchPath, lasting, step); err != nil {
		return nil, err
	}
	task := firstTask(lasting)
	if err := w.await(15*time.Second, "the lasting subtasks to start", func() bool { return w.at(task) != nil && len(w.rec.allRuns()) == full+1 }); err != nil {
		return nil, err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 1; ; n++ {
			body := `{"task_spec":"u","steps":[{"count":1,"cpu":2000,"mem_mb":4000,"gpu":1,"estimate_ms":500}]}`
			if status, _ := w.call(acme, "POST", fmt.Sprintf("%s%s%012x", urgentPath, urgentPrefix, n), body); status != http.StatusOK {
				w.rec.logf("urgent job %d was not accepted", n)
			}
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Second):
			}
		}
	}()
	defer func() { close(stop); <-stopped }()
	time.Sleep(8 * time.Second)
	if w.trouble && !w.at(task).fail(task) {
		return nil, errors.New("the lasting subtask is not at work")
	}
	return w.judgeLasting(task, 30*time.Second)
}

// lostRack takes the executor of a lasting subtask away, whose data is in a rack without other
// room.
func lostRack(w *world) (verdict, error) {
	if err := w.start(3, elevenExecutors, whole, untilStopped); err != nil {
		return nil, err
	}
	step := map[string]any{"count": 1, "cpu": 60000, "mem_mb": 100000, "gpu": 8, "estimate_ms": 11000, "affinity": "r4", "long_running": true}
	if err := w.submit(birch, batchPath, jobID(1), step); err != nil {
		return nil, err
	}
	filled := func() bool { return w.at(firstTask(jobID(1))) != nil }
	if err := w.await(10*time.Second, "the first lasting subtask to start", filled); err != nil {
		return nil, err
	}
	lasting := jobID(2)
	step = map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1, "estimate_ms": 11000, "affinity": "r4", "long_running": true}
	if err := w.submit(acme, batchPath, lasting, step); err != nil {
		return nil, err
	}
	task := firstTask(lasting)
	if err := w.await(10*time.Second, "the second lasting subtask to start", func() bool { return w.at(task) != nil }); err != nil {
		return nil, err
	}
	home := w.at(task)
	if home.rack != "r4" {
		return nil, fmt.Errorf("the lasting subtask runs in rack %s, away from its data", home.rack)
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		home.leave(4 * time.Second)
	}
	return w.judgeLasting(task, 30*time.Second)
}

// at returns the executor where a subtask is at work, nil if there is none.
func (w *world) at(task string) *executor {
	for _, e := range w.executors {
		if e.runs(task) {
			return e
		}
	}
	return nil
}

// judgeLasting watches a subtask that lasts, and checks the rule LOST: nothing of it runs for
// idleBound, from restartBound after its last run on. The case has to leave room for it twice
// over.
func (w *world) judgeLasting(task string, watch time.Duration) (verdict, error) {
	until := time.Now().Add(watch)
	time.Sleep(watch)
	w.call(acme, "GET", batchPath+task[:16], "")
	runs := w.rec.runsOf(task)
	var out verdict
	for i, r := range runs {
		if r.end.IsZero() {
			continue
		}
		next, again := until, "not been started again until"
		if i+1 < len(runs) {
			next, again = runs[i+1].start, "been started again only at"
		}
		if wait := next.Sub(r.end); wait > restartBound+idleBound {
			out = append(out, fmt.Sprintf("LOST: run %d of %s, which lasts, ended at %s and has %s %s, %s later", r.run, task, w.rec.at(r.end), again, w.rec.at(next), wait.Round(time.Millisecond)))
		} else {
			w.rec.logf("run %d of %s ended; the next one started %s later", r.run, task, wait.Round(time.Millisecond))
		}
	}
	return out, nil
}

// largeJob submits a job of so many small subtasks that more than 1024 fit on one executor.
func largeJob(w *world) (verdict, error) {
	const small, large = 900, 1100
	if err := w.start(3, elevenExecutors, whole, func(string) time.Duration { return 5 * time.Second }); err != nil {
		return nil, err
	}
	count := small
	if w.trouble {
		count = large
	}
	step := map[string]any{"count": count, "cpu": 100, "mem_mb": 200, "estimate_ms": 5000}
	if err := w.submit(acme, batchPath, jobID(1), step); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	limit := 60 * time.Second
	completed := func() bool {
		status, answer := w.call(acme, "GET", batchPath+jobID(1), "")
		time.Sleep(500 * time.Millisecond)
		return status == http.StatusOK && answer == `{"state":"completed"}`
	}
	if w.await(limit, "the job to complete", completed) == nil {
		return nil, nil
	}
	runs := w.rec.allRuns()
	last := confirmed
	for _, r := range runs {
		if r.end.After(last) {
			last = r.end
		}
	}
	if idle := time.Since(last); idle > finishBound+idleBound {
		return verdict{fmt.Sprintf("LOST: job %s of %d subtasks was confirmed at %s; %d runs were started, and nothing has run for the last %s", jobID(1), count, w.rec.at(confirmed), len(runs), idle.Round(time.Millisecond))}, nil
	}
	return nil, errors.New("the job has not completed, but works")
}

// apart submits an urgent job whose subtasks must run on different executors while batch work fills
// them all.
func apart(w *world) (verdict, error) {
	const limit = 1
	urgent := jobID(2)
	lengths := func(task string) time.Duration {
		if task[:len(urgent)] == urgent {
			return 2500 * time.Millisecond
		}
		return 40 * time.Second
	}
	if err := w.start(3, elevenExecutors, whole, lengths); err != nil {
		return nil, err
	}
	if w.trouble {
		const batch = 88
		for n := range 2 {
			step := map[string]any{"count": batch / 2, "cpu": 11000, "mem_mb": 23000, "gpu": 1, "estimate_ms": 40000}
			if err := w.submit(birch, batchPath, jobID(10+n), step); err != nil {
				return nil, err
			}
		}
		if err := w.await(15*time.Second, "the batch jobs to start", func() bool { return len(w.rec.allRuns()) == batch }); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	step := map[string]any{"count": 4, "cpu": 15000, "mem_mb": 31000, "gpu": 1, "estimate_ms": 2500, "anti_affinity": limit}
	if err := w.submit(acme, urgentPath, urgent, step); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	w.call(acme, "GET", urgentPath+urgent, "")
	return w.rec.judgeApart(urgent, limit), nil
}

// faultyGang lets two of fourteen executors fail all that they start, and submits a gang of two that
// is placed there first.
func faultyGang(w *world) (verdict, error) {
	const length = 5 * time.Second
	id := jobID(1)
	w.gangs.size = func(task string) int { return 2 }
	racks := append(append([]string{}, elevenExecutors...), "r4", "r5", "r5")
	if err := w.start(3, racks, whole, func(string) time.Duration { return length }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // all executors are known to the planner
	w.setFaulty(w.trouble, 0, 1)
	step := map[string]any{"count": 2, "cpu": 52000, "mem_mb": 75000, "gpu": 8, "estimate_ms": length.Milliseconds(), "gang": true}
	if err := w.submit(acme, batchPath, id, step); err != nil {
		return nil, err
	}
	time.AfterFunc(4*time.Second, func() { w.setFaulty(false, 0, 1) })
	answer := ""
	ended := func() bool {
		_, answer = w.call(acme, "GET", batchPath+id, "")
		time.Sleep(200 * time.Millisecond)
		return !strings.Contains(answer, "queued") && !strings.Contains(answer, "running")
	}
	if err := w.await(60*time.Second, "the job to end", ended); err != nil {
		return nil, err
	}
	failures := make(map[string]int)
	runs := make(map[int]bool)
	for _, r := range w.rec.allRuns() {
		if r.how == "failed" {
			failures[r.task]++
			runs[r.run] = true
		}
	}
	if strings.Contains(answer, "failed") && len(runs) < maxAttempts {
		return verdict{fmt.Sprintf("LOST: job %s is shown as %s after %d run of its gang; ends as failed by subtask: %v; max_attempts is %d", id, answer, len(runs), failures, maxAttempts)}, nil
	}
	return nil, nil
}

// setFaulty makes executors fail all that they start.
func (w *world) setFaulty(on bool, executors ...int) {
	for _, i := range executors {
		e := w.executors[i]
		e.mu.Lock()
		e.faulty = on
		e.mu.Unlock()
		if on {
			w.rec.logf("%s fails all that it starts from now on", e.id)
		}
	}
}

// lateStop lets an executor crash and start again under its id after it has left one start and one
// stop unanswered, which it carries out late.
func lateStop(w *world) (verdict, error) {
	const length = 2 * time.Second
	if err := w.start(3, elevenExecutors, whole, func(string) time.Duration { return length }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := jobID(1)
	var starts, stops atomic.Int32
	if w.trouble {
		for _, e := range w.executors {
			e.delays = func(path string, o order) time.Duration {
				switch {
				case path == "/v1/run-start" && starts.Add(1) == 1:
					return 4500 * time.Millisecond
				case path == "/v1/run-stop" && stops.Add(1) == 1:
					return 8 * time.Second
				}
				return 0
			}
		}
	}
	step := map[string]any{"count": 1, "cpu": 11000, "mem_mb": 23000, "gpu": 1, "estimate_ms": length.Milliseconds()}
	if err := w.submit(acme, batchPath, id, step); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	if err := w.await(5*time.Second, "the subtask to start", func() bool { return w.at(firstTask(id)) != nil }); err != nil {
		return nil, err
	}
	home := w.at(firstTask(id))
	time.Sleep(time.Until(confirmed.Add(3 * time.Second)))
	if w.trouble {
		home.shut()
		w.rec.logf("%s crashes", home.id)
		time.Sleep(time.Second)
		if err := home.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(10 * time.Second)
	w.call(acme, "GET", batchPath+id, "")
	return w.rec.judgeTwice(), nil
}

// rackGang submits a gang for one rack while each rack has room for a part of it only.
func rackGang(w *world) (verdict, error) {
	gang := jobID(9)
	w.gangs.size = func(task string) int {
		if task[:len(gang)] == gang {
			return 3
		}
		return 0
	}
	if err := w.start(3, elevenExecutors, whole, lastsBut(gang, 11*time.Second)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for i, rack := range []string{"r1", "r2", "r3"} {
			step := map[string]any{"count": 1, "cpu": 60000, "mem_mb": 100000, "gpu": 8, "estimate_ms": 11000, "constraints": rack, "long_running": true}
			if err := w.submit(birch, batchPath, jobID(i), step); err != nil {
				return nil, err
			}
		}
		if err := w.await(10*time.Second, "the lasting subtasks to start", func() bool { return len(w.rec.allRuns()) == 3 }); err != nil {
			return nil, err
		}
	}
	step := map[string]any{"count": 3, "cpu": 52000, "mem_mb": 75000, "gpu": 8, "estimate_ms": 11000, "gang": true, "same_rack": true}
	if err := w.submit(acme, batchPath, gang, step); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	begun := func() bool { return len(w.rec.runsOf(firstTask(gang))) > 0 }
	err := w.await(40*time.Second, "the gang to start", begun)
	waited := time.Since(confirmed).Round(time.Millisecond)
	w.call(acme, "GET", batchPath+gang, "")
	if err != nil || waited > finishBound {
		return verdict{fmt.Sprintf("LOST: gang %s was confirmed at %s, and nothing of it had run %s later, with 8 of 11 executors empty", gang, w.rec.at(confirmed), waited)}, nil
	}
	return nil, nil
}

// movedQueue sends a queue to another service and takes the last executor of the old one away, while
// a job of that queue has not ended.
func movedQueue(w *world) (verdict, error) {
	const length = 12 * time.Second
	w.pooled = func(i int) bool { return i > 0 }
	if err := w.start(3, elevenExecutors, whole, func(string) time.Duration { return length }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := jobID(1)
	step := map[string]any{"count": 4, "cpu": 52000, "mem_mb": 75000, "gpu": 4, "estimate_ms": length.Milliseconds()}
	if err := w.submit(acme, batchPath, id, step); err != nil {
		return nil, err
	}
	if err := w.await(5*time.Second, "the first subtasks to start", func() bool { return len(w.rec.allRuns()) == 2 }); err != nil {
		return nil, err
	}
	last := w.executors[0]
	if w.trouble {
		if err := w.configure(9, pool); err != nil {
			return nil, err
		}
		w.rec.logf("version 9 sends the queue to the service %s", pool)
		time.Sleep(5 * time.Second)
		last.leave(4 * time.Second)
	}
	time.Sleep(40 * time.Second)
	_, answer := w.call(acme, "GET", batchPath+id, "")
	if answer == `{"state":"completed"}` {
		return nil, nil
	}
	runs := w.rec.allRuns()
	return verdict{fmt.Sprintf("LOST: job %s is %s; %d runs, the last one ended at %s", id, answer, len(runs), w.rec.at(runs[len(runs)-1].end))}, nil
}

// foreignPing sends one ping of another writer, with a service that no configuration names, to a
// side whose executor is at work.
func foreignPing(w *world) (verdict, error) {
	const length = 12 * time.Second
	if err := w.start(3, elevenExecutors, whole, func(string) time.Duration { return length }); err != nil {
		return nil, err
	}
	id := jobID(1)
	step := map[string]any{"count": 1, "cpu": 11000, "mem_mb": 23000, "gpu": 1, "estimate_ms": length.Milliseconds()}
	if err := w.submit(acme, batchPath, id, step); err != nil {
		return nil, err
	}
	if err := w.await(10*time.Second, "the subtask to start", func() bool { return w.at(firstTask(id)) != nil }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.rec.logf("%s", foreignBeat(w.at(firstTask(id)).control, "x-51c3", "ledger-export", "127.0.0.1:9"))
	}
	time.Sleep(length)
	return w.rec.judgeTwice(), nil
}
