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
	// avoidDuration is how long an entry that did not reply is used only if
	// all others are avoided too.
	avoidDuration = 5 * clock.Second
	// minReportInterval limits how often a busy agent reports.
	minReportInterval = 100 * clock.Millisecond
)

// home sends the agent's heartbeats and reports to its home entry, the only
// entry that it reports to.
type home struct {
	agent *Agent

	mu             sync.Mutex
	entries        []string
	avoidUntil     map[string]clock.Millis
	current        string
	leaveDelivered bool

	wake    chan struct{}
	cancel  context.CancelFunc
	stopped chan struct{}
}

// Start starts the heartbeats.
func (h *home) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.entries = h.agent.Entries
	h.avoidUntil = make(map[string]clock.Millis)
	h.wake = make(chan struct{}, 1)
	h.cancel = cancel
	h.stopped = make(chan struct{})
	go h.run(ctx)
	return nil
}

// Stop stops the heartbeats. The drain service, which is stopped earlier, has
// waited for the home entry to learn that the agent is leaving.
func (h *home) Stop(context.Context) error {
	h.cancel()
	<-h.stopped
	return nil
}

// triggerReport makes the next report go out without waiting for the heartbeat
// interval.
func (h *home) triggerReport() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *home) run(ctx context.Context) {
	defer close(h.stopped)
	interval := fleet.MinHeartbeatInterval
	var sent sentState
	for ctx.Err() == nil {
		interval = h.sendReport(ctx, &sent, interval)
		timer := time.NewTimer(interval.Duration())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.wake:
			h.debounce(ctx)
		}
		timer.Stop()
	}
}

func (h *home) debounce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(minReportInterval.Duration()):
	}
}

// sentState identifies the last full report that the home entry received.
type sentState struct {
	entry    string
	seq      int64
	load     int
	revision int64
}

func (h *home) sendReport(ctx context.Context, sent *sentState, interval clock.Millis) clock.Millis {
	report := h.report()
	load := report.Load
	entry := h.chooseHome()
	if entry == "" {
		return interval
	}
	if sent.entry == entry && sent.seq == report.Seq && sent.load == report.Load && sent.revision == report.Revision {
		report = proto.ReportMsg{Agent: report.Agent, Incarnation: report.Incarnation, Seq: report.Seq, Revision: report.Revision, Heartbeat: true}
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	reply, err := wire.Call[proto.ReportReplyMsg](ctx, h.agent.node, entry, report)
	if err != nil {
		h.recordFailure(entry, err)
		*sent = sentState{}
		return minReportInterval
	}
	h.recordSuccess(reply)
	h.recordLeaveDelivered(report)
	*sent = sentState{entry: entry, seq: report.Seq, load: load, revision: report.Revision}
	if reply.NeedFull {
		*sent = sentState{}
		return minReportInterval
	}
	return max(reply.HeartbeatInterval, fleet.MinHeartbeatInterval/10)
}

// recordLeaveDelivered records that the home entry knows that the agent is
// leaving.
func (h *home) recordLeaveDelivered(r proto.ReportMsg) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaveDelivered = h.leaveDelivered || r.Leaving
}

// leaveSettled reports whether the home entry knows that the agent is leaving,
// or there is no home entry to tell.
func (h *home) leaveSettled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaveDelivered || h.current == ""
}

func (h *home) report() proto.ReportMsg {
	var r proto.ReportMsg
	h.agent.withLedger(func(l *ledg.Ledger, _ clock.Millis) {
		r = l.Report()
		r.Revision = h.agent.ctl.conf.Revision
	})
	r.Addr = h.agent.Advertise
	return r
}

// chooseHome returns the entry that ranks first for this agent by rendezvous
// hashing, so that agents spread over the entries and few move when an entry
// joins or leaves.
func (h *home) chooseHome() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.agent.Clock.Now()
	ranked := append([]string(nil), h.entries...)
	sort.Slice(ranked, func(i, j int) bool { return h.weight(ranked[i]) > h.weight(ranked[j]) })
	for _, e := range ranked {
		if now >= h.avoidUntil[e] {
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
	return mixBits(f.Sum64())
}

// mixBits mixes the bits of a hash, so that similar inputs rank independently.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (h *home) recordFailure(entry string, err error) {
	h.mu.Lock()
	h.avoidUntil[entry] = h.agent.Clock.Now() + avoidDuration
	was := h.current
	h.current = ""
	h.mu.Unlock()
	if was == entry {
		h.agent.events.Add(event.Event{Kind: "home_lost", Detail: entry + ": " + fault.Of(err).Detail})
	}
	h.agent.node.Disconnect(entry)
}

func (h *home) recordSuccess(reply proto.ReportReplyMsg) {
	entry := h.chooseHome()
	h.mu.Lock()
	changed := h.current != entry
	h.current = entry
	h.entries = union(reply.Entries, h.agent.Entries)
	h.mu.Unlock()
	if changed {
		h.agent.events.Add(event.Event{Kind: "home_found", Detail: entry})
	}
	h.agent.withLedger(func(_ *ledg.Ledger, now clock.Millis) { h.agent.ctl.lastContact = now })
	if reply.Config != nil {
		h.agent.loop.Send(confMsg{conf: *reply.Config})
	}
}

// union returns the elements of both lists. The entries configured at the start
// always stay, since those learned last may all be gone at once.
func union(a, b []string) []string {
	out := append([]string(nil), a...)
	for _, x := range b {
		if !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	return out
}

// call sends a request to the home entry, or to the next one in rank while that
// one is avoided.
func (h *home) call(ctx context.Context, m wire.Message, reply *proto.ResolvedMsg) error {
	ctx, cancel := context.WithTimeout(ctx, 2*homeCallTimeout)
	defer cancel()
	var err error
	*reply, err = wire.Call[proto.ResolvedMsg](ctx, h.agent.node, h.chooseHome(), m)
	return err
}
