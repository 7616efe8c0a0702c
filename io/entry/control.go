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

// tickInterval is the interval of control's housekeeping.
const tickInterval = 100 * time.Millisecond

type tickMsg struct{}

// jobView is a job's record as mirrored, and its store revision.
type jobView struct {
	rec spec.JobRecord
	rev int64
}

// storeStatus is the state of the platform's store as seen by this entry.
type storeStatus struct {
	unavailable bool
	synced      bool
	currentAt   clock.Millis
}

// control is the entry's in-memory state: configuration, agents, peers, jobs
// and waiting requests. Only the control goroutine accesses it.
type control struct {
	entry         *Entry
	createdAt     clock.Millis
	started       clock.Millis // when readiness was first asked for
	doc           conf.Document
	docAt         clock.Millis
	fleet         *fleet.Fleet
	queue         *queue.Queue[*slotWaiter]
	inFlight      map[string]int
	retryBudget   *retry.Budget
	claimRate     retry.RateLimiter
	peers         map[string]*peer
	members       map[string]string
	jobs          map[string]jobView
	store         storeStatus
	inFlightSends map[string]map[*inFlightSend]bool
	leader        leaderView
	// latency estimates how long each service takes to respond.
	latency map[string]*retry.LatencyEstimator
	// estimates are learned from the jobs that finish, in the same way at
	// every entry.
	estimates sched.Estimates
}

func newControl(e *Entry) *control {
	return &control{
		entry:         e,
		createdAt:     e.Clock.Now(),
		fleet:         fleet.New(e.Name),
		queue:         queue.New[*slotWaiter](),
		inFlight:      make(map[string]int),
		retryBudget:   retry.New(),
		claimRate:     retry.RateLimiter{PerSecond: e.ClaimsPerSecond},
		peers:         make(map[string]*peer),
		members:       make(map[string]string),
		jobs:          make(map[string]jobView),
		inFlightSends: make(map[string]map[*inFlightSend]bool),
		latency:       make(map[string]*retry.LatencyEstimator),
	}
}

// Update applies one message.
func (c *control) Update(msg kern.Msg) []kern.Cmd {
	now := c.entry.Clock.Now()
	switch m := msg.(type) {
	case tickMsg:
		c.tick(now)
	case snapshotMsg:
		c.applySnapshot(now, m)
	case changesMsg:
		for _, change := range m.changes {
			c.applyChange(now, change)
		}
	case storeStatusMsg:
		c.applyStoreStatus(now, m)
	case reportMsg:
		c.applyReport(now, m.report, m.home)
	}
	return nil
}

func (c *control) tick(now clock.Millis) {
	silent := c.fleet.Tick(now)
	for _, name := range silent {
		c.onAgentSilent(name)
	}
	if len(silent) > 0 {
		c.entry.peers.broadcast(proto.ReportsMsg{Entry: c.entry.Name, Silent: c.localAgents(silent)})
	}
	c.dispatch(now)
}

// localAgents returns those of the named agents whose home entry is this one.
func (c *control) localAgents(names []string) []string {
	var out []string
	for _, n := range names {
		if a, ok := c.fleet.Get(n); ok && a.Home() == c.entry.Name {
			out = append(out, n)
		}
	}
	return out
}

// onAgentSilent cancels the idempotent requests in flight to an agent that is
// silent.
func (c *control) onAgentSilent(name string) {
	c.entry.events.Add(event.Event{Kind: "agent_silent", Detail: name})
	for f := range c.inFlightSends[name] {
		f.cancel()
	}
}

func (c *control) applyStoreStatus(now clock.Millis, m storeStatusMsg) {
	unavailable := m.err != nil
	if unavailable != c.store.unavailable {
		kind := "store_back"
		if unavailable {
			kind = "store_out"
		}
		c.entry.events.Add(event.Event{Kind: kind})
	}
	c.store.unavailable = unavailable
	if m.current {
		c.store.currentAt = now
	}
}

// applySnapshot replaces the mirrored records; those that the snapshot lacks
// are removed.
func (c *control) applySnapshot(now clock.Millis, m snapshotMsg) {
	c.applyStoreStatus(now, storeStatusMsg{current: true})
	c.store.synced = true
	c.members = make(map[string]string)
	known := make(map[string]bool)
	keys := c.entry.keys()
	leads := false
	for _, kv := range m.kvs {
		known[kv.Key] = true
		leads = leads || kv.Key == keys.planner()
		c.applyChange(now, store.Change{KV: kv})
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

func (c *control) applyChange(now clock.Millis, change store.Change) {
	keys := c.entry.keys()
	switch key := change.Key; {
	case key == keys.config():
		c.applyConfig(now, change)
	case key == keys.planner():
		c.applyLeader(now, change)
	case strings.HasPrefix(key, keys.members()):
		name := strings.TrimPrefix(key, keys.members())
		if change.Deleted {
			delete(c.members, name)
		} else {
			c.members[name] = string(change.Value)
		}
	case strings.HasPrefix(key, keys.jobs()):
		c.applyJob(strings.TrimPrefix(key, keys.jobs()), change)
	}
}

func (c *control) applyConfig(now clock.Millis, change store.Change) {
	if change.Deleted {
		return
	}
	var doc conf.Document
	if err := json.Unmarshal(change.Value, &doc); err != nil {
		c.entry.Log.Error("config_unreadable", "error", err, "remedy", "restore the key "+change.Key)
		return
	}
	c.adoptConfig(now, doc)
}

// adoptConfig puts a configuration document into effect if it is newer than the
// current one.
func (c *control) adoptConfig(now clock.Millis, doc conf.Document) {
	if doc.Revision <= c.doc.Revision {
		return
	}
	c.doc = doc
	c.docAt = now
	c.entry.events.Add(event.Event{Kind: "config_applied", Revision: doc.Revision})
}

func (c *control) applyJob(id string, change store.Change) {
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
	c.entry.planner.triggerRound()
}

// ready reports whether the load balancer may send callers here, and if not,
// why. The entry needs a snapshot of the store or a configuration from a peer,
// and agents must have had time to report.
func (c *control) ready(now clock.Millis) (bool, string) {
	if !c.store.synced && c.doc.Revision == 0 {
		return false, "no configuration yet, from the store or from a peer"
	}
	if c.started == 0 {
		c.started = now
	}
	age := now - c.started
	if age < minWarmup || (!c.fleet.AnyUsable() && age < maxWarmup) {
		return false, "waiting for agents to report"
	}
	return true, ""
}

// A new entry waits before it accepts callers: for minWarmup, one round of
// heartbeats, so that it knows the agents whose home entry it is, and up to
// maxWarmup if no agent accepts work.
const (
	minWarmup = 2500 * clock.Millisecond
	maxWarmup = 6 * clock.Second
)

// reportMsg is an agent's report and the name of its home entry.
type reportMsg struct {
	report proto.ReportMsg
	home   string
}

func (c *control) applyReport(now clock.Millis, r proto.ReportMsg, home string) bool {
	old, known := c.fleet.Get(r.Agent)
	var before proto.ReportMsg
	if known {
		before = old.Report()
	}
	if !c.fleet.Report(now, r, home) {
		return false
	}
	if !known || before.Incarnation != r.Incarnation {
		c.entry.events.Add(event.Event{Kind: "agent_joined", Detail: r.Agent + " with home entry " + home})
	} else if before.Leaving != r.Leaving {
		c.entry.events.Add(event.Event{Kind: "agent_takes_work", Detail: r.Agent + ": " + yesNo(!r.Leaving)})
	}
	c.dispatch(now)
	return true
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// agentConf returns the part of the configuration that agents need.
func (c *control) agentConf() *proto.AgentConf {
	services := make(map[string]conf.Service)
	for _, team := range c.doc.Tree.Teams {
		for name, s := range team.Services {
			services[name] = s
		}
	}
	return &proto.AgentConf{Revision: c.doc.Revision, Drain: c.doc.Tree.Drain, Services: services}
}

// runTicks sends ticks to control until ctx ends.
func (e *Entry) runTicks(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
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
