package main

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// The cases of this file are in the report, but none of the five.

// lastingCase takes away the executor of a task that runs until it is cancelled, while a wide
// gang waits for all the others.
func lastingCase(r *record, trouble bool) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	const job, filler, wide = lastingPrefix + "0000000000a1", "bbbb0000000000b1", "cccc0000000000c1"
	if err := setUp(r, 0, w, 11, func(e *plat.Executor) {
		e.RunTimeOf = func(task string) time.Duration {
			switch {
			case strings.HasPrefix(task, "0000"):
				return 2 * time.Second
			case strings.HasPrefix(task, filler):
				return 100 * time.Second
			}
			return hour
		}
	}); err != nil {
		return notRun, err
	}
	if !w.submit("key-acme", "/batch/"+filler, `{"task_spec":"index","steps":[{"count":66,"cpu":10000,"mem_mb":10000,"gpu":1,"estimate_ms":2000,"anti_affinity":6}]}`, 10*time.Second) || !w.awaitStarted(filler, 66, 25*time.Second) {
		return notRun, fmt.Errorf("the filler has not started")
	}
	if !w.submit("key-lab", "/batch/"+job, `{"task_spec":"serve","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":3600000,"long_running":true}]}`, 10*time.Second) || !w.awaitStarted(job, 1, 15*time.Second) {
		return notRun, fmt.Errorf("the lasting job has not started")
	}
	if trouble && !w.submit("key-acme", "/normal/"+wide, `{"task_spec":"match","steps":[{"count":10,"cpu":50000,"mem_mb":50000,"gpu":8,"estimate_ms":5000,"gang":true}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the wide job was not accepted")
	}
	time.Sleep(10 * time.Second)
	for _, x := range w.executors {
		if slices.ContainsFunc(x.running(), func(name string) bool { return strings.HasPrefix(name, job) }) {
			r.note("executor %s, which runs the task that lasts, drains", x.id)
			if err := x.leave(3 * time.Second); err != nil {
				return notRun, err
			}
			r.note("executor %s has left", x.id)
			break
		}
	}
	ended, ran := time.Now(), false
	for time.Since(ended) < 25*time.Second {
		time.Sleep(time.Second)
		all, own := w.running(job)
		if time.Since(ended) > 10*time.Second {
			ran = ran || own > 0
		}
		status, body := w.call(w.fronts[0], "key-lab", "GET", "/batch/"+job, "")
		r.note("%.1f s after the end of its last run: %d %s; runs of the task that lasts %d; accelerators in use %d of 80", time.Since(ended).Seconds(), status, body, own, all)
	}
	if !ran {
		r.note("LOST: the task that lasts has not run from 10 s to 25 s after its last run, with room for it and no disturbance near")
		return broken, nil
	}
	return held, nil
}

// rackGangCase has a long task in each rack while a gang of whole workers for one rack comes.
func rackGangCase(r *record, trouble bool) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	if err := setUp(r, 0, w, 11, longTasks); err != nil {
		return notRun, err
	}
	if trouble {
		for _, rack := range []string{"r1-1", "r1-3", "r1-5"} {
			id := "bbbb0000000000" + strings.ReplaceAll(rack[1:], "-", "")
			if !w.submit("key-acme", "/batch/"+id, `{"task_spec":"index","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":3600000,"constraints":"`+rack+`"}]}`, 10*time.Second) || !w.awaitStarted(id, 1, 20*time.Second) {
				return notRun, fmt.Errorf("the task for rack %s has not started", rack)
			}
		}
	}
	const job = "cccc0000000000c1"
	if !w.submit("key-lab", "/batch/"+job, `{"task_spec":"match","steps":[{"count":3,"cpu":52000,"mem_mb":75000,"gpu":8,"estimate_ms":3600000,"gang":true,"same_rack":true}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	for range 17 {
		time.Sleep(time.Second)
		all, own := w.running(job)
		r.note("runs of the gang %d, on all executors %d; 8 of 11 executors have nothing else to do", own, all)
	}
	if w.started(job) == 0 {
		r.note("LOST: the gang has had nothing running, with room for it twice over and under half of the service in use")
		return broken, nil
	}
	return held, nil
}

// innocentCase lets three executors crash, each while the task of the only job runs there.
func innocentCase(r *record, trouble bool) (int, error) {
	w, err := newWorld(r, maxValue)
	if err != nil {
		return notRun, err
	}
	defer w.close()
	if err := setUp(r, 0, w, 11, longTasks); err != nil {
		return notRun, err
	}
	const job = "cccc0000000000c1"
	if !w.submit("key-lab", "/batch/"+job, `{"task_spec":"index","steps":[{"count":1,"cpu":1000,"mem_mb":512,"gpu":1,"estimate_ms":30000}]}`, 10*time.Second) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	var crashed atomic.Int64
	for i, after := range []time.Duration{2400 * time.Millisecond, 700 * time.Millisecond, 600 * time.Millisecond} {
		if !w.awaitStarted(job, 1, 15*time.Second) {
			r.note("the job's task does not run")
			break
		}
		at := slices.IndexFunc(w.executors, func(x *executor) bool {
			return slices.ContainsFunc(x.running(), func(name string) bool { return strings.HasPrefix(name, job) })
		})
		time.Sleep(after)
		if !trouble || at < 0 {
			continue
		}
		x := w.executors[at]
		r.note("executor %s crashes %s after the task's start %d; it is back 2 s later", x.id, after, i+1)
		crashed.Add(1)
		if err := x.crash(2 * time.Second); err != nil {
			return notRun, err
		}
	}
	failed := false
	for range 8 {
		time.Sleep(time.Second)
		_, own := w.running(job)
		status, body := w.call(w.fronts[0], "key-lab", "GET", "/batch/"+job, "")
		r.note("GET %s: %d %s; its runs %d", job, status, body, own)
		failed = failed || strings.Contains(body, `"state":"failed"`)
	}
	if failed {
		r.note("LOST: the job is shown as failed after %d crashes, and none of its runs has ended as failed", crashed.Load())
		return broken, nil
	}
	return held, nil
}
