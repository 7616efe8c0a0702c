package wire_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/wire"
)

func listen(t *testing.T, a *certs.Authority, role certs.Role, mux *wire.Mux) *wire.Node {
	c := qt.New(t)
	bundle, err := a.Issue(role, time.Hour)
	c.Assert(err, qt.IsNil)
	conf, err := certs.TLS(func() (certs.Bundle, error) { return bundle, nil })
	c.Assert(err, qt.IsNil)
	n := &wire.Node{Addr: "127.0.0.1:0", TLS: conf, Mux: mux}
	c.Assert(n.Listen(), qt.IsNil)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func echoMux() *wire.Mux {
	mux := &wire.Mux{}
	wire.Handle(mux, func(_ context.Context, from wire.Peer, in proto.FenceMsg) (proto.FencedMsg, error) {
		if in.Attempt == "" {
			return proto.FencedMsg{}, fault.New(fault.Fenced, "none", "no attempt")
		}
		return proto.FencedMsg{Status: proto.AttemptStatus(in.Attempt)}, nil
	}, certs.Entry)
	return mux
}

func TestCallRequiresOwnAuthorityAndRole(t *testing.T) {
	c := qt.New(t)
	authority, err := certs.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	otherAuthority, err := certs.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	server := listen(t, authority, certs.Agent, echoMux())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	client := listen(t, authority, certs.Entry, &wire.Mux{})
	out, err := wire.Call[proto.FencedMsg](ctx, client, server.LocalAddr(), proto.FenceMsg{Attempt: "x"})
	c.Assert(err, qt.IsNil)
	c.Assert(out.Status, qt.Equals, proto.AttemptStatus("x"))

	_, err = wire.Call[proto.FencedMsg](ctx, client, server.LocalAddr(), proto.FenceMsg{})
	c.Assert(fault.Is(err, fault.Fenced), qt.IsTrue)

	wrongRole := listen(t, authority, certs.Agent, &wire.Mux{})
	_, err = wire.Call[proto.FencedMsg](ctx, wrongRole, server.LocalAddr(), proto.FenceMsg{Attempt: "x"})
	c.Assert(fault.Is(err, fault.Denied), qt.IsTrue)

	foreign := listen(t, otherAuthority, certs.Entry, &wire.Mux{})
	_, err = wire.Call[proto.FencedMsg](ctx, foreign, server.LocalAddr(), proto.FenceMsg{Attempt: "x"})
	c.Assert(err, qt.IsNotNil)
}

func TestCallWithoutConnectionReportsNotRun(t *testing.T) {
	c := qt.New(t)
	authority, err := certs.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	server := listen(t, authority, certs.Agent, echoMux())
	client := listen(t, authority, certs.Entry, &wire.Mux{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	addr := server.LocalAddr()
	c.Assert(server.Close(), qt.IsNil)
	_, err = wire.Call[proto.FencedMsg](ctx, client, addr, proto.FenceMsg{Attempt: "x"})
	c.Assert(fault.Is(err, fault.Unreachable), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
}
