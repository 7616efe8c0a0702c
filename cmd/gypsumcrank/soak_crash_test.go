package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumcrank/core/task"
)

// Bounds of the users' page on executors that crash or shrink.
const (
	soakCrashLimit = 3 // executors that crashed under a task
	soakStartLimit = 3 // starts after that
	// soakShrinkDelay is how long after an executor has shrunk its new size counts: contact
	// and a heartbeat.
	soakShrinkDelay = 3*time.Second + 300*time.Millisecond
)

// soakCrashes checks the starts of tasks that crash executors, and the room of executors
// that change their size. The executors call it.
type soakCrashes struct {
	r          *rand.Rand // of its own, so that older seeds repeat
	mu         sync.Mutex
	widths     map[string]int // accelerators of a task in the first step, by job
	crashes    map[string]int // by task
	sizes      map[string][]roomFrom
	violations []string
}

// roomFrom is what an executor has from a time on.
type roomFrom struct {
	from         time.Time
	accelerators int
}

func newSoakCrashes(seed uint64) *soakCrashes {
	return &soakCrashes{r: rand.New(rand.NewPCG(seed, 8)), widths: map[string]int{}, crashes: map[string]int{}, sizes: map[string][]roomFrom{}}
}

func (c *soakCrashes) setWidth(job string, accelerators int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.widths[job] = accelerators
}

// step submits a job whose first task crashes each executor that starts it, or changes
// the size of an executor, once in a while. The stand-in's gangs don't break, so the
// job is none.
func (c *soakCrashes) step(s *soak) {
	switch c.r.IntN(16) {
	case 0:
		id := fmt.Sprintf("%016x", c.r.Uint64())
		s.crashing.Store(id, true)
		s.submit(id, soakStep{1 + c.r.IntN(3), 1 + c.r.IntN(4), false}, s.fronts[c.r.IntN(len(s.fronts))])
	case 1:
		s.resize(randomKey(c.r, s.executors), 1+c.r.IntN(soakCapacity))
	}
}

// count counts a crash under a task, and its starts after soakCrashLimit of them.
func (c *soakCrashes) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes[name]++; c.crashes[name] == soakCrashLimit+soakStartLimit {
		c.violations = append(c.violations, fmt.Sprintf("%s was started %d times after %d executors had crashed under it", name, soakStartLimit, soakCrashLimit))
	}
}

// resize changes the size of an executor while it runs.
func (s *soak) resize(name string, accelerators int) {
	s.crashes.mu.Lock()
	s.crashes.sizes[name] = append(s.crashes.sizes[name], roomFrom{time.Now(), accelerators})
	s.crashes.mu.Unlock()
	s.executors[name].Resize(task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: accelerators})
}

// checkRoom checks that the running tasks fit into the largest size that an executor has had
// within soakShrinkDelay.
func (c *soakCrashes) checkRoom(name string, running []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := 0
	for _, text := range running {
		if job, step := soakTask(text); step == 0 {
			used += c.widths[job]
		} else {
			used++
		}
	}
	room := soakCapacity
	if sizes := c.sizes[name]; len(sizes) > 0 {
		room = sizes[len(sizes)-1].accelerators
		for i, size := range sizes {
			if before := append([]roomFrom{{accelerators: soakCapacity}}, sizes...)[i]; time.Since(size.from) < soakShrinkDelay {
				room = max(room, before.accelerators)
			}
		}
	}
	if used > room {
		c.violations = append(c.violations, fmt.Sprintf("a start brings %s to %d of %d accelerators: %v", name, used, room, running))
	}
}
