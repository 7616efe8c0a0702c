package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gypsumcrank/internal/standin/plat"
)

const maxValue = 1 << 20

// setUp starts fronts and sides and waits until a small job has been served.
func setUp(r *record, mbps float64, w *world, sides int, customize func(*plat.Executor)) error {
	for i := range 3 {
		if err := w.addFront(mbps); err != nil {
			return err
		}
		if i == 0 {
			if err := w.awaitReady(w.fronts[0], 10*time.Second); err != nil {
				return err
			}
			time.Sleep(time.Second) // the first front becomes the planner
		}
	}
	for range sides {
		if err := w.addSide(2*time.Second, customize); err != nil {
			return err
		}
	}
	for _, p := range w.fronts {
		if err := w.awaitReady(p, 10*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	const first = "00000000000000f1"
	if !w.submit("key-lab", "/urgent/"+first, smallJob, 10*time.Second) {
		return fmt.Errorf("the first job was not accepted")
	}
	for range 100 {
		if w.completed(first) == 1 {
			r.note("first job served: %d fronts, %d sides", len(w.fronts), sides)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the first job was not served")
}

const smallJob = `{"task_spec":"swatch","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":2000}]}`

// finish is when, after the end of the traffic, jobs are asked for.
const finish = 14 * time.Second

// watchStarved returns how many of the jobs have nothing running for 3 s from finish after the
// end of the traffic, although none of their tasks is done and no executor runs anything.
func (w *world) watchStarved(ids []string) int {
	time.Sleep(finish)
	ran, busy := make(map[string]bool), false
	began, noted := time.Now(), time.Time{}
	for time.Since(began) < 3*time.Second {
		note := time.Since(noted) >= 750*time.Millisecond
		if note {
			noted = time.Now()
		}
		for i, id := range ids {
			all, own := w.running(id)
			busy = busy || all > 0
			ran[id] = ran[id] || own > 0 || w.completed(id) > 0
			if note {
				status, body := w.call(w.fronts[i%len(w.fronts)], "key-lab", "GET", w.path(id), "")
				w.record.note("%.1f s after the end of the traffic: GET %s: %d %s; its runs %d, its tasks done %d; runs on all executors %d", (finish + time.Since(began)).Seconds(), id, status, body, own, w.completed(id), all)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	starved := 0
	for _, id := range ids {
		if !busy && !ran[id] {
			starved++
		}
	}
	return starved
}

// linkCase has fronts with the narrowest link of the sheets. Jobs come at the rate of a burst, or
// without the trouble at the usual rate, and all their tasks end at about the same time.
func linkCase(r *record, trouble bool) (int, error) {
	const (
		mbps   = 10
		tasks  = 500
		period = 6 * time.Second
	)
	perSecond := 1.26
	if trouble {
		perSecond *= 2.1
	}
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	r.note("links of the fronts: %d Mbit/s; %.2f jobs of %d tasks a second", mbps, perSecond, tasks)
	var end time.Time // of the tasks of the large jobs
	if err := setUp(r, mbps, w, 11, func(e *plat.Executor) {
		e.RunTimeOf = func(task string) time.Duration {
			if strings.HasPrefix(task, "bbbb") {
				return max(time.Second, time.Until(end)) + rand.N(time.Second)
			}
			return 2 * time.Second
		}
	}); err != nil {
		return notRun, err
	}
	end = time.Now().Add(period + 8*time.Second)
	job := fmt.Sprintf(`{"task_spec":"index","steps":[{"count":%d,"cpu":100,"mem_mb":200,"estimate_ms":30000}]}`, tasks)
	jobs := 0
	for began := time.Now(); time.Since(began) < period; jobs++ {
		if !w.submit("key-acme", fmt.Sprintf("/batch/bbbb0000000000%02x", jobs), job, 10*time.Second) {
			return notRun, fmt.Errorf("a large job was not accepted")
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(jobs+1) / perSecond * float64(time.Second)))))
	}
	time.Sleep(2 * time.Second)
	all, _ := w.running("")
	r.note("%d large jobs accepted; runs on all executors %d", jobs, all)
	time.Sleep(time.Until(end.Add(3 * time.Second)))
	var ids []string
	for i := range 3 {
		id := fmt.Sprintf("cccc0000000000c%d", i)
		if w.submit("key-lab", "/urgent/"+id, smallJob, 10*time.Second) {
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
	}
	if len(ids) == 0 {
		return notRun, fmt.Errorf("no small job was accepted")
	}
	n := w.watchStarved(ids)
	done := 0
	for i := range jobs {
		done += w.completed(fmt.Sprintf("bbbb0000000000%02x", i))
	}
	r.note("%d of %d tasks of the large jobs have completed; largest transaction that arrived: %d bytes", done, jobs*tasks, w.store.largestCall())
	if n > 0 {
		r.note("LOST: %d accepted small jobs have had nothing running for 3 s, on an idle service", n)
		return broken, nil
	}
	return held, nil
}

// started returns how many tasks of a job run or have completed.
func (w *world) started(job string) int {
	_, own := w.running(job)
	return own + w.completed(job)
}

// awaitStarted waits until so many tasks of a job have started.
func (w *world) awaitStarted(job string, n int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.started(job) >= n {
			return true
		}
	}
	return false
}

const (
	borrower = lastingPrefix + "0000000000b1"
	owner    = "cccc0000000000c1"
	hour     = time.Hour
)

// longTasks lets all tasks but those of the first job run for an hour.
func longTasks(e *plat.Executor) {
	e.RunTimeOf = func(task string) time.Duration {
		if strings.HasPrefix(task, "0000") {
			return 2 * time.Second
		}
		return hour
	}
}

// reclaim fills the service with the work of one client account, and hands in a job of
// another one that is within its guarantee.
func reclaim(r *record, trouble bool, path, job string, n int) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	if err := setUp(r, 0, w, 11, longTasks); err != nil {
		return notRun, err
	}
	if trouble {
		if !w.submit("key-acme", path+borrower, job, 10*time.Second) {
			return notRun, fmt.Errorf("the borrower's job was not accepted")
		}
		if !w.awaitStarted(borrower, n, 20*time.Second) {
			return notRun, fmt.Errorf("only %d tasks of the borrower's job have started", w.started(borrower))
		}
		time.Sleep(3 * time.Second)
	}
	all, own := w.running(borrower)
	r.note("before: %d runs on all executors, %d of the borrower's job (client account acme, guaranteed 8)", all, own)
	if !w.submit("key-lab", "/urgent/"+owner, `{"task_spec":"swatch","steps":[{"count":4,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":2000}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the guaranteed job was not accepted")
	}
	confirmed := time.Now()
	const limit = 3400 * time.Millisecond
	for time.Since(confirmed) < 20*time.Second {
		time.Sleep(time.Until(confirmed.Add(time.Since(confirmed).Truncate(850*time.Millisecond) + 850*time.Millisecond)))
		all, own := w.running(borrower)
		r.note("%.2f s after its confirmation: %d of 4 tasks of the guaranteed job (client account lab, 4 of 8 accelerators) have begun; borrower's runs %d, all %d", time.Since(confirmed).Seconds(), w.started(owner), own, all)
		if time.Since(confirmed) > limit && w.started(owner) == 4 {
			break
		}
	}
	if w.started(owner) < 4 {
		r.note("RECLAIM: %d of 4 tasks have begun %.1f s after the confirmation; reclaim_ms is %d", w.started(owner), time.Since(confirmed).Seconds(), limit.Milliseconds())
		return broken, nil
	}
	return held, nil
}

// partlyFreeCase leaves room for one of the four tasks of the guaranteed job.
func partlyFreeCase(r *record, trouble bool) (int, error) {
	return reclaim(r, trouble, "/urgent/", `{"task_spec":"index","steps":[{"count":87,"cpu":1000,"mem_mb":512,"gpu":1,"long_running":true}]}`, 87)
}

// mayMissCase fills the service with a step of which one task may be away.
func mayMissCase(r *record, trouble bool) (int, error) {
	return reclaim(r, trouble, "/batch/", `{"task_spec":"index","steps":[{"count":88,"cpu":1000,"mem_mb":512,"gpu":1,"long_running":true,"may_miss":1}]}`, 88)
}

// rackCase takes away the only executor of the rack that holds a job's data.
func rackCase(r *record, trouble bool) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	if err := setUp(r, 0, w, 11, nil); err != nil {
		return notRun, err
	}
	const dataRack = "r1-2"
	if trouble {
		for _, x := range w.executors {
			if x.rack == dataRack {
				r.note("executor %s, the only one of rack %s, drains", x.id, x.rack)
				if err := x.leave(3 * time.Second); err != nil {
					return notRun, err
				}
				r.note("executor %s has left", x.id)
			}
		}
		time.Sleep(5 * time.Second)
	}
	const job = "cccc0000000000c1"
	if !w.submit("key-lab", "/batch/"+job, `{"task_spec":"index","steps":[{"count":2,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":3600000,"affinity":"`+dataRack+`"}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	if n := w.watchStarved([]string{job}); n > 0 {
		r.note("LOST: the job has had nothing running for 3 s, on an idle service")
		return broken, nil
	}
	return held, nil
}

// goodRun is for how long a run goes on well before its executor crashes.
const goodRun = 15 * time.Second

// blamedCase lets the only executor on which a job can run crash several times, each time after
// the job's task has run well for a while.
func blamedCase(r *record, trouble bool) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	if err := setUp(r, 0, w, 11, longTasks); err != nil {
		return notRun, err
	}
	const job, label = lastingPrefix + "0000000000a1", "r1-2"
	if !w.submit("key-lab", "/batch/"+job, `{"task_spec":"serve","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":3600000,"long_running":true,"constraints":"`+label+`"}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	x := w.executors[slices.IndexFunc(w.executors, func(x *executor) bool { return x.rack == label })]
	for i := range 4 {
		for range 200 {
			if _, own := w.running(job); own == 1 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if _, own := w.running(job); own != 1 {
			r.note("the job's task does not run")
			break
		}
		r.note("executor %s runs %v", x.id, x.running())
		time.Sleep(goodRun)
		if trouble {
			r.note("executor %s crashes, the %d. time, after the run has lasted for %s; it is back 2 s later", x.id, i+1, goodRun)
			if err := x.crash(2 * time.Second); err != nil {
				return notRun, err
			}
		}
	}
	failed := false
	for range 10 {
		time.Sleep(time.Second)
		_, own := w.running(job)
		status, body := w.call(w.fronts[0], "key-lab", "GET", "/batch/"+job, "")
		r.note("GET %s: %d %s; its runs %d", job, status, body, own)
		failed = failed || strings.Contains(body, `"state":"failed"`)
	}
	if failed {
		r.note("LOST: the job is shown as failed, and none of its runs has ended as failed")
		return broken, nil
	}
	return held, nil
}
