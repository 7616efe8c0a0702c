package plat

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFault is how a Proxy treats the connections through it.
type ProxyFault int

// The faults of a Proxy.
const (
	Pass    ProxyFault = iota
	Delay              // each piece is held up for a while
	Reset              // open connections are reset, new ones too
	OneWay             // requests arrive, answers don't
	Silence            // nothing arrives, either way
)

// proxyDelay is how long Delay holds a piece up.
const proxyDelay = 80 * time.Millisecond

// Proxy forwards TCP on loopback, and misbehaves on demand.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault ProxyFault
	conns map[net.Conn]bool
}

// NewProxy listens on a free port and forwards to a target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set changes how connections are treated, the open ones too.
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
		_ = t.SetLinger(0) // else the peer sees an orderly end
	}
	_ = c.Close()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

func (p *Proxy) now() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == Reset {
			reset(c)
			continue
		}
		go p.runConn(c)
	}
}

func (p *Proxy) runConn(c net.Conn) {
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
	go p.runCopy(t, c, false, ended)
	go p.runCopy(c, t, true, ended)
	<-ended
}

// runCopy forwards one direction until it ends.
func (p *Proxy) runCopy(to io.Writer, from io.Reader, answers bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, 32<<10)
	silent := false // once bytes are lost, a connection stays silent for good
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := p.now()
		silent = silent || f == Silence || f == OneWay && answers
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
