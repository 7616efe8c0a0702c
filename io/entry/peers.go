package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/proto"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/wire"
)

// Paces of the conversation between entries.
const (
	peerEvery   = time.Second
	peerTimeout = 1500 * time.Millisecond
	// peerSilence is how long a peer may be quiet before it counts as gone.
	peerSilence = 4 * clock.Second
	passBuffer  = 1024
)

// peer is another entry as this one sees it.
type peer struct {
	addr     string
	heard    clock.Millis
	revision int64
	viewAge  clock.Millis
	ready    bool
}

// peers keeps the entries of a region in step: a small heartbeat each second,
// agents' reports as they change, and configuration to those that lack it.
type peers struct {
	entry  *Entry
	cancel context.CancelFunc
	wg     sync.WaitGroup
	out    chan proto.ReportsMsg
}

// Start begins to beat.
func (p *peers) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.out = make(chan proto.ReportsMsg, passBuffer)
	p.wg.Add(3)
	go p.runBeats(ctx)
	go p.runPass(ctx)
	go p.runTicks(ctx)
	return nil
}

// Stop ends the beats.
func (p *peers) Stop(context.Context) error {
	p.cancel()
	p.wg.Wait()
	return nil
}

func (p *peers) runTicks(ctx context.Context) {
	defer p.wg.Done()
	p.entry.runTicks(ctx)
}

// pass hands reports to all peers, soon. Where the buffer is full they are
// dropped: the digest in the next heartbeat brings them in.
func (p *peers) pass(m proto.ReportsMsg) {
	if len(m.Reports) == 0 && len(m.Silent) == 0 {
		return
	}
	select {
	case p.out <- m:
	default:
	}
}

func (p *peers) runPass(ctx context.Context) {
	defer p.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.out:
			p.each(ctx, func(ctx context.Context, addr string) {
				_, _ = wire.Call[proto.AckMsg](ctx, p.entry.node, addr, m)
			})
		}
	}
}

// each calls f for every other entry at once and waits for all.
func (p *peers) each(ctx context.Context, f func(ctx context.Context, addr string)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	kern.Each(p.addrs(), func(_ int, addr string) { f(ctx, addr) })
}

// addrs lists the other entries: those with a record, those heard, and those
// named at the start.
func (p *peers) addrs() []string {
	set := make(map[string]bool)
	p.entry.ask(func(c *control, now clock.Millis) {
		for _, addr := range c.entryAddrs(now) {
			set[addr] = true
		}
	})
	for _, addr := range p.entry.Peers {
		set[addr] = true
	}
	delete(set, p.entry.Advertise)
	var out []string
	for addr := range set {
		out = append(out, addr)
	}
	sort.Strings(out)
	return out
}

// entryAddrs lists the entries that agents may choose as their home.
func (c *control) entryAddrs(now clock.Millis) []string {
	set := make(map[string]bool)
	if !c.entry.leaving.Load() {
		set[c.entry.Advertise] = true
	}
	for name, addr := range c.members {
		p, ok := c.peers[name]
		if name != c.entry.Name && (!ok || now-p.heard < peerSilence && p.ready) {
			set[addr] = true
		}
	}
	for _, p := range c.peers {
		if now-p.heard < peerSilence && p.ready {
			set[p.addr] = true
		}
	}
	var out []string
	for addr := range set {
		out = append(out, addr)
	}
	sort.Strings(out)
	return out
}

func (p *peers) runBeats(ctx context.Context) {
	defer p.wg.Done()
	for {
		p.each(ctx, p.beat)
		if !pause(ctx, peerEvery) {
			return
		}
	}
}

func (p *peers) beat(ctx context.Context, addr string) {
	var m proto.PeerMsg
	p.entry.ask(func(c *control, now clock.Millis) { m = c.peerMsg(now) })
	reply, err := wire.Call[proto.PeerReplyMsg](ctx, p.entry.node, addr, m)
	if err != nil {
		if fault.Is(err, fault.Unreachable) {
			p.entry.node.Forget(addr)
		}
		return
	}
	var back proto.ReportsMsg
	p.entry.ask(func(c *control, now clock.Millis) {
		if reply.Config != nil {
			c.adopt(now, *reply.Config)
		}
		back = proto.ReportsMsg{Entry: c.entry.Name}
		if reply.WantsAll {
			back.All = true
			back.Reports = c.fleet.Reports(c.entry.Name)
		}
		if reply.WantsConf {
			doc := c.doc
			back.Config = &doc
		}
	})
	if back.All || back.Config != nil {
		_, _ = wire.Call[proto.AckMsg](ctx, p.entry.node, addr, back)
	}
}

func (c *control) peerMsg(now clock.Millis) proto.PeerMsg {
	return proto.PeerMsg{
		Entry:    c.entry.Name,
		Addr:     c.entry.Advertise,
		Revision: c.doc.Revision,
		ViewAge:  now - c.store.current,
		Digest:   c.fleet.Digest(c.entry.Name),
		Ready:    !c.entry.leaving.Load(),
	}
}

func (e *Entry) mux() *wire.Mux {
	m := &wire.Mux{}
	wire.Handle(m, e.onReport, certs.Agent)
	wire.Handle(m, e.onResolve, certs.Agent)
	wire.Handle(m, e.onPeer, certs.Entry)
	wire.Handle(m, e.onReports, certs.Entry)
	wire.Handle(m, e.onEvents, certs.Entry)
	return m
}

func gone() error {
	return fault.New(fault.Leaving, "ask another entry", "the entry has stopped")
}

func (e *Entry) onReport(_ context.Context, _ wire.Peer, m proto.ReportMsg) (proto.ReportReplyMsg, error) {
	var out proto.ReportReplyMsg
	var pass bool
	ok := e.ask(func(c *control, now clock.Millis) {
		out.HeartbeatInterval = c.beatFor()
		out.Entries = c.entryAddrs(now)
		if m.Heartbeat {
			out.NeedFull = !c.fleet.Heartbeat(now, m, out.HeartbeatInterval)
		} else {
			pass = c.report(now, m, e.Name)
			out.NeedFull = !pass
		}
		if c.doc.Revision > m.Revision {
			out.Config = c.agentConf()
		}
	})
	if !ok {
		return out, gone()
	}
	if pass {
		e.peers.pass(proto.ReportsMsg{Entry: e.Name, Reports: []proto.ReportMsg{m}})
		e.planner.nudge()
	}
	return out, nil
}

func (e *Entry) onPeer(_ context.Context, _ wire.Peer, m proto.PeerMsg) (proto.PeerReplyMsg, error) {
	var out proto.PeerReplyMsg
	ok := e.ask(func(c *control, now clock.Millis) {
		if p, known := c.peers[m.Entry]; !known || now-p.heard > peerSilence {
			e.line.Add(event.Event{Kind: "peer_heard", Detail: m.Entry})
		}
		c.peers[m.Entry] = &peer{addr: m.Addr, heard: now, revision: m.Revision, viewAge: m.ViewAge, ready: m.Ready}
		c.fleet.HomeAlive(now, m.Entry)
		out = proto.PeerReplyMsg{Entry: e.Name, Revision: c.doc.Revision}
		out.WantsAll = c.fleet.Digest(m.Entry) != m.Digest
		out.WantsConf = m.Revision > c.doc.Revision
		if c.doc.Revision > m.Revision {
			doc := c.doc
			out.Config = &doc
		}
	})
	if !ok {
		return out, gone()
	}
	return out, nil
}

func (e *Entry) onReports(_ context.Context, _ wire.Peer, m proto.ReportsMsg) (proto.AckMsg, error) {
	e.ask(func(c *control, now clock.Millis) {
		c.fleet.HomeAlive(now, m.Entry)
		if m.Config != nil {
			c.adopt(now, *m.Config)
		}
		if m.All {
			c.fleet.Replace(now, m.Entry, m.Reports)
			c.pump(now)
			return
		}
		for _, r := range m.Reports {
			c.report(now, r, m.Entry)
		}
		for _, name := range m.Silent {
			if a, ok := c.fleet.Get(name); ok && a.Home() == m.Entry {
				c.fleet.MarkSilent(now, name, m.Entry)
				c.agentSilent(name)
			}
		}
	})
	e.planner.nudge()
	return proto.AckMsg{}, nil
}

// onEvents gives this process's events; deep asks its agents too.
func (e *Entry) onEvents(ctx context.Context, _ wire.Peer, m proto.EventsMsg) (proto.EventListMsg, error) {
	events := e.line.Select(m.Query)
	if m.IncludeAgents {
		events = append(events, e.agentEvents(ctx, m)...)
	}
	return proto.EventListMsg{Events: events}, nil
}
