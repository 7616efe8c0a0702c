package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/store"
	"gypsumcrank/io/wire"
)

// maxSetAttempts limits the compare-and-swap attempts of a change that races
// with changes to other paths.
const maxSetAttempts = 5

func (e *Entry) adminRoutes(h *httpd.Server) {
	h.Handle(http.MethodGet, "/v1/admin/config", e.requireOperator(e.onGetConfig))
	h.Handle(http.MethodPut, "/v1/admin/config", e.requireOperator(e.onSetConfig))
	h.Handle(http.MethodGet, "/v1/admin/history", e.requireOperator(e.onHistory))
	h.Handle(http.MethodGet, "/v1/admin/status", e.requireOperator(e.onStatus))
	h.Handle(http.MethodGet, "/v1/admin/events", e.requireOperator(e.onEventList))
	h.Handle(http.MethodGet, "/v1/admin/jobs/:id/explain", e.requireOperator(e.onExplainAny))
}

// requireOperator admits only requests with the operator token.
func (e *Entry) requireOperator(h httpd.Handler) httpd.Handler {
	return func(ctx context.Context, r *httpd.Request) {
		if e.OperatorHash == "" || conf.HashToken(r.Bearer()) != e.OperatorHash {
			r.Problem(fault.New(fault.Denied, "set GYPSUMCRANK_OPERATOR_TOKEN to the token whose hash the entries were given", "the bearer token is not the operator token"))
			return
		}
		h(ctx, r)
	}
}

func (e *Entry) onGetConfig(_ context.Context, r *httpd.Request) {
	var doc conf.Document
	e.withControl(func(c *control, _ clock.Millis) { doc = c.doc })
	value, err := doc.Tree.Get(r.Query("path"))
	if err != nil {
		r.Problem(err)
		return
	}
	r.JSON(http.StatusOK, ConfigValue{Revision: doc.Revision, Value: value})
}

// ConfigValue is a setting and the revision at which it was read.
type ConfigValue struct {
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// SetRequest asks for one change of the configuration. Expect, if not 0, is
// the revision that the operator has seen.
type SetRequest struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	By     string `json:"by"`
	Nonce  string `json:"nonce"`
	Expect int64  `json:"expect,omitempty"`
}

func (e *Entry) onSetConfig(ctx context.Context, r *httpd.Request) {
	var in SetRequest
	if err := r.ReadJSON(&in); err != nil {
		r.Problem(err)
		return
	}
	doc, err := e.setConfig(ctx, in)
	if err != nil {
		r.Problem(err)
		return
	}
	e.events.Add(event.Event{Kind: "config_accepted", Revision: doc.Revision, Detail: in.Path + " by " + in.By})
	r.JSON(http.StatusOK, ConfigValue{Revision: doc.Revision, Value: in.Value})
}

// setConfig applies a change by a compare-and-swap of the whole document, or
// returns an error that names the conflicting revision.
func (e *Entry) setConfig(ctx context.Context, in SetRequest) (conf.Document, error) {
	if in.Nonce == "" {
		in.Nonce = nonce()
	}
	var base int64 = -1
	for range maxSetAttempts {
		doc, rev, err := e.readConfig(ctx)
		if err != nil {
			return doc, err
		}
		if got, ok := doc.FindNonce(in.Nonce); ok {
			doc.Revision = got
			return doc, nil
		}
		if base < 0 {
			base = doc.Revision
			if in.Expect != 0 {
				base = in.Expect
			}
		}
		if err := checkConflict(doc, in.Path, base); err != nil {
			return doc, err
		}
		next, err := doc.Apply(conf.Edit{Path: in.Path, Value: in.Value, By: in.By, Nonce: in.Nonce, At: e.Clock.Now()})
		if err != nil {
			return doc, err
		}
		applied, err := e.putConfig(ctx, rev, next, in.Nonce)
		if err != nil {
			return doc, fault.Of(err).WithOutcome(fault.Unknown)
		}
		if applied {
			e.withControl(func(c *control, now clock.Millis) { c.adoptConfig(now, next) })
			return next, nil
		}
	}
	return conf.Document{}, fault.New(fault.Conflict, "set it again", "concurrent changes won every compare-and-swap attempt")
}

// checkConflict returns an error if the same path was changed after revision
// base.
func checkConflict(doc conf.Document, path string, base int64) error {
	last, ok := doc.LastChange(path)
	if !ok || last.Revision <= base {
		return nil
	}
	return fault.New(fault.Conflict, "read the path and set it again if it should still change",
		"revision %d by %s set %s to %s first", last.Revision, last.By, last.Path, last.Value)
}

func (e *Entry) readConfig(ctx context.Context) (conf.Document, int64, error) {
	var doc conf.Document
	kv, have, err := e.Store.Get(ctx, e.keys().config())
	if err != nil || !have {
		return doc, 0, err
	}
	return doc, kv.Rev, json.Unmarshal(kv.Value, &doc)
}

func (e *Entry) putConfig(ctx context.Context, rev int64, next conf.Document, nonce string) (bool, error) {
	raw, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	res, err := store.PutWithReadBack(ctx, e.Store, store.Put{Key: e.keys().config(), Value: raw, IfRev: rev}, func(kv store.KV) bool {
		var current conf.Document
		if json.Unmarshal(kv.Value, &current) != nil {
			return false
		}
		_, ok := current.FindNonce(nonce)
		return ok
	})
	return res.Applied, err
}

func (e *Entry) onHistory(_ context.Context, r *httpd.Request) {
	var doc conf.Document
	e.withControl(func(c *control, _ clock.Millis) { doc = c.doc })
	r.JSON(http.StatusOK, doc.History)
}

// Status is an entry's view of the whole region.
type Status struct {
	Entry         string          `json:"entry"`
	Revision      int64           `json:"revision"`
	StoreOut      bool            `json:"store_out"`
	ViewAge       clock.Millis    `json:"view_age_ms"`
	Planner       string          `json:"planner"`
	Epoch         int64           `json:"epoch"`
	Unmet         int             `json:"unmet_guaranteed_accelerators"`
	Fragmentation float64         `json:"fragmentation"`
	Jobs          map[string]int  `json:"jobs"`
	Processes     []ProcessStatus `json:"processes"`
}

// ProcessStatus is one process as this entry sees it.
type ProcessStatus struct {
	Name     string       `json:"name"`
	Role     string       `json:"role"`
	State    string       `json:"state"`
	Revision int64        `json:"revision"`
	HeardAgo clock.Millis `json:"heard_ago_ms"`
	Worker   string       `json:"worker,omitempty"`
	Rack     string       `json:"rack,omitempty"`
	Load     int          `json:"load"`
	Tasks    int          `json:"tasks"`
}

func (e *Entry) onStatus(_ context.Context, r *httpd.Request) {
	var s Status
	if !e.withControl(func(c *control, now clock.Millis) { s = c.status(now) }) {
		r.Problem(stoppedFault())
		return
	}
	r.JSON(http.StatusOK, s)
}

func (c *control) status(now clock.Millis) Status {
	state := c.schedState(now)
	s := Status{
		Entry: c.entry.Name, Revision: c.doc.Revision, StoreOut: c.store.unavailable, ViewAge: now - c.store.currentAt,
		Planner: strings.Split(c.leader.name, "/")[0], Epoch: c.leader.epoch,
		Unmet: sched.Unmet(state), Fragmentation: sched.Fragmentation(state), Jobs: make(map[string]int),
	}
	for _, v := range c.jobs {
		s.Jobs[string(v.rec.State)]++
	}
	s.Processes = append(s.Processes, ProcessStatus{Name: c.entry.Name, Role: "entry", State: "ready", Revision: c.doc.Revision})
	for _, name := range sortedNames(c.peers) {
		p := c.peers[name]
		state := "ready"
		if now-p.lastContact > peerSilenceTimeout {
			state = "silent"
		}
		s.Processes = append(s.Processes, ProcessStatus{Name: name, Role: "entry", State: state, Revision: p.revision, HeardAgo: now - p.lastContact})
	}
	for _, a := range c.fleet.All() {
		rep := a.Report()
		s.Processes = append(s.Processes, ProcessStatus{
			Name: rep.Agent, Role: "agent", State: string(a.State()), Revision: rep.Revision, HeardAgo: now - a.LastContact(),
			Worker: rep.Worker.Worker, Rack: rep.Worker.Rack, Load: rep.Load, Tasks: len(rep.Tasks),
		})
	}
	return s
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// onEventList merges the events of all processes that can be reached.
func (e *Entry) onEventList(ctx context.Context, r *httpd.Request) {
	since, _ := strconv.ParseInt(r.Query("since_ms"), 10, 64)
	until, _ := strconv.ParseInt(r.Query("until_ms"), 10, 64)
	q := event.Query{Job: r.Query("job"), Since: clock.Millis(since), Until: clock.Millis(until)}
	r.JSON(http.StatusOK, e.timeline(ctx, q))
}

// eventTimeout limits the wait for the events of other processes.
const eventTimeout = 2 * time.Second

func (e *Entry) timeline(ctx context.Context, q event.Query) []event.Event {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	perProcess := [][]event.Event{e.events.Select(q), e.agentEvents(ctx, proto.EventsMsg{Query: q})}
	var mu sync.Mutex
	e.peers.callAll(ctx, func(ctx context.Context, addr string) {
		out, err := wire.Call[proto.EventListMsg](ctx, e.node, addr, proto.EventsMsg{Query: q})
		if err == nil {
			mu.Lock()
			perProcess = append(perProcess, out.Events)
			mu.Unlock()
		}
	})
	return event.Merge(perProcess...)
}

// agentEvents returns the events of every agent that is not silent.
func (e *Entry) agentEvents(ctx context.Context, m proto.EventsMsg) []event.Event {
	var addrs []string
	e.withControl(func(c *control, _ clock.Millis) {
		for _, a := range c.fleet.All() {
			if a.SilentSince() == 0 {
				addrs = append(addrs, a.Report().Addr)
			}
		}
	})
	var mu sync.Mutex
	var out []event.Event
	kern.Each(addrs, func(_ int, addr string) {
		got, err := wire.Call[proto.EventListMsg](ctx, e.node, addr, proto.EventsMsg{Query: m.Query})
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			out = append(out, got.Events...)
		}
	})
	return out
}

func (e *Entry) onExplain(ctx context.Context, r *httpd.Request) {
	rec, _, err := e.findJob(ctx, r)
	if err != nil {
		r.Problem(err)
		return
	}
	r.Text(http.StatusOK, e.explain(ctx, rec))
}

func (e *Entry) onExplainAny(ctx context.Context, r *httpd.Request) {
	rec, ok := e.mirroredJob(r.Param("id"))
	if !ok {
		r.Problem(fault.New(fault.NotFound, "check the job's id; ended jobs are kept for a day", "no job %q", r.Param("id")))
		return
	}
	r.Text(http.StatusOK, e.explain(ctx, rec))
}

// explain summarizes a job's history in one paragraph.
func (e *Entry) explain(ctx context.Context, rec spec.JobRecord) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Job %s of %s (%s) is %s", rec.ID, rec.Account, resourceSummary(rec.Spec), rec.State)
	if why := e.planner.waitReason(rec); why != "" {
		fmt.Fprintf(&b, ": %s", why)
	} else if rec.Reason != "" {
		fmt.Fprintf(&b, ": %s", rec.Reason)
	}
	b.WriteString(".")
	if len(rec.Members) > 0 {
		var where []string
		for _, m := range rec.Members {
			where = append(where, fmt.Sprintf("%s[%d-%d]", m.Worker, m.Cell.First, m.Cell.First+m.Cell.Size-1))
		}
		fmt.Fprintf(&b, " Its tasks are on %s.", strings.Join(where, ", "))
	}
	if rec.Evictions > 0 {
		fmt.Fprintf(&b, " It was requeued %d times.", rec.Evictions)
	}
	steps := 0
	for _, ev := range e.timeline(ctx, event.Query{Job: rec.ID}) {
		if !strings.HasPrefix(ev.Kind, "job_") || ev.Detail == "" {
			continue
		}
		if steps++; steps <= maxExplainSteps {
			fmt.Fprintf(&b, " After %s %s: %s.", ev.At-rec.QueuedAt, strings.TrimPrefix(ev.Kind, "job_"), ev.Detail)
		}
	}
	return b.String()
}

// maxExplainSteps limits the steps that explain lists.
const maxExplainSteps = 12
