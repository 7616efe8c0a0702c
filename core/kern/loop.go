package kern

import (
	"context"
	"sync"
)

// Msg is anything that happened: a request, a report, a tick, a result.
type Msg any

// Cmd is work that may block. It runs outside the control goroutine, and the
// message that it returns, if any, is sent to the loop.
type Cmd func(ctx context.Context) Msg

// Model is control state. Update is called by one goroutine only, so it needs
// no locks. It must not block, and returns the commands to run for msg.
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

	mu      sync.Mutex
	started bool // or stopped before that
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.inbox = make(chan Msg, inboxSize)
		l.ended = make(chan struct{})
		l.ctx, l.cancel = context.WithCancel(context.Background())
	})
}

// Start starts the control goroutine, which applies the messages. It does nothing after
// Stop.
func (l *Loop) Start() {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started {
		l.started = true
		go l.run()
	}
}

// Send queues a message for the model. It blocks while the inbox is full, and
// returns false once the loop has stopped.
func (l *Loop) Send(msg Msg) bool {
	l.init()
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.inbox <- msg:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// doMsg carries a function into the control goroutine.
type doMsg struct {
	f    func()
	done chan struct{}
}

// Do runs f in the control goroutine and waits for it. It returns false,
// without running f, if the loop stops first.
func (l *Loop) Do(f func()) bool {
	m := doMsg{f: f, done: make(chan struct{})}
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

// Stop stops the loop, cancels its commands and waits for both. A loop that was not
// started stops at once.
func (l *Loop) Stop() {
	l.init()
	l.cancel()
	l.mu.Lock()
	if !l.started {
		l.started = true
		close(l.ended)
	}
	l.mu.Unlock()
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
	if m, ok := msg.(doMsg); ok {
		m.f()
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
