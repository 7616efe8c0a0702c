package plat

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ProxyFault is a fault that a Proxy injects into its connections.
type ProxyFault int

// The faults of a Proxy.
const (
	Pass    ProxyFault = iota // no fault
	Delay                     // each chunk of data is delayed by proxyDelay
	Reset                     // open and new connections are reset
	OneWay                    // requests are forwarded, responses are dropped
	Silence                   // data is dropped in both directions
)

// proxyDelay is the delay of each chunk under Delay.
const proxyDelay = 80 * time.Millisecond

// Proxy forwards TCP connections on loopback and injects faults on demand.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault ProxyFault
	conns map[net.Conn]*atomic.Bool // whether each open connection has gone silent for good
}

// NewProxy listens on a free port and forwards connections to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]*atomic.Bool)}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set changes the fault, for open connections too.
func (p *Proxy) Set(f ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Open returns the number of open connections.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// SilenceOpen drops all further data on the connections that are open now. New
// connections are not affected.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.conns {
		silent.Store(true)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // sends RST; without it the peer sees an orderly close
	}
	_ = c.Close()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

func (p *Proxy) currentFault() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Reset {
			reset(c)
			continue
		}
		go p.serveConn(c)
	}
}

func (p *Proxy) serveConn(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	silent := new(atomic.Bool)
	p.mu.Lock()
	p.conns[c] = silent
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	ended := make(chan struct{}, 2)
	go p.forward(t, c, false, silent, ended)
	go p.forward(c, t, true, silent, ended)
	<-ended
}

// forward copies one direction until it is closed, or drops it once silent is
// set.
func (p *Proxy) forward(to io.Writer, from io.Reader, responses bool, silent *atomic.Bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, 32<<10)
	lost := false // stays set: after lost bytes the stream can't be resumed
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := p.currentFault()
		lost = lost || silent.Load() || f == Silence || f == OneWay && responses
		if lost {
			continue
		}
		if f == Delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
