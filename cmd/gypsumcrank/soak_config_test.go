package main

import (
	"context"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/store"
	"gypsumcrank/platform"
)

// turnAwayOdds is one in how many steps of a soak turns half of the fronts away.
const turnAwayOdds = 24

// turnAwayStep makes the store turn half of the fronts away, once in a while. It has random
// numbers of its own, so that older seeds repeat.
func (s *soak) turnAwayStep(r *rand.Rand, until time.Time) {
	if r.IntN(turnAwayOdds) > 0 {
		return
	}
	for _, i := range r.Perm(len(s.fronts))[:len(s.fronts)/2] {
		s.turnAway(s.fronts[i])
		s.faultEnds["link "+s.fronts[i]] = until
	}
}

// turnAway makes the store refuse a front's calls.
func (s *soak) turnAway(front string) { s.proxies[front].Set(plat.Reset) }

var admittedByOld = regexp.MustCompile(`msg=admitted_by_old_config .*config_age=(\S+) max_age=(\S+)`)

// checkAges checks by how old a configuration callers were admitted. The settings of the
// soak allow no stretch.
func (s *soak) checkAges() {
	for name, d := range s.procs {
		for _, m := range admittedByOld.FindAllStringSubmatch(d.out.String(), -1) {
			age, err := time.ParseDuration(m[1])
			if err != nil {
				s.t.Fatal(err)
			}
			limit, err := time.ParseDuration(m[2])
			if err != nil {
				s.t.Fatal(err)
			}
			if age > limit {
				s.t.Errorf("%s admitted a caller by a configuration that was last confirmed %s ago; the maximum is %s", name, age, limit)
			}
		}
	}
}

// allRegistered reports whether the store holds the addresses of all fronts.
func (s *soak) allRegistered() bool {
	keys, _, err := platform.NewKV(s.storeAddr).List(context.Background(), store.FrontRoot())
	return err == nil && len(keys) == len(s.fronts)
}

// Guards against fronts that go on with an old configuration while the store turns them
// away, as on days of Lonja and Bazaarlink: 8 fronts, the served half was frozen once.
func TestTurnedAwayFrontsFollowTheConfiguration(t *testing.T) {
	t.Parallel()
	s := newSoak(t, 1)
	defer s.close()
	if err := s.start([]string{"8", "2", "500"}); err != nil {
		t.Fatal(err)
	}
	if err := s.await(5, "fronts registered", s.allRegistered); err != nil {
		t.Fatal(err)
	}
	turnedAway, served := s.fronts[:4], s.fronts[4:]
	for _, f := range turnedAway {
		s.turnAway(f)
	}
	for _, f := range served {
		if err := s.signal([]string{f, "stop"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for _, f := range served {
		if err := s.signal([]string{f, "cont"}); err != nil {
			t.Fatal(err)
		}
		s.disturb("proc " + f)
	}
	for end := time.Now().Add(configContact + 5*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		s.changeConfig()
		s.checkConfig()
	}
	s.checkAges()
	if t.Failed() {
		s.logProcesses()
	}
}
