// Package fleet is an entry's view of the agents: their last reports, their
// states, and which of them should get the next request.
//
// An agent sends heartbeats to its home entry only. The home entry passes on
// changes, so the cost of a view grows with changes and not with agents times
// entries.
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

// Heartbeat interval and silence timeouts.
const (
	// MinHeartbeatInterval is the shortest interval between an agent's
	// heartbeats.
	MinHeartbeatInterval = clock.Second
	// MinSilenceTimeout is the shortest time without a heartbeat after which an
	// agent counts as silent.
	MinSilenceTimeout = 3 * clock.Second
	// HomeSilenceTimeout is how long another entry may be silent before the
	// agents whose home it is count as silent; by then they have long moved to
	// another home.
	HomeSilenceTimeout = 6 * clock.Second
	// RemoveAfter is how long a silent agent stays in the view.
	RemoveAfter = 10 * clock.Minute
	// missedHeartbeats is the silence timeout in heartbeat intervals, where
	// that is longer than MinSilenceTimeout.
	missedHeartbeats = 3
)

// heartbeatBytes is the traffic of one heartbeat and its reply, in bytes.
const heartbeatBytes = 420

// heartbeatBudget is the traffic that an entry may spend on heartbeats, in
// bytes per second.
const heartbeatBudget = 3500

// HeartbeatInterval returns the interval between heartbeats for an entry that
// is home to n agents. All of their heartbeats together stay within the entry's
// share of the network, heartbeatBudget.
func HeartbeatInterval(n int) clock.Millis {
	return max(MinHeartbeatInterval, clock.Millis(n)*heartbeatBytes*clock.Second/heartbeatBudget)
}

// Agent is one agent as this entry sees it.
type Agent struct {
	report            proto.ReportMsg
	home              string
	state             life.EndpointState
	lastContact       clock.Millis
	firstSeen         clock.Millis
	silentSince       clock.Millis
	heartbeatInterval clock.Millis
	health            health
}

// Report returns the last full report.
func (a *Agent) Report() proto.ReportMsg { return a.report }

// State returns the endpoint's state in its life cycle.
func (a *Agent) State() life.EndpointState { return a.state }

// Home returns the name of the entry that the agent sends heartbeats to.
func (a *Agent) Home() string { return a.home }

// LastContact returns when the agent's last report, direct or through its home,
// or its last heartbeat came in.
func (a *Agent) LastContact() clock.Millis { return a.lastContact }

// FirstSeen returns when the agent's current incarnation was first seen.
func (a *Agent) FirstSeen() clock.Millis { return a.firstSeen }

// SilentSince returns when the agent became silent, or 0.
func (a *Agent) SilentSince() clock.Millis { return a.silentSince }

// Ref returns the agent in its current incarnation, with its address.
func (a *Agent) Ref() spec.AgentRef {
	return spec.AgentRef{Agent: a.report.Agent, Incarnation: a.report.Incarnation, Addr: a.report.Addr}
}

// Usable reports whether new work may be sent to the agent.
func (a *Agent) Usable() bool { return a.state == life.Ready || a.state == life.Probing }

// Fleet is the view. Create it with New; it is not safe for concurrent use.
type Fleet struct {
	self         string
	agents       map[string]*Agent
	homeContacts map[string]clock.Millis
}

// New returns an empty view for the entry named self.
func New(self string) *Fleet {
	return &Fleet{self: self, agents: make(map[string]*Agent), homeContacts: make(map[string]clock.Millis)}
}

// Get returns the agent of that name.
func (f *Fleet) Get(name string) (*Agent, bool) {
	a, ok := f.agents[name]
	return a, ok
}

// All returns the agents, sorted by name.
func (f *Fleet) All() []*Agent {
	out := make([]*Agent, 0, len(f.agents))
	for _, a := range f.agents {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].report.Agent < out[j].report.Agent })
	return out
}

// HomeCount returns the number of agents whose home is this entry and that are
// not silent.
func (f *Fleet) HomeCount() int {
	n := 0
	for _, a := range f.agents {
		if a.home == f.self && a.state != life.Silent {
			n++
		}
	}
	return n
}

func notOlder(a, b proto.ReportMsg) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq >= b.Seq
}

// Report applies a full report that came by way of home. It returns false for
// one that is older than the last.
func (f *Fleet) Report(now clock.Millis, r proto.ReportMsg, home string) bool {
	a, ok := f.agents[r.Agent]
	if !ok {
		a = &Agent{state: life.Silent}
		f.agents[r.Agent] = a
	}
	if ok && !notOlder(r, a.report) {
		return false
	}
	if a.report.Incarnation != r.Incarnation {
		a.firstSeen = now
		a.health = health{}
	}
	if r.Load < r.Worker.Slots {
		a.health.fullUntil = 0
	}
	a.report = r
	a.home = home
	a.markAlive(now)
	return true
}

func (a *Agent) markAlive(now clock.Millis) {
	a.lastContact = now
	a.silentSince = 0
	trigger := life.Report
	if a.report.Leaving {
		trigger = life.Leave
	}
	a.fire(trigger)
}

// fire applies the trigger if the life cycle permits it. A report does not end
// Probing; the result of the probe does.
func (a *Agent) fire(trigger life.Trigger) {
	if a.state == life.Probing && trigger == life.Report {
		return
	}
	if next, err := life.Endpoints.Next(a.state, trigger); err == nil {
		a.state = next
	}
}

// Heartbeat records the heartbeat of an agent whose home is this entry. It
// returns false if the agent has to send a full report.
func (f *Fleet) Heartbeat(now clock.Millis, m proto.ReportMsg, interval clock.Millis) bool {
	a, ok := f.agents[m.Agent]
	if !ok || a.home != f.self || a.report.Incarnation != m.Incarnation || a.report.Seq != m.Seq {
		return false
	}
	a.heartbeatInterval = interval
	a.markAlive(now)
	return true
}

// HomeAlive records that another entry is alive, and with it the agents whose
// home it is.
func (f *Fleet) HomeAlive(now clock.Millis, home string) { f.homeContacts[home] = now }

// MarkSilent marks an agent as silent because home says so. It has no effect if
// home is not the agent's home.
func (f *Fleet) MarkSilent(now clock.Millis, name, home string) {
	if a, ok := f.agents[name]; ok && a.home == home {
		a.markSilent(now)
	}
}

func (a *Agent) markSilent(now clock.Millis) {
	if a.state != life.Silent {
		a.silentSince = now
	}
	a.fire(life.Silence)
}

// Tick marks the agents whose silence timeout has passed as silent and returns
// their names. It drops agents that have been silent for longer than
// RemoveAfter.
func (f *Fleet) Tick(now clock.Millis) (silent []string) {
	for name, a := range f.agents {
		if a.state == life.Silent {
			if now-a.silentSince > RemoveAfter {
				delete(f.agents, name)
			}
			continue
		}
		if f.timedOut(now, a) {
			a.markSilent(now)
			silent = append(silent, name)
		}
	}
	sort.Strings(silent)
	return silent
}

func (f *Fleet) timedOut(now clock.Millis, a *Agent) bool {
	if a.home != f.self {
		return now-max(f.homeContacts[a.home], a.lastContact) > HomeSilenceTimeout
	}
	return now-a.lastContact > max(MinSilenceTimeout, missedHeartbeats*a.heartbeatInterval)
}

// Digest returns a hash over the agents of a home that are not silent. Equal
// digests mean equal views of them.
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

// Reports returns the full reports of the agents of a home that are not silent.
func (f *Fleet) Reports(home string) []proto.ReportMsg {
	var out []proto.ReportMsg
	for _, a := range f.All() {
		if a.home == home && a.state != life.Silent {
			out = append(out, a.report)
		}
	}
	return out
}

// Replace applies a home's list of its agents. If the list is complete, agents of
// that home that are not on it are marked as silent. That of a home that has just
// started is not: it has not heard from all its agents yet.
func (f *Fleet) Replace(now clock.Millis, home string, reports []proto.ReportMsg, complete bool) {
	listed := make(map[string]bool)
	for _, r := range reports {
		listed[r.Agent] = true
		f.Report(now, r, home)
	}
	if !complete {
		return
	}
	for name, a := range f.agents {
		if a.home == home && !listed[name] {
			a.markSilent(now)
		}
	}
}
