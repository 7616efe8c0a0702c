// Package wire carries typed messages between the system's processes over QUIC
// with mutual TLS. A call is one request and one reply on a stream of its own,
// each sent as one frame: its length, then its CBOR encoding.
//
// A Node listens and makes calls on one UDP socket:
//
//	n := &wire.Node{Addr: "127.0.0.1:0", TLS: tlsConfig, Mux: mux}
//	err := n.Listen()
//	reply, err := wire.Call[proto.FencedMsg](ctx, n, addr, proto.FenceMsg{...})
//
// Call returns a fault in the peer's reply, from the handler or the Mux, as it
// is. Faults of the call itself have one of three fault kinds: unreachable if no
// connection or stream could be opened and too_large if the request exceeds
// MaxMessage, so that nothing was sent; in_doubt if no complete reply came or it
// could not be decoded, so that the handler may have run.
package wire

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"gypsumcrank/core/fault"
	"gypsumcrank/io/certs"
)

// MaxMessage is the largest size of an encoded request or reply, in bytes.
const MaxMessage = 4 << 20

// Message is a request that Call can send. Its Kind, which is not a fault kind,
// selects the handler.
type Message interface {
	Kind() string
}

// Peer is the sender of a request, with the role in its certificate.
type Peer struct {
	Role certs.Role
	Addr string
}

type envelope struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type reply struct {
	Fault *fault.Error    `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

type handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

type route struct {
	roles  []certs.Role
	handle handler
}

// Mux dispatches requests to handlers by message kind.
type Mux struct {
	mu     sync.RWMutex
	routes map[string]route
}

// Handle registers f for messages of In's kind from peers of the given roles;
// without roles, all peers are refused. A second Handle of a kind replaces the
// first.
func Handle[In Message, Out any](m *Mux, f func(ctx context.Context, from Peer, in In) (Out, error), roles ...certs.Role) {
	var zero In
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes == nil {
		m.routes = make(map[string]route)
	}
	m.routes[zero.Kind()] = route{roles: roles, handle: func(ctx context.Context, from Peer, body []byte) ([]byte, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fault.New(fault.Invalid, "run the same version of the program on all hosts", "%s message can't be decoded: %v", zero.Kind(), err)
		}
		out, err := f(ctx, from, in)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(out)
	}}
}

func (m *Mux) serve(ctx context.Context, from Peer, e envelope) (out reply) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("handler_panic", "kind", e.Kind, "panic", p)
			out = reply{Fault: fault.New(fault.Internal, "report this fault with the handler_panic line of the log", "handler of %s messages panicked", e.Kind)}
		}
	}()
	m.mu.RLock()
	r, ok := m.routes[e.Kind]
	m.mu.RUnlock()
	if !ok || !r.admits(from.Role) {
		return reply{Fault: fault.New(fault.Denied, "call a process that handles this message, with a certificate of a role that may send it", "%s message from a peer with role %q is not accepted by this process", e.Kind, from.Role)}
	}
	body, err := r.handle(ctx, from, e.Body)
	if err != nil {
		return reply{Fault: fault.Of(err)}
	}
	return reply{Body: body}
}

func (r route) admits(role certs.Role) bool {
	for _, want := range r.roles {
		if role == want {
			return true
		}
	}
	return false
}

func writeFrame(w io.Writer, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(raw) > MaxMessage {
		return fault.New(fault.TooLarge, "make the request or its reply smaller", "message of %d bytes exceeds the limit of %d bytes", len(raw), MaxMessage)
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(raw)), uint32(len(raw)))
	_, err = w.Write(append(buf, raw...))
	return err
}

func readFrame(r io.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxMessage {
		return fault.New(fault.TooLarge, "make the request or its reply smaller", "message of %d bytes exceeds the limit of %d bytes", n, MaxMessage)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, v)
}

// Call sends a request to addr and returns the decoded reply. The package comment
// lists the fault kinds of its errors.
func Call[Out any](ctx context.Context, n *Node, addr string, in Message) (Out, error) {
	var out Out
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, err
	}
	raw, err := n.call(ctx, addr, envelope{Kind: in.Kind(), Body: body})
	if err != nil {
		return out, err
	}
	if err := cbor.Unmarshal(raw, &out); err != nil {
		return out, fault.New(fault.InDoubt, "run the same version of the program on all hosts", "reply to %s can't be decoded: %v", in.Kind(), err)
	}
	return out, nil
}
