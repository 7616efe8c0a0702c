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

// Limits of connections.
const (
	handshakeTimeout = 2 * time.Second
	silenceTimeout   = 30 * time.Second
	keepAlivePeriod  = 10 * time.Second
	unusedTimeout    = 60 * time.Second
	maxStreams       = 8192
)

// Message and connection counters of the process.
var (
	sentMessages = expvar.NewInt("wire_sent_messages")
	recvMessages = expvar.NewInt("wire_received_messages")
	openConns    = expvar.NewInt("wire_connections")
)

// Node accepts and dials connections for one process. Set the exported fields
// before Listen.
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
	conns    map[string]*peerConn
	retired  []*peerConn
	accepted map[*quic.Conn]bool
}

// peerConn is a dialled connection, shared by all calls to its address.
type peerConn struct {
	dialMu      sync.Mutex
	conn        *quic.Conn
	lastUsed    atomic.Int64
	activeCalls atomic.Int64
}

// quicConfig returns settings that keep idle connections cheap: most carry few
// and small messages, so path MTU discovery would cost more than it gains.
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

// Listen opens the socket and starts serving messages.
func (n *Node) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", n.Addr)
	if err != nil {
		return fault.New(fault.Invalid, "give an IP address and a port, such as 10.0.0.7:7070", "--peer-listen %q: %v", n.Addr, err)
	}
	n.udp, err = net.ListenUDP("udp", addr)
	if err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "--peer-listen %q: %v", n.Addr, err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.conns = make(map[string]*peerConn)
	n.accepted = make(map[*quic.Conn]bool)
	key, err := resetKey(n.TLS)
	if err != nil {
		return err
	}
	n.transport = &quic.Transport{Conn: n.udp, StatelessResetKey: key}
	n.listener, err = n.transport.Listen(n.TLS, quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go n.runAccept()
	go n.runSweep()
	return nil
}

// resetKey derives the stateless reset key from the private key of the
// certificate. It is the same in each incarnation of a process, so that a new
// incarnation can reset its callers' connections to the old one.
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

// LocalAddr returns the address that the node listens on.
func (n *Node) LocalAddr() string { return n.udp.LocalAddr().String() }

// Close closes all connections and the socket at once.
func (n *Node) Close() error {
	n.cancel()
	n.mu.Lock()
	for _, pc := range n.conns {
		pc.close()
	}
	for _, pc := range n.retired {
		pc.close()
	}
	for conn := range n.accepted {
		_ = conn.CloseWithError(0, "")
	}
	n.mu.Unlock()
	_ = n.listener.Close()
	_ = n.transport.Close()
	return n.udp.Close()
}

// Drain waits until all handlers in progress have finished, or ctx ends.
func (n *Node) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go n.runDrain(done)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "message handlers are still running")
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
	bytesOnWire.track(conn)
	openConns.Add(1)
	defer openConns.Add(-1)
	n.trackAccepted(conn, true)
	defer n.trackAccepted(conn, false)
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

func (n *Node) trackAccepted(conn *quic.Conn, open bool) {
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

// runSweep closes connections that no call has used for unusedTimeout.
func (n *Node) runSweep() {
	tick := time.NewTicker(unusedTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-tick.C:
			n.closeUnused(now.Add(-unusedTimeout))
		}
	}
}

func (n *Node) closeUnused(before time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inUse := n.retired[:0]
	for _, pc := range n.retired {
		if pc.activeCalls.Load() == 0 {
			pc.close()
		} else {
			inUse = append(inUse, pc)
		}
	}
	n.retired = inUse
	for addr, pc := range n.conns {
		if pc.activeCalls.Load() == 0 && pc.lastUsed.Load() < before.UnixMilli() {
			delete(n.conns, addr)
			pc.close()
		}
	}
}

func (pc *peerConn) close() {
	pc.dialMu.Lock()
	defer pc.dialMu.Unlock()
	if pc.conn != nil {
		_ = pc.conn.CloseWithError(0, "")
	}
}

func (n *Node) acquire(addr string) *peerConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc, ok := n.conns[addr]
	if !ok {
		pc = &peerConn{}
		n.conns[addr] = pc
	}
	pc.activeCalls.Add(1)
	pc.lastUsed.Store(time.Now().UnixMilli())
	return pc
}

// Disconnect closes the connection to addr; the next call dials a new one.
func (n *Node) Disconnect(addr string) {
	n.mu.Lock()
	pc, ok := n.conns[addr]
	delete(n.conns, addr)
	n.mu.Unlock()
	if ok {
		pc.close()
	}
}

// retire makes the next call to addr dial a new connection, because a call on
// this one got no reply in time: the peer may be reachable over a new connection
// long before this one recovers. Calls in progress on it continue.
func (n *Node) retire(addr string, pc *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[addr] == pc {
		delete(n.conns, addr)
		n.retired = append(n.retired, pc)
	}
}

func (n *Node) open(ctx context.Context, pc *peerConn, addr string) (*quic.Stream, error) {
	pc.dialMu.Lock()
	defer pc.dialMu.Unlock()
	if pc.conn != nil && pc.conn.Context().Err() == nil {
		return pc.conn.OpenStreamSync(ctx)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	pc.conn, err = n.transport.Dial(ctx, udp, n.TLS, quicConfig())
	if err != nil {
		pc.conn = nil
		return nil, err
	}
	bytesOnWire.track(pc.conn)
	return pc.conn.OpenStreamSync(ctx)
}

func (n *Node) call(ctx context.Context, addr string, e envelope) ([]byte, error) {
	pc := n.acquire(addr)
	defer pc.activeCalls.Add(-1)
	stream, err := n.open(ctx, pc, addr)
	if err != nil {
		return nil, fault.New(fault.Unreachable, "check that the process at this address is running and has a certificate of the same authority", "no connection to %s: %v", addr, err).WithOutcome(fault.NotRun)
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
		n.retire(addr, pc)
	}
	if err != nil {
		return nil, fault.New(fault.InDoubt, "query the outcome of the message before sending it again", "no reply to %s from %s: %v", e.Kind, addr, err).WithOutcome(fault.Unknown)
	}
	if r.Fault != nil {
		return nil, r.Fault
	}
	return r.Body, nil
}
