package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/platform"
)

// soakSeedsVar names the environment variable that holds the seeds to run: one
// seed, or a range such as 100-149.
const soakSeedsVar = "GYPSUMCRANK_SOAK_SEEDS"

// soakSizeVar names the environment variable that holds the numbers of fronts and
// sides, such as 8,200. The maximum is a few hundred processes.
const soakSizeVar = "GYPSUMCRANK_SOAK_SIZE"

// soakSeeds are the seeds that CI runs: a short run, and each seed that has ever
// failed, with its cause.
var soakSeeds = []uint64{
	1, 2,
	900, // a watch on a silent connection was handed to silent peers, one after another
}

// Limits of one soak run.
const (
	soakDuration   = 7 * time.Second
	soakEndTimeout = 45.0  // seconds for all accepted jobs to complete after the last fault has ended
	soakSize       = "3,4" // fronts and sides
	// processesPerStep is the number of processes for which each round takes one
	// more step.
	processesPerStep = 14
)

// TestSoak runs real processes through series of overlapping faults, and checks
// what callers and executors observe.
func TestSoak(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

func seedsToRun(t *testing.T) []uint64 {
	text := os.Getenv(soakSeedsVar)
	if text == "" {
		return soakSeeds
	}
	from, to, _ := strings.Cut(text, "-")
	a, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatalf("%s=%q: give a seed or a range", soakSeedsVar, text)
	}
	b, err := strconv.ParseUint(to, 10, 64)
	if err != nil {
		b = a
	}
	var out []uint64
	for ; a <= b; a++ {
		out = append(out, a)
	}
	return out
}

// soak is one run: a site, the jobs submitted to it, by ID, and its open faults.
type soak struct {
	*site
	t         *testing.T
	r         *rand.Rand
	accepted  map[string]bool
	inDoubt   map[string]bool // neither accepted nor refused for certain
	cancelled map[string]bool // a cancellation was requested
	refused   map[string]bool // refused for certain: status 429 or 503
	faultEnds map[string]time.Time
	faultAt   map[string]time.Time // when a front, or "store" for all, was last known to be disturbed
	configs   []time.Time          // when each version of the configuration was acknowledged
	closed    bool                 // the data centre dc-0 is closed
	steps     map[string]soakStep  // first step of each job
	crashes   *soakCrashes
	standing  map[string]time.Time // since when a job could run and does not
	largeJobs int                  // that were submitted
}

// soakStep is the first step of a job; the second has soakSecondStep single tasks that need
// one accelerator each.
type soakStep struct {
	count, accelerators int
	gang                bool
}

// milliCPU returns the processors of one task; those of large jobs are small.
func (s soakStep) milliCPU() int {
	if s.accelerators == 0 {
		return 100
	}
	return 1000
}

const soakSecondStep = 2

func newSoak(t *testing.T, seed uint64) *soak {
	return &soak{
		site: &site{dir: t.TempDir(), procs: map[string]*daemon{}, executors: map[string]*plat.Executor{}, checker: plat.NewChecker(), proxy: true, proxies: map[string]*plat.Proxy{}},
		t:    t, r: rand.New(rand.NewPCG(seed, 7)), accepted: map[string]bool{}, inDoubt: map[string]bool{}, cancelled: map[string]bool{},
		refused: map[string]bool{}, faultEnds: map[string]time.Time{}, faultAt: map[string]time.Time{}, crashes: newSoakCrashes(seed), steps: map[string]soakStep{}, standing: map[string]time.Time{},
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	defer s.close()
	size := os.Getenv(soakSizeVar)
	if size == "" {
		size = soakSize
	}
	fronts, sides, _ := strings.Cut(size, ",")
	s.onCrash = s.crashes.count
	if err := s.start([]string{fronts, sides, strconv.Itoa(200 + s.r.IntN(1200))}); err != nil {
		t.Fatal(err)
	}
	for name, e := range s.executors {
		e.SetOnStart(func(running []string) { s.crashes.checkRoom(name, running) })
	}
	turns, odd, values := rand.New(rand.NewPCG(seed, 9)), rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 13))
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		for range 1 + len(s.procs)/processesPerStep {
			s.step()
			s.turnAwayStep(turns, time.Now().Add(time.Duration(1000+turns.IntN(3000))*time.Millisecond))
			s.oddStep(odd)
			s.storeStep(values, time.Now().Add(time.Duration(1000+values.IntN(3000))*time.Millisecond))
		}
		s.endFaults(time.Now())
		s.checkConfig()
		time.Sleep(time.Duration(50+s.r.IntN(250)) * time.Millisecond)
	}
	s.endFaults(time.Now().Add(time.Hour))
	for name := range s.executors {
		s.resize(name, soakCapacity)
	}
	s.silenceOpen()
	s.changeConfig()
	s.checkClosing()
	s.checkConfig()
	s.checkAges()
	s.check()
}

// step submits or cancels a job, or starts a fault.
func (s *soak) step() {
	until := time.Now().Add(time.Duration(200+s.r.IntN(2500)) * time.Millisecond)
	s.crashes.step(s)
	switch s.r.IntN(12) {
	case 0, 1, 2, 3:
		s.submitOne()
	case 4:
		s.cancelOne()
	case 5:
		name := randomKey(s.r, s.procs)
		if _, faulty := s.faultEnds["proc "+name]; !faulty {
			sig := []string{"kill", "stop", "term", "hup"}[s.r.IntN(4)]
			s.faultEnds["proc "+name+" "+sig] = until
			s.faultEnds["proc "+name] = until
			_ = s.signal([]string{name, sig})
		}
	case 6:
		s.faultEnds["store"] = until
		_ = s.setStore([]string{[]string{"busy", "silent", "lost"}[s.r.IntN(3)]})
	case 7:
		s.store.Compact()
	case 8, 9:
		s.changeConfig()
	case 10:
		if s.r.IntN(3) == 0 {
			s.silenceOpen()
		} else {
			s.toggleCentre()
		}
	default:
		name := randomKey(s.r, s.proxies)
		s.faultEnds["link "+name] = until
		s.proxies[name].Set([]plat.ProxyFault{plat.Delay, plat.Reset, plat.OneWay, plat.Silence}[s.r.IntN(4)])
	}
}

// randomKey returns a random key. It sorts the keys first, so that the choice does
// not depend on the iteration order of the map.
func randomKey[V any](r *rand.Rand, m map[string]V) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names[r.IntN(len(names))]
}

// endFaults ends the faults whose time is over; stopped processes continue and
// ended ones are restarted.
func (s *soak) endFaults(now time.Time) {
	for what, until := range s.faultEnds {
		s.disturb(what)
		if now.Before(until) {
			continue
		}
		delete(s.faultEnds, what)
		kind, name, _ := strings.Cut(what, " ")
		name, sig, _ := strings.Cut(name, " ")
		switch {
		case kind == "store" && name == valueLimit:
			s.store.LimitValues(0)
		case kind == "store":
			s.store.SetFault(plat.None)
		case kind == "link":
			s.proxies[name].Set(plat.Pass)
		case sig == "stop":
			_ = s.signal([]string{name, "cont"})
		case sig == "kill" || sig == "term":
			if err := s.restart([]string{name}); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

// disturb notes that a fault affects a front now. The store's faults affect all.
func (s *soak) disturb(what string) {
	kind, name, _ := strings.Cut(what, " ")
	name, _, _ = strings.Cut(name, " ")
	if kind == "store" {
		name = kind
	}
	s.faultAt[strings.TrimSuffix(name, "-link")] = time.Now()
}

// silenceOpen silences all connections that are open.
func (s *soak) silenceOpen() {
	for name, p := range s.proxies {
		p.SilenceOpen()
		s.disturb("link " + name)
	}
}

// changeConfig writes the next version of the configuration. Version N has a queue N,
// and a queue of its own that the next version drops.
func (s *soak) changeConfig() {
	n := len(s.configs)
	routes := `{"name":"q","host":"jobs.example","prefix":"/q/","service":"svc","max_attempts":2,"stretch":3}`
	for i := range n + 1 {
		routes += fmt.Sprintf(`,{"name":"q%d","host":"jobs.example","prefix":"/q%d/","service":"svc"}`, i, i)
	}
	s.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"routes":[%s,{"name":"d%d","host":"jobs.example","prefix":"/d%d/","service":"svc"}],"services":[{"name":"svc"}],"tenants":[{"name":"acme","api_keys":["k1"],"guaranteed":{"gpu":8}}]}`, n+4, routes, n, n))
	s.configs = append(s.configs, time.Now())
}

// Limits of checkConfig and checkClosing.
const (
	configDelay   = 2 * time.Second // within which a change has to be in force
	configContact = 3 * time.Second // after a fault a front counts as disturbed that long
	closeDelay    = 5 * time.Second // within which the closing of a data centre has to be in force
)

// checkConfig checks that each front that is not disturbed follows the newest version
// that was acknowledged configDelay ago.
func (s *soak) checkConfig() {
	n := len(s.configs) - 1
	for n >= 0 && time.Since(s.configs[n]) <= configDelay {
		n--
	}
	for _, f := range s.fronts {
		if n < 0 || time.Since(s.faultAt[f]) <= configContact || time.Since(s.faultAt["store"]) <= configContact {
			continue
		}
		if status, body := s.callAt(f, "GET", fmt.Sprintf("/q%d/", n), ""); status != 200 {
			s.t.Errorf("%s responded with %d to queue %d, in force for %s: %s", f, status, n, time.Since(s.configs[n]), body)
		}
		if status, _ := s.callAt(f, "GET", fmt.Sprintf("/d%d/", n-1), ""); n > 0 && status == 200 {
			s.t.Errorf("%s served queue d%d, dropped %s ago", f, n-1, time.Since(s.configs[n]))
		}
	}
}

// toggleCentre closes a data centre, or reopens it.
func (s *soak) toggleCentre() {
	if s.closed = !s.closed; s.closed {
		_ = s.closeCentre([]string{"dc-0"})
	} else {
		_ = s.reopenCentre([]string{"dc-0"})
	}
}

// checkClosing closes a data centre while work arrives, and checks that nothing starts
// there once that has to be in force. The last faults, silenced connections, are past
// contact by then.
func (s *soak) checkClosing() {
	if !s.closed {
		s.toggleCentre()
	}
	inForce := time.Now().Add(closeDelay)
	for end := time.Now().Add(configContact + closeDelay); time.Now().Before(end); {
		s.submitOne()
		time.Sleep(250 * time.Millisecond)
	}
	for i := range s.executors {
		if e := s.executors[i]; s.centreOf(i) == "dc-0" && e.LastStart().After(inForce) {
			s.t.Errorf("a task started beside %s, %s after its data centre was to be closed", i, e.LastStart().Sub(inForce))
		}
	}
	s.toggleCentre()
}

// centreOf returns the data centre of a process.
func (s *soak) centreOf(name string) string {
	i, _ := strconv.Atoi(name[strings.LastIndex(name, "-")+1:])
	return fmt.Sprintf("dc-%d", i%2)
}

// submitOne submits a new job once, at a random front, which may be faulty.
func (s *soak) submitOne() {
	id := fmt.Sprintf("%016x", s.r.Uint64())
	first := soakStep{1 + s.r.IntN(4), []int{1, 2, 4, 8}[s.r.IntN(4)], s.r.IntN(2) == 0}
	s.submit(id, first, s.fronts[s.r.IntN(len(s.fronts))])
}

// submit submits a job once, at a front, which may be faulty.
func (s *soak) submit(id string, first soakStep, front string) {
	s.steps[id] = first
	s.crashes.setWidth(id, first.accelerators)
	body := fmt.Sprintf(`{"task_spec":"x","steps":[{"count":%d,"cpu":%d,"mem_mb":100,"gpu":%d,"estimate_ms":800,"gang":%v},{"count":%d,"cpu":1000,"mem_mb":10,"gpu":1,"after":[0]}]}`,
		first.count, first.milliCPU(), first.accelerators, first.gang, soakSecondStep)
	switch status, _ := s.callAt(front, "POST", "/q/"+id, body); status {
	case 200:
		s.accepted[id] = true
	case 429, 503:
		s.refused[id] = true
	default:
		s.inDoubt[id] = true
	}
}

func (s *soak) cancelOne() {
	if len(s.accepted) == 0 {
		return
	}
	id := randomKey(s.r, s.accepted)
	s.cancelled[id] = true
	_, _ = s.call("DELETE", "/q/"+id, "")
}

// Limits of the liveness check.
const (
	soakCalm     = 4 * time.Second // after the last disturbance
	soakStanding = 3 * time.Second // that a job may stand although it could run
	// soakCapacity is the number of accelerators of an executor.
	soakCapacity = 8
)

// awaitCalmRuns waits until all accepted jobs have run, once the state is calm, and checks
// that none stands for soakStanding although its capacity is free twice over and less than
// half of all is in use.
func (s *soak) awaitCalmRuns() {
	time.Sleep(soakCalm)
	for end := time.Now().Add(time.Duration(soakEndTimeout * float64(time.Second))); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		free, used, room := map[string]int{}, 0, 0
		running, done := map[string]bool{}, map[string]int{}
		for name, e := range s.executors {
			if e.Down() {
				continue
			}
			free[name] = soakCapacity
			room += soakCapacity
			for _, text := range e.Running() {
				job, step := soakTask(text)
				running[job] = true
				n := 1
				if step == 0 {
					n = s.steps[job].accelerators
				}
				free[name] -= n
				used += n
			}
			for text := range e.Done() {
				job, step := soakTask(text)
				done[fmt.Sprint(job, step)]++
			}
		}
		waiting := false
		for id := range s.accepted {
			st := s.steps[id]
			first := done[fmt.Sprint(id, 0)]
			firstDone := first >= st.count || st.gang && first > 0
			if _, crashing := s.crashing.Load(id); crashing || s.cancelled[id] || firstDone && done[fmt.Sprint(id, 1)] >= soakSecondStep {
				continue
			}
			waiting = true
			need, copies := 1, 0
			if !firstDone {
				need = max(1, st.accelerators)
			}
			for _, n := range free {
				copies += n / need
			}
			wanted := 2
			if !firstDone && st.gang {
				wanted = 2 * st.count
			}
			if running[id] || copies < wanted || 2*used >= room {
				delete(s.standing, id)
			} else if since, ok := s.standing[id]; !ok {
				s.standing[id] = time.Now()
			} else if time.Since(since) > soakStanding {
				s.t.Errorf("%s could run and stands since %s; %d of %d accelerators are in use", id, time.Since(since), used, room)
				return
			}
		}
		if !waiting {
			return
		}
	}
}

// soakTask returns the job and the step of a task.
func soakTask(text string) (job string, step int) {
	n, _ := task.ParseName(text) // the executor's orders have names from the planner
	return n.Job, n.Step
}

// check checks that every accepted job completes unless it was cancelled, that no
// refused job started, and that the checker saw no violation.
func (s *soak) check() {
	s.awaitCalmRuns()
	for id := range s.accepted {
		if s.cancelled[id] {
			continue
		}
		if _, crashing := s.crashing.Load(id); crashing {
			if err := s.awaitState([]string{id, "failed", fmt.Sprint(soakEndTimeout)}); err != nil {
				s.t.Errorf("a job that crashes its executors was not given up: %v", err)
			}
			continue
		}
		if err := s.awaitState([]string{id, "completed", fmt.Sprint(soakEndTimeout)}); err != nil {
			s.t.Errorf("accepted job did not complete: %v", err)
			break
		}
	}
	for id := range s.refused {
		if s.checker.Started(id) {
			s.t.Errorf("job %s was refused but started", id)
		}
	}
	for _, violation := range append(s.checker.Violations(), s.crashes.violations...) {
		s.t.Error(violation)
	}
	if s.t.Failed() {
		s.logProcesses()
	}
}

// logProcesses logs the output of all processes.
func (s *soak) logProcesses() {
	for name, d := range s.procs {
		s.t.Logf("== %s\n%s", name, d.out.String())
	}
}
