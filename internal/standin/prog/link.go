package prog

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

type linkCmd struct {
	Listen  string `required:"" help:"UDP address to receive packets on."`
	To      string `required:"" help:"UDP address to forward them to."`
	Control string `required:"" help:"HTTP address for POST /cut and POST /heal; ?from= limits them to one sender."`
}

// maxPacket is the maximum size of a UDP packet in bytes.
const maxPacket = 65536

// link forwards packets in both directions and drops them while it is cut.
type link struct {
	cut      atomic.Bool
	listener *net.UDPConn
	to       *net.UDPAddr

	mu         sync.Mutex
	upstreams  map[string]*net.UDPConn
	cutSenders map[string]bool
}

// Run forwards until the process is terminated.
func (c *linkCmd) Run() error {
	listen, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", c.To)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return err
	}
	l := &link{listener: conn, to: to, upstreams: make(map[string]*net.UDPConn), cutSenders: make(map[string]bool)}
	go l.forward()
	mux := http.NewServeMux()
	mux.HandleFunc("/cut", func(_ http.ResponseWriter, r *http.Request) { l.setCut(r.FormValue("from"), true) })
	mux.HandleFunc("/heal", func(_ http.ResponseWriter, r *http.Request) { l.setCut(r.FormValue("from"), false) })
	return http.ListenAndServe(c.Control, mux)
}

func (l *link) setCut(from string, cut bool) {
	if from == "" {
		l.cut.Store(cut)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutSenders[from] = cut
}

func (l *link) passes(from *net.UDPAddr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut.Load() && !l.cutSenders[from.String()]
}

func (l *link) forward() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := l.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		conn, err := l.upstream(from)
		if err == nil && l.passes(from) {
			_, _ = conn.Write(buf[:n])
		}
	}
}

func (l *link) upstream(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.upstreams[from.String()]; ok {
		return conn, nil
	}
	conn, err := net.DialUDP("udp", nil, l.to)
	if err != nil {
		return nil, err
	}
	l.upstreams[from.String()] = conn
	go l.forwardReplies(conn, from)
	return conn, nil
}

func (l *link) forwardReplies(conn *net.UDPConn, from *net.UDPAddr) {
	buf := make([]byte, maxPacket)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			continue
		}
		if l.passes(from) {
			_, _ = l.listener.WriteToUDP(buf[:n], from)
		}
	}
}
