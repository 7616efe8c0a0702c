package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/proto"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/wire"
)

// Intervals and limits of the communication between entries.
const (
	peerHeartbeatInterval = time.Second
	peerCallTimeout       = 1500 * time.Millisecond
	// peerSilenceTimeout is how long a peer may send no heartbeat before it
	// counts as silent.
	peerSilenceTimeout = 4 * clock.Second
	broadcastBuffer    = 1024
)

// peer is another entry as this one sees it.
type peer struct {
	addr        string
	lastContact clock.Millis
	revision    int64
	viewAge     clock.Millis
	ready       bool
}

// peers keeps the entries of a region in sync. It sends a small heartbeat each
// second, agents' reports as they change, and the configuration to entries that
// lack it.
type peers struct {
	entry    *Entry
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	outgoing chan proto.ReportsMsg
}

// Start starts the heartbeats, the broadcast of reports, and control's ticks.
func (p *peers) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.outgoing = make(chan proto.ReportsMsg, broadcastBuffer)
	p.wg.Add(3)
	go p.runHeartbeats(ctx)
	go p.runBroadcast(ctx)
	go p.runTicks(ctx)
	return nil
}

// Stop stops what Start has started.
func (p *peers) Stop(context.Context) error {
	p.cancel()
	p.wg.Wait()
	return nil
}

func (p *peers) runTicks(ctx context.Context) {
	defer p.wg.Done()
	p.entry.runTicks(ctx)
}

// broadcast queues reports for all peers. If the buffer is full they are
// dropped: peers notice by the digest in the next heartbeat, and ask for all
// reports.
func (p *peers) broadcast(m proto.ReportsMsg) {
	if len(m.Reports) == 0 && len(m.Silent) == 0 {
		return
	}
	select {
	case p.outgoing <- m:
	default:
	}
}

func (p *peers) runBroadcast(ctx context.Context) {
	defer p.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outgoing:
			p.callAll(ctx, func(ctx context.Context, addr string) {
				_, _ = wire.Call[proto.AckMsg](ctx, p.entry.node, addr, m)
			})
		}
	}
}

// callAll calls f for all other entries concurrently and waits for the calls to
// return.
func (p *peers) callAll(ctx context.Context, f func(ctx context.Context, addr string)) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	kern.Each(p.addrs(), func(_ int, addr string) { f(ctx, addr) })
}

// addrs returns the addresses of the other entries: those with a membership
// record, those that sent heartbeats, and those configured at the start.
func (p *peers) addrs() []string {
	set := make(map[string]bool)
	p.entry.withControl(func(c *control, now clock.Millis) {
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

// entryAddrs returns the addresses of the entries that agents may choose as
// their home entry.
func (c *control) entryAddrs(now clock.Millis) []string {
	set := make(map[string]bool)
	if !c.entry.leaving.Load() {
		set[c.entry.Advertise] = true
	}
	for name, addr := range c.members {
		p, ok := c.peers[name]
		if name != c.entry.Name && (!ok || now-p.lastContact < peerSilenceTimeout && p.ready) {
			set[addr] = true
		}
	}
	for _, p := range c.peers {
		if now-p.lastContact < peerSilenceTimeout && p.ready {
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

func (p *peers) runHeartbeats(ctx context.Context) {
	defer p.wg.Done()
	for {
		p.callAll(ctx, p.heartbeat)
		if !sleep(ctx, peerHeartbeatInterval) {
			return
		}
	}
}

func (p *peers) heartbeat(ctx context.Context, addr string) {
	var m proto.PeerMsg
	p.entry.withControl(func(c *control, now clock.Millis) { m = c.peerMsg(now) })
	reply, err := wire.Call[proto.PeerReplyMsg](ctx, p.entry.node, addr, m)
	if err != nil {
		if fault.Is(err, fault.Unreachable) {
			p.entry.node.Disconnect(addr)
		}
		return
	}
	var followUp proto.ReportsMsg
	p.entry.withControl(func(c *control, now clock.Millis) {
		if reply.Config != nil {
			c.adoptConfig(now, *reply.Config)
		}
		followUp = proto.ReportsMsg{Entry: c.entry.Name}
		if reply.WantsAll {
			followUp = c.fullReport(now)
		}
		if reply.WantsConf {
			doc := c.doc
			followUp.Config = &doc
		}
	})
	if followUp.All || followUp.Config != nil {
		_, _ = wire.Call[proto.AckMsg](ctx, p.entry.node, addr, followUp)
	}
}

// fullReport returns the reports of all agents whose home is this entry. It is
// partial until they have had time to choose a home again after a restart.
func (c *control) fullReport(now clock.Millis) proto.ReportsMsg {
	return proto.ReportsMsg{
		Entry: c.entry.Name, All: true, Partial: now-c.createdAt < fleet.HomeSilenceTimeout, Reports: c.fleet.Reports(c.entry.Name),
	}
}

func (c *control) peerMsg(now clock.Millis) proto.PeerMsg {
	return proto.PeerMsg{
		Entry:    c.entry.Name,
		Addr:     c.entry.Advertise,
		Revision: c.doc.Revision,
		ViewAge:  now - c.store.currentAt,
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

func stoppedFault() error {
	return fault.New(fault.Leaving, "retry at another entry", "the entry has stopped")
}

func (e *Entry) onReport(_ context.Context, _ wire.Peer, m proto.ReportMsg) (proto.ReportReplyMsg, error) {
	var out proto.ReportReplyMsg
	var changed bool
	ok := e.withControl(func(c *control, now clock.Millis) {
		out.HeartbeatInterval = c.agentHeartbeatInterval()
		out.Entries = c.entryAddrs(now)
		if m.Heartbeat {
			out.NeedFull = !c.fleet.Heartbeat(now, m, out.HeartbeatInterval)
		} else {
			changed = c.applyReport(now, m, e.Name)
			out.NeedFull = !changed
		}
		if c.doc.Revision > m.Revision {
			out.Config = c.agentConf()
		}
	})
	if !ok {
		return out, stoppedFault()
	}
	if changed {
		e.peers.broadcast(proto.ReportsMsg{Entry: e.Name, Reports: []proto.ReportMsg{m}})
		e.planner.triggerRound()
	}
	return out, nil
}

func (e *Entry) onPeer(_ context.Context, _ wire.Peer, m proto.PeerMsg) (proto.PeerReplyMsg, error) {
	var out proto.PeerReplyMsg
	ok := e.withControl(func(c *control, now clock.Millis) {
		if p, known := c.peers[m.Entry]; !known || now-p.lastContact > peerSilenceTimeout {
			e.events.Add(event.Event{Kind: "peer_heard", Detail: m.Entry})
		}
		c.peers[m.Entry] = &peer{addr: m.Addr, lastContact: now, revision: m.Revision, viewAge: m.ViewAge, ready: m.Ready}
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
		return out, stoppedFault()
	}
	return out, nil
}

func (e *Entry) onReports(_ context.Context, _ wire.Peer, m proto.ReportsMsg) (proto.AckMsg, error) {
	e.withControl(func(c *control, now clock.Millis) {
		c.fleet.HomeAlive(now, m.Entry)
		if m.Config != nil {
			c.adoptConfig(now, *m.Config)
		}
		if m.All {
			c.fleet.Replace(now, m.Entry, m.Reports, !m.Partial)
			c.dispatch(now)
			return
		}
		for _, r := range m.Reports {
			c.applyReport(now, r, m.Entry)
		}
		for _, name := range m.Silent {
			if a, ok := c.fleet.Get(name); ok && a.Home() == m.Entry {
				c.fleet.MarkSilent(now, name, m.Entry)
				c.onAgentSilent(name)
			}
		}
	})
	e.planner.triggerRound()
	return proto.AckMsg{}, nil
}

// onEvents returns the events of this process; if IncludeAgents is set,
// those of the agents too.
func (e *Entry) onEvents(ctx context.Context, _ wire.Peer, m proto.EventsMsg) (proto.EventListMsg, error) {
	events := e.events.Select(m.Query)
	if m.IncludeAgents {
		events = append(events, e.agentEvents(ctx, m)...)
	}
	return proto.EventListMsg{Events: events}, nil
}
