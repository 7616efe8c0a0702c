package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
)

// finishTime is finish_s of the settings, and idleLimit the 3 s of the rule LOST.
const (
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
)

// worker is an executor of the small site: 128 cores, 256 GB and 8 accelerators.
var worker = task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}

// zones are the data centres of the small site.
var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

// startSite starts 3 fronts and 11 sides in three data centres, with up to 3 executors a rack.
func (r *rig) startSite(configure func(*plat.Executor)) bool {
	for _, zone := range zones {
		if err := r.addFront(zone); err != nil {
			r.say("front: %v", err)
			return false
		}
	}
	for i := range 11 {
		zone := zones[i/4]
		rack := fmt.Sprintf("r%d-%d", 1+i/4, 1+i%4/3)
		if err := r.addSide(zone, r.serviceOf(i), rack, worker, configure); err != nil {
			r.say("side: %v", err)
			return false
		}
	}
	return r.awaitReady()
}

// serviceOf returns the service of the i-th side.
func (r *rig) serviceOf(i int) string {
	if i == r.oldSide {
		return "studio-old"
	}
	return "studio"
}

// watchIdle watches a job for a time. It reports whether nothing of the job ran for longer than a
// limit, which is at least idleLimit, although the job had not ended.
func (r *rig) watchIdle(queue, id string, limit, watch time.Duration) bool {
	var idleSince time.Time
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		state := r.state(queue, id)
		n := r.running(id)
		r.say("GET /%s/%s -> %s, tasks at work on all executors: %d", queue, id, state, n)
		ended := strings.Contains(state, "completed") || strings.Contains(state, "failed")
		if n > 0 || ended {
			idleSince = time.Time{}
			if ended {
				return false
			}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > limit {
			return true
		}
	}
	return false
}

// rackGone takes away the only executor of the rack that a job names as that of its data, while all
// others are idle.
func rackGone(r *rig, trouble bool) int {
	const id = "00000000000a0001"
	if !r.startSite(func(e *plat.Executor) { e.RunTime = 20 * time.Second }) {
		return failed
	}
	if !r.submit("q1", id, `{"task_spec":"pair","steps":[{"count":2,"cpu":11000,"mem_mb":23000,"gpu":1,"estimate_ms":20000,"affinity":"r1-2"}]}`) {
		return failed
	}
	traffic := time.Now()
	home := r.sides[3]
	if !await(5*time.Second, func() bool { e, _ := home.current(); return len(e.Running()) == 2 }) {
		r.say("the job did not start in its rack")
		return failed
	}
	r.say("both tasks run on the only executor of r1-2")
	if trouble {
		time.Sleep(2 * time.Second)
		home.setState("draining")
		r.say("the executor of r1-2 reports draining, remaining_ms 2000")
		time.Sleep(3 * time.Second)
		status, err := home.deregister()
		r.say("the executor of r1-2 deregisters: %d %v, and ends", status, err)
		home.end()
	}
	time.Sleep(time.Until(traffic.Add(finishTime)))
	if r.watchIdle("q1", id, 3*idleLimit, 20*time.Second) {
		r.say("LOST: for over %s nothing of the job ran, while 10 executors with room for 8 tasks each were idle; the limit is %s", 3*idleLimit, idleLimit)
		return broken
	}
	return held
}

// lastingBehindReservation hands in a large gang that has to wait, and then a task that lasts and has
// room twice over.
func lastingBehindReservation(r *rig, trouble bool) int {
	const filler, gang, lasting = "00000000000b000", "00000000000b0010", "00000000000b0020"
	runTime := func(name string) time.Duration {
		if strings.HasPrefix(name, lasting) {
			return time.Hour
		}
		return 70 * time.Second
	}
	if !r.startSite(func(e *plat.Executor) { e.RunTimeOf = runTime }) {
		return failed
	}
	for i := range 10 {
		if !r.submit("q1", fmt.Sprintf("%s%x", filler, i), `{"task_spec":"pair","steps":[{"count":1,"cpu":52000,"mem_mb":75000,"gpu":8,"estimate_ms":70000}]}`) {
			return failed
		}
	}
	time.Sleep(time.Second)
	if trouble {
		if !r.submit("q1", gang, `{"task_spec":"pair","steps":[{"count":3,"cpu":52000,"mem_mb":75000,"gpu":8,"estimate_ms":70000,"gang":true}]}`) {
			return failed
		}
	}
	time.Sleep(8 * time.Second)
	if !r.submit("q2", lasting, `{"task_spec":"serve","steps":[{"count":1,"cpu":11000,"mem_mb":23000,"gpu":4,"estimate_ms":600000,"long_running":true}]}`) {
		return failed
	}
	time.Sleep(6 * time.Second)
	if r.watchIdle("q2", lasting, 3*idleLimit, 15*time.Second) {
		r.say("LOST: a task that lasts did not run for 6 s and then over %s, while an executor had room for it twice over; the limit is %s", 3*idleLimit, idleLimit)
		return broken
	}
	return held
}

// recordTooLarge lets all machines with executors lose power under a large job.
func recordTooLarge(r *rig, trouble bool) int {
	const large, small = "00000000000c0001", "00000000000c0002"
	onLargeValue = func(key string, size int) { r.say("the store refuses a value of %d bytes under %s", size, key) }
	if !r.startSite(func(e *plat.Executor) {
		e.RunTimeOf = func(name string) time.Duration {
			if strings.HasPrefix(name, small) {
				return time.Second
			}
			return 25 * time.Second
		}
		e.Checkpoints = func(name string) bool { return strings.HasPrefix(name, large) }
	}) {
		return failed
	}
	if !r.submit("q2", large, `{"task_spec":"index","steps":[{"count":5000,"cpu":200,"mem_mb":400,"estimate_ms":25000,"checkpointing":true}]}`) {
		return failed
	}
	if !await(20*time.Second, func() bool { return r.running(large) == 5000 }) {
		r.say("%d of 5000 tasks run", r.running(large))
		return failed
	}
	r.say("all 5000 tasks run")
	time.Sleep(4 * time.Second)
	if trouble {
		r.say("all side machines lose power, and are back after 1.5 s")
		var down sync.WaitGroup
		for _, m := range r.sides {
			down.Go(func() {
				m.end()
				m.kill()
			})
		}
		down.Wait()
		time.Sleep(1500 * time.Millisecond)
		for _, m := range r.sides {
			if m.start() != nil || m.begin("") != nil {
				return failed
			}
		}
		time.Sleep(12 * time.Second)
	}
	if !r.submit("q2", small, `{"task_spec":"index","steps":[{"count":1,"cpu":200,"mem_mb":400,"estimate_ms":1000}]}`) {
		return failed
	}
	r.say("largest value stored so far: %d bytes", largestValue.Load())
	time.Sleep(finishTime)
	r.say("tasks of the large job at work: %d", r.running(large))
	if r.watchIdle("q2", small, 3*idleLimit, 15*time.Second) {
		r.say("LOST: for over %s nothing of the job ran, while all executors had room; the limit is %s", 3*idleLimit, idleLimit)
		return broken
	}
	return held
}

// guaranteeHalfStarted lets another tenant fill the site with urgent tasks that last, but for the
// room of one task, and then hands in an urgent job of a tenant within its guarantee.
func guaranteeHalfStarted(r *rig, trouble bool) int {
	const others, own = "00000000000d000", "00000000000d0010"
	const tasks, filled = 4, 43
	if !r.startSite(func(e *plat.Executor) {
		e.RunTimeOf = func(name string) time.Duration {
			if strings.HasPrefix(name, own) {
				return 30 * time.Second
			}
			return time.Hour
		}
	}) {
		return failed
	}
	runningOthers := func() int { return r.running(others+"1") + r.running(others+"2") + r.running(others+"3") }
	if trouble {
		r.key = keyOther
		for i, count := range []int{21, 21, 1} {
			if !r.submit("q0", fmt.Sprintf("%s%d", others, i+1), fmt.Sprintf(`{"task_spec":"serve","steps":[{"count":%d,"cpu":15000,"mem_mb":31000,"gpu":2,"estimate_ms":600000,"long_running":true}]}`, count)) {
				return failed
			}
		}
		r.key = apiKey
		if !await(5*time.Second, func() bool { return runningOthers() == filled }) {
			r.say("the tasks of the other tenant did not start: %d", runningOthers())
			return failed
		}
		r.say("%d urgent tasks of tenant birch, which has no guarantee, use 86 of 88 accelerators", filled)
		time.Sleep(8 * time.Second)
	}
	if !r.submit("q0", own, `{"task_spec":"render","steps":[{"count":4,"cpu":15000,"mem_mb":31000,"gpu":2,"estimate_ms":30000}]}`) {
		return failed
	}
	accepted := time.Now()
	begun := 0
	for time.Since(accepted) < 20*time.Second && begun < tasks {
		time.Sleep(400 * time.Millisecond)
		begun = max(begun, r.running(own))
		r.say("%.1f s after the confirmation %d of 4 tasks of tenant acme (guaranteed 8, needs 8) have begun; birch runs %d", time.Since(accepted).Seconds(), begun, runningOthers())
	}
	if begun < tasks {
		r.say("RECLAIM: after 20 s the job has not begun all tasks of its first step; reclaim_ms is 3400")
		return broken
	}
	return held
}

// serviceReplaced loses the last executor of a service for good, after the operator has sent its
// queue to another service. Without the disruption that executor leaves in good order.
func serviceReplaced(r *rig, trouble bool) int {
	const id = "00000000000e0001"
	r.oldSide = 10
	if !r.startSite(func(e *plat.Executor) { e.RunTime = 12 * time.Second }) {
		return failed
	}
	if !r.submit("qr", id, `{"task_spec":"pair","steps":[{"count":1,"cpu":11000,"mem_mb":23000,"gpu":1,"estimate_ms":12000}]}`) {
		return failed
	}
	traffic := time.Now()
	old := r.sides[r.oldSide]
	if !await(5*time.Second, func() bool { return r.running(id) == 1 }) {
		r.say("the job did not start")
		return failed
	}
	r.say("the job runs on the only executor of studio-old")
	time.Sleep(time.Second)
	r.store.Put("op/config", fmt.Appendf(nil, config, 9, "studio"))
	r.say("version 9 of the configuration is confirmed: it sends the queue qr to studio")
	time.Sleep(3 * time.Second)
	if trouble {
		r.say("the side machine of studio-old is lost for good")
		old.end()
		old.kill()
	} else {
		old.setState("draining")
		r.say("the executor of studio-old reports draining, remaining_ms 2000")
		time.Sleep(3 * time.Second)
		status, err := old.deregister()
		r.say("the executor of studio-old deregisters: %d %v, and ends", status, err)
		old.end()
	}
	time.Sleep(time.Until(traffic.Add(finishTime)) + 6*time.Second) // and a lease of 6 s
	if r.watchIdle("qr", id, 5*idleLimit, 25*time.Second) {
		r.say("LOST: for over %s nothing of the job ran, while 10 executors of studio were idle; the limit is %s", 5*idleLimit, idleLimit)
		return broken
	}
	return held
}
