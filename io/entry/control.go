package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/queue"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/store"
)

// tickEvery is the pace of control's own housekeeping.
const tickEvery = 100 * time.Millisecond

type tickMsg struct{}

// jobView is a job's record as the mirror has it.
type jobView struct {
	rec spec.JobRecord
	rev int64
}

// storeView is how the platform's store looks from here.
type storeView struct {
	out     bool
	synced  bool
	current clock.Millis
}

// control is the entry's model: configuration, agents, peers, jobs and the
// requests that wait. Only the control goroutine touches it.
type control struct {
	entry    *Entry
	started  clock.Millis
	doc      conf.Document
	docAt    clock.Millis
	fleet    *fleet.Fleet
	queue    *queue.Queue[*ticket]
	inFlight map[string]int
	budget   *retry.Budget
	claims   retry.RateLimiter
	peers    map[string]*peer
	members  map[string]string
	jobs     map[string]jobView
	store    storeView
	flights  map[string]map[*flight]bool
	leader   leaderView
	// usual is how long each service's answers take.
	usual map[string]*retry.LatencyEstimator
	// estimates are learnt from the jobs that end, at every entry alike.
	estimates sched.Estimates
}

func newControl(e *Entry) *control {
	return &control{
		entry:    e,
		fleet:    fleet.New(e.Name),
		queue:    queue.New[*ticket](),
		inFlight: make(map[string]int),
		budget:   retry.New(),
		claims:   retry.RateLimiter{PerSecond: e.ClaimsPerSecond},
		peers:    make(map[string]*peer),
		members:  make(map[string]string),
		jobs:     make(map[string]jobView),
		flights:  make(map[string]map[*flight]bool),
		usual:    make(map[string]*retry.LatencyEstimator),
	}
}

// Update applies one message.
func (c *control) Update(msg kern.Msg) []kern.Cmd {
	now := c.entry.Clock.Now()
	switch m := msg.(type) {
	case tickMsg:
		c.tick(now)
	case syncMsg:
		c.sync(now, m)
	case changesMsg:
		for _, change := range m.changes {
			c.change(now, change)
		}
	case storeMsg:
		c.storeNews(now, m)
	case reportMsg:
		c.report(now, m.report, m.home)
	}
	return nil
}

func (c *control) tick(now clock.Millis) {
	silent := c.fleet.Tick(now)
	for _, name := range silent {
		c.agentSilent(name)
	}
	if len(silent) > 0 {
		c.entry.peers.pass(proto.ReportsMsg{Entry: c.entry.Name, Silent: c.mine(silent)})
	}
	c.pump(now)
}

// mine keeps the agents whose home this entry is.
func (c *control) mine(names []string) []string {
	var out []string
	for _, n := range names {
		if a, ok := c.fleet.Get(n); ok && a.Home() == c.entry.Name {
			out = append(out, n)
		}
	}
	return out
}

// agentSilent gives up on what is under way at an agent and may be repeated.
func (c *control) agentSilent(name string) {
	c.entry.line.Add(event.Event{Kind: "agent_silent", Detail: name})
	for f := range c.flights[name] {
		f.cancel()
	}
}

func (c *control) storeNews(now clock.Millis, m storeMsg) {
	out := m.err != nil
	if out != c.store.out {
		kind := "store_back"
		if out {
			kind = "store_out"
		}
		c.entry.line.Add(event.Event{Kind: kind})
	}
	c.store.out = out
	if m.current {
		c.store.current = now
	}
}

// sync takes the whole live part of the store; what is not on it is gone.
func (c *control) sync(now clock.Millis, m syncMsg) {
	c.storeNews(now, storeMsg{current: true})
	c.store.synced = true
	c.members = make(map[string]string)
	known := make(map[string]bool)
	keys := c.entry.keys()
	leads := false
	for _, kv := range m.kvs {
		known[kv.Key] = true
		leads = leads || kv.Key == keys.planner()
		c.change(now, store.Change{KV: kv})
	}
	for id := range c.jobs {
		if !known[keys.job(id)] {
			delete(c.jobs, id)
		}
	}
	if !leads {
		c.leader = leaderView{}
	}
}

func (c *control) change(now clock.Millis, change store.Change) {
	keys := c.entry.keys()
	switch key := change.Key; {
	case key == keys.config():
		c.configFrom(now, change)
	case key == keys.planner():
		c.leaderFrom(now, change)
	case strings.HasPrefix(key, keys.members()):
		name := strings.TrimPrefix(key, keys.members())
		if change.Deleted {
			delete(c.members, name)
		} else {
			c.members[name] = string(change.Value)
		}
	case strings.HasPrefix(key, keys.jobs()):
		c.jobFrom(strings.TrimPrefix(key, keys.jobs()), change)
	}
}

func (c *control) configFrom(now clock.Millis, change store.Change) {
	if change.Deleted {
		return
	}
	var doc conf.Document
	if err := json.Unmarshal(change.Value, &doc); err != nil {
		c.entry.Log.Error("config_unreadable", "error", err, "remedy", "restore the key "+change.Key)
		return
	}
	c.adopt(now, doc)
}

// adopt puts a document in force, unless the one in force is as new.
func (c *control) adopt(now clock.Millis, doc conf.Document) {
	if doc.Revision <= c.doc.Revision {
		return
	}
	c.doc = doc
	c.docAt = now
	c.entry.line.Add(event.Event{Kind: "config_applied", Revision: doc.Revision})
}

func (c *control) jobFrom(id string, change store.Change) {
	if change.Deleted {
		delete(c.jobs, id)
		return
	}
	if change.Rev < c.jobs[id].rev {
		return
	}
	var rec spec.JobRecord
	if err := json.Unmarshal(change.Value, &rec); err != nil {
		c.entry.Log.Error("job_unreadable", "job", id, "error", err, "remedy", "delete the key "+change.Key)
		return
	}
	if old := c.jobs[id].rec; old.State == spec.Running && rec.State == spec.Done {
		c.estimates.Learn(rec.Account, rec.Spec, rec.EndedAt-old.StartedAt)
	}
	c.jobs[id] = jobView{rec: rec, rev: change.Rev}
	c.entry.planner.nudge()
}

// ready tells whether the balancer may send callers here: there is a
// configuration, and agents have been heard of, if there are any to hear of.
func (c *control) ready(now clock.Millis) (bool, string) {
	if !c.store.synced && c.doc.Revision == 0 {
		return false, "no configuration yet, from the store or from a peer"
	}
	if c.started == 0 {
		c.started = now
	}
	age := now - c.started
	if age < firstBeats || (!c.fleet.AnyUsable() && age < firstReports) {
		return false, "agents are still being heard of"
	}
	return true, ""
}

// A new entry waits before it takes callers: for one round of beats, so that
// it knows the agents whose home it is, and longer if none takes work.
const (
	firstBeats   = 2500 * clock.Millisecond
	firstReports = 6 * clock.Second
)

// reportMsg is an agent's report, with the entry it is at home with.
type reportMsg struct {
	report proto.ReportMsg
	home   string
}

func (c *control) report(now clock.Millis, r proto.ReportMsg, home string) bool {
	old, known := c.fleet.Get(r.Agent)
	var before proto.ReportMsg
	if known {
		before = old.Report()
	}
	if !c.fleet.Report(now, r, home) {
		return false
	}
	if !known || before.Incarnation != r.Incarnation {
		c.entry.line.Add(event.Event{Kind: "agent_joined", Detail: r.Agent + " at home with " + home})
	} else if before.Leaving != r.Leaving {
		c.entry.line.Add(event.Event{Kind: "agent_takes_work", Detail: r.Agent + ": " + yesNo(!r.Leaving)})
	}
	c.pump(now)
	return true
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// agentConf is what agents need of the configuration.
func (c *control) agentConf() *proto.AgentConf {
	services := make(map[string]conf.Service)
	for _, team := range c.doc.Tree.Teams {
		for name, s := range team.Services {
			services[name] = s
		}
	}
	return &proto.AgentConf{Revision: c.doc.Revision, Drain: c.doc.Tree.Drain, Services: services}
}

// runTicks feeds control with ticks until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.loop.Send(tickMsg{})
		}
	}
}
