// Package fleet is an entry's view of the agents: who they are, how they are,
// and which of them should get the next request.
//
// An agent beats to one home entry only. That entry passes on what changes,
// so the cost of a view grows with changes and not with agents times entries.
package fleet

import (
	"hash/fnv"
	"sort"
	"strconv"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/life"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Times of the view.
const (
	// MinHeartbeatInterval is the shortest time between an agent's beats.
	MinHeartbeatInterval = clock.Second
	// MinSilenceTimeout is the least time after which a quiet agent counts as silent.
	MinSilenceTimeout = 3 * clock.Second
	// HomeSilenceTimeout is how long an agent's home may be quiet before its agents
	// count as silent; they have moved to another home long before.
	HomeSilenceTimeout = 6 * clock.Second
	// RemoveAfter is when a silent agent is dropped from the view.
	RemoveAfter = 10 * clock.Minute
	silentBeats = 3
)

// beatBytes is what one beat costs the entry on the wire, both ways.
const beatBytes = 420

// beatBudget is what an entry spends on beats, in bytes per second.
const beatBudget = 3500

// HeartbeatInterval gives the time between beats when an entry is home to n agents, so
// that all of them together stay inside the entry's share of the network.
func HeartbeatInterval(n int) clock.Millis {
	return max(MinHeartbeatInterval, clock.Millis(n)*beatBytes*clock.Second/beatBudget)
}

// Agent is one agent as this entry sees it.
type Agent struct {
	report proto.ReportMsg
	home   string
	state  life.EndpointState
	heard  clock.Millis
	since  clock.Millis
	silent clock.Millis
	beat   clock.Millis
	health health
}

// Report is the last full report.
func (a *Agent) Report() proto.ReportMsg { return a.report }

// State is the endpoint's state in its life cycle.
func (a *Agent) State() life.EndpointState { return a.state }

// Home is the entry that the agent beats to.
func (a *Agent) Home() string { return a.home }

// LastContact is when the agent, or its home, was last heard.
func (a *Agent) LastContact() clock.Millis { return a.heard }

// FirstSeen is when the agent's present life was first heard of.
func (a *Agent) FirstSeen() clock.Millis { return a.since }

// SilentSince is when the agent fell silent, or 0.
func (a *Agent) SilentSince() clock.Millis { return a.silent }

// Ref names the agent in its present life.
func (a *Agent) Ref() spec.AgentRef {
	return spec.AgentRef{Agent: a.report.Agent, Incarnation: a.report.Incarnation, Addr: a.report.Addr}
}

// Usable tells whether new work may be sent.
func (a *Agent) Usable() bool { return a.state == life.Ready || a.state == life.Probing }

// Fleet is the view. Make it with New; it belongs to one goroutine.
type Fleet struct {
	self   string
	agents map[string]*Agent
	homes  map[string]clock.Millis
}

// New makes an empty view of the entry named self.
func New(self string) *Fleet {
	return &Fleet{self: self, agents: make(map[string]*Agent), homes: make(map[string]clock.Millis)}
}

// Get finds an agent by its name.
func (f *Fleet) Get(name string) (*Agent, bool) {
	a, ok := f.agents[name]
	return a, ok
}

// All lists the agents by name.
func (f *Fleet) All() []*Agent {
	out := make([]*Agent, 0, len(f.agents))
	for _, a := range f.agents {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].report.Agent < out[j].report.Agent })
	return out
}

// HomeCount is the number of agents at home here.
func (f *Fleet) HomeCount() int {
	n := 0
	for _, a := range f.agents {
		if a.home == f.self && a.state != life.Silent {
			n++
		}
	}
	return n
}

func newer(a, b proto.ReportMsg) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq >= b.Seq
}

// Report takes in a full report that came by way of home. It returns false
// for one that is older than what is known.
func (f *Fleet) Report(now clock.Millis, r proto.ReportMsg, home string) bool {
	a, ok := f.agents[r.Agent]
	if !ok {
		a = &Agent{state: life.Silent}
		f.agents[r.Agent] = a
	}
	if ok && !newer(r, a.report) {
		return false
	}
	if a.report.Incarnation != r.Incarnation {
		a.since = now
		a.health = health{}
	}
	if r.Load < r.Worker.Slots {
		a.health.full = 0
	}
	a.report = r
	a.home = home
	a.alive(now)
	return true
}

func (a *Agent) alive(now clock.Millis) {
	a.heard = now
	a.silent = 0
	trigger := life.Report
	if a.report.Leaving {
		trigger = life.Leave
	}
	a.fire(trigger)
}

// fire moves the state on where the life cycle lets it; Probing stays until
// the probe's result is in.
func (a *Agent) fire(trigger life.Trigger) {
	if a.state == life.Probing && trigger == life.Report {
		return
	}
	if next, err := life.Endpoints.Next(a.state, trigger); err == nil {
		a.state = next
	}
}

// Heartbeat notes that an agent at home here is alive. It returns false if a full
// report is wanted.
func (f *Fleet) Heartbeat(now clock.Millis, m proto.ReportMsg, beat clock.Millis) bool {
	a, ok := f.agents[m.Agent]
	if !ok || a.home != f.self || a.report.Incarnation != m.Incarnation || a.report.Seq != m.Seq {
		return false
	}
	a.beat = beat
	a.alive(now)
	return true
}

// HomeAlive notes that another entry is alive, and with it the agents there.
func (f *Fleet) HomeAlive(now clock.Millis, home string) { f.homes[home] = now }

// MarkSilent marks an agent silent on its home's word.
func (f *Fleet) MarkSilent(now clock.Millis, name, home string) {
	if a, ok := f.agents[name]; ok && a.home == home {
		a.quiet(now)
	}
}

func (a *Agent) quiet(now clock.Millis) {
	if a.state != life.Silent {
		a.silent = now
	}
	a.fire(life.Silence)
}

// Tick finds the agents that have fallen silent, and forgets those long gone.
func (f *Fleet) Tick(now clock.Millis) (silent []string) {
	for name, a := range f.agents {
		if a.state == life.Silent {
			if now-a.silent > RemoveAfter {
				delete(f.agents, name)
			}
			continue
		}
		if f.tooQuiet(now, a) {
			a.quiet(now)
			silent = append(silent, name)
		}
	}
	sort.Strings(silent)
	return silent
}

func (f *Fleet) tooQuiet(now clock.Millis, a *Agent) bool {
	if a.home != f.self {
		return now-max(f.homes[a.home], a.heard) > HomeSilenceTimeout
	}
	return now-a.heard > max(MinSilenceTimeout, silentBeats*a.beat)
}

// Digest sums up the agents at a home: equal sums mean equal views of them.
func (f *Fleet) Digest(home string) uint64 {
	var sum uint64
	for name, a := range f.agents {
		if a.home != home || a.state == life.Silent {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(name + "|" + a.report.Incarnation + "|" + strconv.FormatInt(a.report.Seq, 10)))
		sum += h.Sum64()
	}
	return sum
}

// Reports lists the full reports of the agents at a home that are not silent.
func (f *Fleet) Reports(home string) []proto.ReportMsg {
	var out []proto.ReportMsg
	for _, a := range f.All() {
		if a.home == home && a.state != life.Silent {
			out = append(out, a.report)
		}
	}
	return out
}

// Replace takes a home's full list: its agents that are not on it are silent.
func (f *Fleet) Replace(now clock.Millis, home string, reports []proto.ReportMsg) {
	listed := make(map[string]bool)
	for _, r := range reports {
		listed[r.Agent] = true
		f.Report(now, r, home)
	}
	for name, a := range f.agents {
		if a.home == home && !listed[name] {
			a.quiet(now)
		}
	}
}
