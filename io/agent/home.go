package agent

import (
	"context"
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/ledg"
	"gypsumcrank/core/proto"
	"gypsumcrank/io/wire"
)

const (
	homeCallTimeout = 1500 * time.Millisecond
	// avoidFor is how long an entry that gave no answer is not tried first.
	avoidFor = 5 * clock.Second
	// nudgeGap keeps a busy agent from reporting more often than this.
	nudgeGap = 100 * clock.Millisecond
)

// home keeps the agent's one conversation with its home entry.
type home struct {
	agent *Agent

	mu      sync.Mutex
	entries []string
	avoid   map[string]clock.Millis
	current string
	saidBye bool

	wake   chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}
}

// Start begins to beat.
func (h *home) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.entries = h.agent.Entries
	h.avoid = make(map[string]clock.Millis)
	h.wake = make(chan struct{}, 1)
	h.cancel = cancel
	h.ended = make(chan struct{})
	go h.run(ctx)
	return nil
}

// Stop says a last word, that the agent is leaving, and ends.
func (h *home) Stop(context.Context) error {
	h.cancel()
	<-h.ended
	return nil
}

// nudge makes the next report go out at once.
func (h *home) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *home) run(ctx context.Context) {
	defer close(h.ended)
	beat := fleet.MinHeartbeatInterval
	var sent sentState
	for ctx.Err() == nil {
		beat = h.beat(ctx, &sent, beat)
		timer := time.NewTimer(beat.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.wake:
			h.pause(ctx)
		}
		timer.Stop()
	}
}

func (h *home) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(nudgeGap.Duration()):
	}
}

// sentState is what the home entry has been told in full.
type sentState struct {
	entry    string
	seq      int64
	load     int
	revision int64
}

func (h *home) beat(ctx context.Context, sent *sentState, beat clock.Millis) clock.Millis {
	report := h.report()
	load := report.Load
	entry := h.choose()
	if entry == "" {
		return beat
	}
	if sent.entry == entry && sent.seq == report.Seq && sent.load == report.Load && sent.revision == report.Revision {
		report = proto.ReportMsg{Agent: report.Agent, Incarnation: report.Incarnation, Seq: report.Seq, Revision: report.Revision, Heartbeat: true}
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	welcome, err := wire.Call[proto.ReportReplyMsg](ctx, h.agent.node, entry, report)
	if err != nil {
		h.failed(entry, err)
		*sent = sentState{}
		return nudgeGap
	}
	h.succeeded(welcome)
	h.noteTold(report)
	*sent = sentState{entry: entry, seq: report.Seq, load: load, revision: report.Revision}
	if welcome.NeedFull {
		*sent = sentState{}
		return nudgeGap
	}
	return max(welcome.HeartbeatInterval, fleet.MinHeartbeatInterval/10)
}

// noteTold remembers that the home entry knows that the agent leaves.
func (h *home) noteTold(r proto.ReportMsg) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saidBye = h.saidBye || r.Leaving
}

// told tells whether the home entry knows that the agent leaves, or there is
// no home that could be told.
func (h *home) told() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.saidBye || h.current == ""
}

func (h *home) report() proto.ReportMsg {
	var r proto.ReportMsg
	h.agent.ask(func(l *ledg.Ledger, _ clock.Millis) {
		r = l.Report()
		r.Revision = h.agent.ctl.conf.Revision
	})
	r.Addr = h.agent.Advertise
	return r
}

// choose takes the entry that ranks first for this agent, so that agents
// spread over entries and few move when an entry comes or goes.
func (h *home) choose() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.agent.Clock.Now()
	ranked := append([]string(nil), h.entries...)
	sort.Slice(ranked, func(i, j int) bool { return h.weight(ranked[i]) > h.weight(ranked[j]) })
	for _, e := range ranked {
		if now >= h.avoid[e] {
			return e
		}
	}
	if len(ranked) > 0 {
		return ranked[int(now)%len(ranked)]
	}
	return ""
}

func (h *home) weight(entry string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h.agent.Name + "|" + entry))
	return mix(f.Sum64())
}

// mix spreads the bits of a hash, so that close inputs rank independently.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (h *home) failed(entry string, err error) {
	h.mu.Lock()
	h.avoid[entry] = h.agent.Clock.Now() + avoidFor
	was := h.current
	h.current = ""
	h.mu.Unlock()
	if was == entry {
		h.agent.line.Add(event.Event{Kind: "home_lost", Detail: entry + ": " + fault.Of(err).Detail})
	}
	h.agent.node.Forget(entry)
}

func (h *home) succeeded(w proto.ReportReplyMsg) {
	entry := h.choose()
	h.mu.Lock()
	changed := h.current != entry
	h.current = entry
	h.entries = union(w.Entries, h.agent.Entries)
	h.mu.Unlock()
	if changed {
		h.agent.line.Add(event.Event{Kind: "home_found", Detail: entry})
	}
	h.agent.ask(func(_ *ledg.Ledger, now clock.Millis) { h.agent.ctl.contact = now })
	if w.Config != nil {
		h.agent.loop.Send(confMsg{conf: *w.Config})
	}
}

// union joins two lists; what was named at the start always stays, since the
// entries heard of last may all be gone at once.
func union(a, b []string) []string {
	out := append([]string(nil), a...)
	for _, x := range b {
		if !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	return out
}

// call asks the home entry, or the next one, something.
func (h *home) call(ctx context.Context, m wire.Message, reply *proto.ResolvedMsg) error {
	ctx, cancel := context.WithTimeout(ctx, 2*homeCallTimeout)
	defer cancel()
	var err error
	*reply, err = wire.Call[proto.ResolvedMsg](ctx, h.agent.node, h.choose(), m)
	return err
}
