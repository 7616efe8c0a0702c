package prog

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

type linkCmd struct {
	Listen  string `required:"" help:"UDP address to take packets at."`
	To      string `required:"" help:"UDP address to pass them to."`
	Control string `required:"" help:"HTTP address for POST /cut and POST /heal, each with ?from= for one sender only."`
}

// maxPacket is the size of the largest UDP packet, in bytes.
const maxPacket = 65536

// link forwards packets both ways and drops them while it is cut.
type link struct {
	cut   atomic.Bool
	front *net.UDPConn
	to    *net.UDPAddr

	mu      sync.Mutex
	backs   map[string]*net.UDPConn
	cutFrom map[string]bool
}

// Run forwards until the process is ended.
func (c *linkCmd) Run() error {
	listen, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", c.To)
	if err != nil {
		return err
	}
	front, err := net.ListenUDP("udp", listen)
	if err != nil {
		return err
	}
	l := &link{front: front, to: to, backs: make(map[string]*net.UDPConn), cutFrom: make(map[string]bool)}
	go l.run()
	mux := http.NewServeMux()
	mux.HandleFunc("/cut", func(_ http.ResponseWriter, r *http.Request) { l.set(r.FormValue("from"), true) })
	mux.HandleFunc("/heal", func(_ http.ResponseWriter, r *http.Request) { l.set(r.FormValue("from"), false) })
	return http.ListenAndServe(c.Control, mux)
}

func (l *link) set(from string, cut bool) {
	if from == "" {
		l.cut.Store(cut)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom[from] = cut
}

func (l *link) open(from *net.UDPAddr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut.Load() && !l.cutFrom[from.String()]
}

func (l *link) run() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := l.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		back, err := l.back(from)
		if err == nil && l.open(from) {
			_, _ = back.Write(buf[:n])
		}
	}
}

func (l *link) back(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if back, ok := l.backs[from.String()]; ok {
		return back, nil
	}
	back, err := net.DialUDP("udp", nil, l.to)
	if err != nil {
		return nil, err
	}
	l.backs[from.String()] = back
	go l.runBack(back, from)
	return back, nil
}

func (l *link) runBack(back *net.UDPConn, from *net.UDPAddr) {
	buf := make([]byte, maxPacket)
	for {
		n, err := back.Read(buf)
		if err != nil {
			continue
		}
		if l.open(from) {
			_, _ = l.front.WriteToUDP(buf[:n], from)
		}
	}
}
