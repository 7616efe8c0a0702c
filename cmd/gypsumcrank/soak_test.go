package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// soakSeedsVar names the variable that holds the seeds to run, such as 100-149.
const soakSeedsVar = "GYPSUMCRANK_SOAK_SEEDS"

// soakSizeVar names the variable that holds the numbers of fronts and sides,
// such as 8,200; a few hundred processes are the most.
const soakSizeVar = "GYPSUMCRANK_SOAK_SIZE"

// The seeds of CI: a short run, and each seed that ever failed with its cause.
var soakSeeds = []uint64{1, 2}

// Bounds of one soak.
const (
	soakTime = 7 * time.Second
	soakEnd  = 45.0  // seconds in which all accepted jobs have to end once all is well again
	soakSize = "3,4" // fronts and sides
	// crowd is the number of processes for which one more thing happens at a time.
	crowd = 14
)

// TestSoak runs real processes through series of faults that overlap, and
// checks what callers and executors see.
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

// soak is one run: a site, and what was asked of it.
type soak struct {
	*site
	t        *testing.T
	r        *rand.Rand
	accepted map[string]bool
	doubtful map[string]bool // some submit had no certain answer
	gone     map[string]bool // cancelled
	refused  map[string]bool // every submit was refused for certain
	heal     map[string]time.Time
	mute     map[string]*atomic.Bool
}

func runSoak(t *testing.T, seed uint64) {
	judge := plat.NewChecker()
	s := &soak{
		site: &site{dir: t.TempDir(), procs: map[string]*daemon{}, execs: map[string]*plat.Executor{}, judge: judge, proxy: true, links: map[string]*plat.Proxy{}},
		t:    t, r: rand.New(rand.NewPCG(seed, 7)), accepted: map[string]bool{}, doubtful: map[string]bool{}, gone: map[string]bool{},
		refused: map[string]bool{}, heal: map[string]time.Time{}, mute: map[string]*atomic.Bool{},
	}
	defer s.close()
	size := os.Getenv(soakSizeVar)
	if size == "" {
		size = soakSize
	}
	fronts, sides, _ := strings.Cut(size, ",")
	if err := s.start([]string{fronts, sides, strconv.Itoa(200 + s.r.IntN(1200))}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		for range 1 + len(s.procs)/crowd {
			s.act()
		}
		s.mend(time.Now())
		time.Sleep(time.Duration(50+s.r.IntN(250)) * time.Millisecond)
	}
	s.mend(time.Now().Add(time.Hour))
	s.check(judge)
}

// act asks for something, or breaks something.
func (s *soak) act() {
	until := time.Now().Add(time.Duration(200+s.r.IntN(2500)) * time.Millisecond)
	switch s.r.IntN(10) {
	case 0, 1, 2, 3:
		s.ask()
	case 4:
		s.cancelOne()
	case 5:
		name := pick(s.r, s.procs)
		if _, broken := s.heal["proc "+name]; !broken {
			sig := []string{"kill", "stop", "term", "hup"}[s.r.IntN(4)]
			s.heal["proc "+name+" "+sig] = until
			s.heal["proc "+name] = until
			_ = s.signal([]string{name, sig})
		}
	case 6:
		s.heal["store"] = until
		_ = s.setStore([]string{[]string{"busy", "silent", "lost"}[s.r.IntN(3)]})
	case 7:
		s.store.Compact()
	default:
		name := pick(s.r, s.links)
		s.heal["link "+name] = until
		s.links[name].Set([]plat.ProxyFault{plat.Delay, plat.Reset, plat.OneWay, plat.Silence}[s.r.IntN(4)])
	}
}

// pick draws a key; the order of a map must not decide.
func pick[V any](r *rand.Rand, m map[string]V) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names[r.IntN(len(names))]
}

// mend takes back the faults whose time is over.
func (s *soak) mend(now time.Time) {
	for what, until := range s.heal {
		if now.Before(until) {
			continue
		}
		delete(s.heal, what)
		kind, name, _ := strings.Cut(what, " ")
		name, sig, _ := strings.Cut(name, " ")
		switch {
		case kind == "store":
			s.store.SetFault(plat.None)
		case kind == "link":
			s.links[name].Set(plat.Pass)
		case sig == "stop":
			_ = s.signal([]string{name, "cont"})
		case sig == "kill" || sig == "term":
			if err := s.restart([]string{name}); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

// ask submits a job once, at a front that may be in trouble.
func (s *soak) ask() {
	id := fmt.Sprintf("%016x", s.r.Uint64())
	body := fmt.Sprintf(`{"task_spec":"x","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"gpu":%d,"estimate_ms":800,"gang":%v},{"count":2,"cpu":1000,"mem_mb":10,"gpu":1,"after":[0]}]}`,
		1+s.r.IntN(4), []int{1, 2, 4, 8}[s.r.IntN(4)], s.r.IntN(2) == 0)
	front := s.fronts[s.r.IntN(len(s.fronts))]
	switch status, _ := s.callAt(front, "POST", "/q/"+id, body); status {
	case 200:
		s.accepted[id] = true
	case 429, 503:
		s.refused[id] = true
	default:
		s.doubtful[id] = true
	}
}

func (s *soak) cancelOne() {
	if len(s.accepted) == 0 {
		return
	}
	id := pick(s.r, s.accepted)
	s.gone[id] = true
	_, _ = s.call("DELETE", "/q/"+id, "")
}

// check asks for what was promised.
func (s *soak) check(judge *plat.Checker) {
	for id := range s.accepted {
		if s.gone[id] {
			continue
		}
		if err := s.shown([]string{id, "completed", fmt.Sprint(soakEnd)}); err != nil {
			s.t.Errorf("accepted job: %v", err)
			break
		}
	}
	for id := range s.refused {
		if judge.Started(id) {
			s.t.Errorf("job %s was refused and started", id)
		}
	}
	for _, b := range judge.Violations() {
		s.t.Error(b)
	}
	if s.t.Failed() {
		for name, d := range s.procs {
			s.t.Logf("== %s\n%s", name, d.out.String())
		}
	}
}
