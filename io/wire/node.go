package wire

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"gypsumcrank/core/fault"
	"gypsumcrank/io/certs"
)

// Times of connections.
const (
	handshakeTimeout = 2 * time.Second
	silenceTimeout   = 30 * time.Second
	keepAlivePeriod  = 10 * time.Second
	unusedTimeout    = 60 * time.Second
	maxStreams       = 8192
)

// Traffic of the process, in bytes and messages.
var (
	sentMessages = expvar.NewInt("wire_sent_messages")
	recvMessages = expvar.NewInt("wire_received_messages")
	openConns    = expvar.NewInt("wire_connections")
)

// Node is one process's end of the wire. Set the exported fields before Listen.
type Node struct {
	Addr string
	TLS  *tls.Config
	Mux  *Mux

	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	serving   sync.WaitGroup

	mu       sync.Mutex
	conns    map[string]*link
	retired  []*link
	accepted map[*quic.Conn]bool
}

// link is a connection that this node dialled, shared by its calls.
type link struct {
	once sync.Mutex
	conn *quic.Conn
	used atomic.Int64
	busy atomic.Int64
}

// quicConfig holds connections open at little cost: most carry few and small
// messages, so probing for larger packets would cost more than it gains.
func quicConfig() *quic.Config {
	return &quic.Config{
		DisablePathMTUDiscovery: true,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          silenceTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   -1,
	}
}

// Listen opens the socket and begins to answer messages.
func (n *Node) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", n.Addr)
	if err != nil {
		return fault.New(fault.Invalid, "give an IP and a port, such as 10.0.0.7:7070", "--peer-listen %q: %v", n.Addr, err)
	}
	n.udp, err = net.ListenUDP("udp", addr)
	if err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "--peer-listen %q: %v", n.Addr, err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.conns = make(map[string]*link)
	n.accepted = make(map[*quic.Conn]bool)
	reset, err := resetKey(n.TLS)
	if err != nil {
		return err
	}
	n.transport = &quic.Transport{Conn: n.udp, StatelessResetKey: reset}
	n.listener, err = n.transport.Listen(n.TLS, quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go n.runAccept()
	go n.runSweep()
	return nil
}

// resetKey is the same in each life of a process, so that a new one can tell
// its callers that connections to the old one are gone.
func resetKey(conf *tls.Config) (*quic.StatelessResetKey, error) {
	cert, err := conf.GetCertificate(nil)
	if err != nil {
		return nil, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "derive reset key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(raw))
	return &key, nil
}

// LocalAddr is the address that the node listens on.
func (n *Node) LocalAddr() string { return n.udp.LocalAddr().String() }

// Close ends all connections at once.
func (n *Node) Close() error {
	n.cancel()
	n.mu.Lock()
	for _, l := range n.conns {
		l.close()
	}
	for _, l := range n.retired {
		l.close()
	}
	for conn := range n.accepted {
		_ = conn.CloseWithError(0, "")
	}
	n.mu.Unlock()
	_ = n.listener.Close()
	_ = n.transport.Close()
	return n.udp.Close()
}

// Drain waits until the messages being answered are answered, or ctx ends.
func (n *Node) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go n.runDrain(done)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "messages are still being answered")
	}
}

func (n *Node) runDrain(done chan struct{}) {
	n.serving.Wait()
	close(done)
}

func (n *Node) runAccept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		go n.runConn(conn)
	}
}

func (n *Node) runConn(conn *quic.Conn) {
	bytesOnWire.watch(conn)
	openConns.Add(1)
	defer openConns.Add(-1)
	n.note(conn, true)
	defer n.note(conn, false)
	from := Peer{Role: certs.RoleOf(conn.ConnectionState().TLS), Addr: conn.RemoteAddr().String()}
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.serving.Add(1)
		go n.runStream(from, stream)
	}
}

func (n *Node) note(conn *quic.Conn, open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if open {
		n.accepted[conn] = true
	} else {
		delete(n.accepted, conn)
	}
}

func (n *Node) runStream(from Peer, stream *quic.Stream) {
	defer n.serving.Done()
	defer stream.Close()
	var e envelope
	if err := readFrame(stream, &e); err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	recvMessages.Add(1)
	r := n.Mux.serve(stream.Context(), from, e)
	if err := writeFrame(stream, r); err != nil {
		stream.CancelWrite(0)
	}
}

// runSweep closes connections that no call has used for a while.
func (n *Node) runSweep() {
	tick := time.NewTicker(unusedTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-tick.C:
			n.sweep(now.Add(-unusedTimeout))
		}
	}
}

func (n *Node) sweep(before time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.retired[:0]
	for _, l := range n.retired {
		if l.busy.Load() == 0 {
			l.close()
		} else {
			kept = append(kept, l)
		}
	}
	n.retired = kept
	for addr, l := range n.conns {
		if l.busy.Load() == 0 && l.used.Load() < before.UnixMilli() {
			delete(n.conns, addr)
			l.close()
		}
	}
}

func (l *link) close() {
	l.once.Lock()
	defer l.once.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "")
	}
}

func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.conns[addr]
	if !ok {
		l = &link{}
		n.conns[addr] = l
	}
	l.busy.Add(1)
	l.used.Store(time.Now().UnixMilli())
	return l
}

// Forget closes the connection to addr, so that the next call dials anew.
func (n *Node) Forget(addr string) {
	n.mu.Lock()
	l, ok := n.conns[addr]
	delete(n.conns, addr)
	n.mu.Unlock()
	if ok {
		l.close()
	}
}

// retire makes the next call to addr dial anew, because one on this link had no
// reply in time: the other side may be back at a new connection long before
// this one recovers. Calls under way on it go on.
func (n *Node) retire(addr string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[addr] == l {
		delete(n.conns, addr)
		n.retired = append(n.retired, l)
	}
}

func (n *Node) open(ctx context.Context, l *link, addr string) (*quic.Stream, error) {
	l.once.Lock()
	defer l.once.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn.OpenStreamSync(ctx)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l.conn, err = n.transport.Dial(ctx, udp, n.TLS, quicConfig())
	if err != nil {
		l.conn = nil
		return nil, err
	}
	bytesOnWire.watch(l.conn)
	return l.conn.OpenStreamSync(ctx)
}

func (n *Node) call(ctx context.Context, addr string, e envelope) ([]byte, error) {
	l := n.link(addr)
	defer l.busy.Add(-1)
	stream, err := n.open(ctx, l, addr)
	if err != nil {
		return nil, fault.New(fault.Unreachable, "check that the process at the address runs and has a certificate of the same authority", "no connection to %s: %v", addr, err).WithOutcome(fault.NotRun)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	sentMessages.Add(1)
	err = writeFrame(stream, e)
	if fault.Is(err, fault.TooLarge) {
		return nil, err
	}
	_ = stream.Close()
	var r reply
	if err == nil {
		err = readFrame(stream, &r)
	}
	if err != nil && ctx.Err() != nil {
		n.retire(addr, l)
	}
	if err != nil {
		return nil, fault.New(fault.InDoubt, "ask what became of it before sending again", "no reply to %s from %s: %v", e.Kind, addr, err).WithOutcome(fault.Unknown)
	}
	if r.Fault != nil {
		return nil, r.Fault
	}
	return r.Body, nil
}
