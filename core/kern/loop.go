package kern

import (
	"context"
	"sync"
)

// Msg is anything that happened: an arrival, a report, a tick, a result.
type Msg any

// Cmd is work that may block. It runs outside the control goroutine, and the
// message it returns, if any, comes back to it.
type Cmd func(ctx context.Context) Msg

// Model is control state. Update is called by one goroutine only, so it needs
// no locks; it must not block, and returns what should be done about msg.
type Model interface {
	Update(msg Msg) []Cmd
}

// inboxSize is the number of messages that may wait for the control goroutine.
const inboxSize = 4096

// Loop runs a Model: one goroutine applies messages, others run commands.
// Set Model before Start.
type Loop struct {
	Model Model

	inbox  chan Msg
	ctx    context.Context
	cancel context.CancelFunc
	cmds   sync.WaitGroup
	ended  chan struct{}
	once   sync.Once
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.inbox = make(chan Msg, inboxSize)
		l.ended = make(chan struct{})
		l.ctx, l.cancel = context.WithCancel(context.Background())
	})
}

// Start begins to apply messages.
func (l *Loop) Start() {
	l.init()
	go l.run()
}

// Send hands a message to the model. It waits while the inbox is full, and
// returns false once the loop has ended.
func (l *Loop) Send(msg Msg) bool {
	l.init()
	select {
	case l.inbox <- msg:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// askMsg carries a question into the control goroutine.
type askMsg struct {
	ask  func()
	done chan struct{}
}

// Do runs f in the control goroutine and waits for it. It returns false,
// without running f, if the loop ended first.
func (l *Loop) Do(f func()) bool {
	m := askMsg{ask: f, done: make(chan struct{})}
	if !l.Send(m) {
		return false
	}
	select {
	case <-m.done:
		return true
	case <-l.ended:
		select {
		case <-m.done:
			return true
		default:
			return false
		}
	}
}

// Stop ends the loop and cancels its commands, then waits for both.
func (l *Loop) Stop() {
	l.init()
	l.cancel()
	<-l.ended
	l.cmds.Wait()
}

func (l *Loop) run() {
	defer close(l.ended)
	for {
		select {
		case <-l.ctx.Done():
			return
		case msg := <-l.inbox:
			l.apply(msg)
		}
	}
}

func (l *Loop) apply(msg Msg) {
	if m, ok := msg.(askMsg); ok {
		m.ask()
		close(m.done)
		return
	}
	for _, cmd := range l.Model.Update(msg) {
		if cmd == nil {
			continue
		}
		l.cmds.Add(1)
		go l.runCmd(cmd)
	}
}

func (l *Loop) runCmd(cmd Cmd) {
	defer l.cmds.Done()
	if msg := cmd(l.ctx); msg != nil {
		l.Send(msg)
	}
}
