package plat

import (
	"io"
	"net"
	"sync"
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
	conns map[net.Conn]bool
}

// NewProxy listens on a free port and forwards connections to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]bool)}
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
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	ended := make(chan struct{}, 2)
	go p.forward(t, c, false, ended)
	go p.forward(c, t, true, ended)
	<-ended
}

// forward copies one direction until it is closed.
func (p *Proxy) forward(to io.Writer, from io.Reader, responses bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, 32<<10)
	silent := false // stays set: after lost bytes the stream can't be resumed
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := p.currentFault()
		silent = silent || f == Silence || f == OneWay && responses
		if silent {
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
