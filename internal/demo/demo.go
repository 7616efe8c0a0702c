// Package demo shows the whole system at work in one process: entries, agents,
// and stand-ins of the outside systems, talking over real sockets on loopback.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/internal/standin/epfake"
	"gypsumcrank/internal/standin/kvfake"
	"gypsumcrank/io/admin"
	"gypsumcrank/io/agent"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/entry"
)

// Sizes and names of the demonstration.
const (
	entryCount   = 2
	agentCount   = 6
	rackSize     = 3
	accelerators = 8
	slots        = 4
	operator     = "operator-token"
	grace        = 5 * clock.Second
	keyLife      = time.Hour
	readyWait    = 10 * time.Second
	pollEvery    = 20 * time.Millisecond
)

// System is the running demonstration. Make it with Start.
type System struct {
	// Entries are the entries' HTTP addresses.
	Entries []string

	cancel    context.CancelFunc
	running   sync.WaitGroup
	endpoints []*epfake.Endpoint
	addrs     []string
	admin     *admin.Client
	log       *slog.Logger
}

// Start brings the system up, and waits until it takes work.
func Start(ctx context.Context, log *slog.Logger) (*System, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &System{cancel: cancel, log: log}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	authority, err := certs.NewAuthority(keyLife)
	if err != nil {
		return err
	}
	store := freeAddr()
	s.serve(ctx, store, (&kvfake.Store{}).Handler())
	var peers []string
	for i := range entryCount {
		addr, err := s.startEntry(ctx, authority, i, "http://"+store)
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	s.admin = &admin.Client{URL: "http://" + s.Entries[0], Token: operator}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for i := range agentCount {
		if err := s.startAgent(ctx, authority, i, peers); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

// Stop ends the system in good order.
func (s *System) Stop() {
	s.cancel()
	s.running.Wait()
}

func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *System) serve(ctx context.Context, addr string, h http.Handler) {
	srv := &http.Server{Addr: addr, Handler: h}
	go func() { _ = srv.ListenAndServe() }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
}

func loader(a *certs.Authority, role certs.Role) (func() (certs.Bundle, error), error) {
	b, err := a.Issue(role, keyLife)
	return func() (certs.Bundle, error) { return b, nil }, err
}

func (s *System) startEntry(ctx context.Context, a *certs.Authority, i int, store string) (peer string, err error) {
	load, err := loader(a, certs.Entry)
	if err != nil {
		return "", err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	e := &entry.Entry{
		Name: name, Region: "demo", HTTPListen: freeAddr(), PeerListen: freeAddr(), Store: entry.NewStore(store),
		OperatorHash: conf.HashToken(operator), TLS: load, Grace: grace, ClaimsPerSecond: 50, Log: s.log.With("process", name),
	}
	s.Entries = append(s.Entries, e.HTTPListen)
	s.run(ctx, e.Run, name)
	return e.PeerListen, nil
}

func (s *System) run(ctx context.Context, f func(context.Context) error, name string) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		if err := f(ctx); err != nil {
			s.log.Error("process_failed", "process", name, "error", err)
		}
	}()
}

func (s *System) startAgent(ctx context.Context, a *certs.Authority, i int, entries []string) error {
	load, err := loader(a, certs.Agent)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("agent-%d", i+1)
	ag := &agent.Agent{
		Name: name, PeerListen: freeAddr(), HTTPListen: freeAddr(), Entries: entries,
		TLS: load, Grace: grace, Log: s.log.With("process", name),
	}
	s.run(ctx, ag.Run, name)
	addr := freeAddr()
	ep := &epfake.Endpoint{
		AgentURL: "http://" + ag.HTTPListen, Slots: slots, WorkMS: 5,
		Announcement: map[string]any{
			"endpoint": fmt.Sprintf("studio-%d", i+1), "url": "http://" + addr, "service": "studio", "slots": slots,
			"worker": fmt.Sprintf("worker-%d", i+1), "rack": fmt.Sprintf("rack-%d", i/rackSize+1), "data_centre": "coast-1",
			"processors": 128, "memory_mb": 250000, "accelerators": accelerators,
		},
	}
	s.endpoints = append(s.endpoints, ep)
	s.addrs = append(s.addrs, addr)
	s.serve(ctx, addr, ep.Handler())
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		ep.Run(ctx)
	}()
	return nil
}

// configure sets up two teams with a client account each.
func (s *System) configure(ctx context.Context) error {
	settings := [][2]string{
		{"fleet", `{"workers":6,"accelerators":8}`},
		{"teams/cedarleaf/accounts/sheet-studio", account("studio-token", 8, 2)},
		{"teams/cedarleaf/services/swatch-render", `{"endpoints":"studio","idempotent":true,"class":"urgent"}`},
		{"teams/cedarleaf/services/grain-indexing", `{"endpoints":"studio"}`},
		{"teams/cedarleaf/services/flitch-match", `{"endpoints":"studio","class":"urgent"}`},
		{"teams/ridgeline/accounts/mission-desk", account("desk-token", 8, 3)},
		{"teams/ridgeline/services/trajectory", `{"endpoints":"studio","idempotent":true,"class":"batch"}`},
	}
	for _, kv := range settings {
		if err := s.set(ctx, kv[0], kv[1]); err != nil {
			return err
		}
	}
	return nil
}

func account(token string, accelerators, count int) string {
	return fmt.Sprintf(`{"max_queued":1000,"max_in_flight":1000,"token_hashes":[%q],"guarantee":[{"accelerators":%d,"count":%d}]}`, conf.HashToken(token), accelerators, count)
}

func (s *System) set(ctx context.Context, path, value string) error {
	return s.until(ctx, "setting "+path, func() error {
		_, err := s.admin.Set(ctx, entry.SetRequest{Path: path, Value: value, By: "demo"})
		return err
	})
}

// until repeats f until it succeeds, for a while.
func (s *System) until(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, what)
		case <-time.After(pollEvery):
		}
	}
}

func (s *System) waitReady(ctx context.Context) error {
	for _, addr := range s.Entries {
		client := &admin.Client{URL: "http://" + addr, Token: operator}
		err := s.until(ctx, "start of "+addr, func() error {
			st, err := client.Status(ctx)
			if err != nil {
				return err
			}
			ready := 0
			for _, p := range st.Processes {
				if p.Role == "agent" && p.State == "ready" {
					ready++
				}
			}
			if ready < agentCount || st.Planner == "" {
				return errors.Errorf("%d of %d agents are ready, the planner is %q", ready, agentCount, st.Planner)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Endpoints are the addresses of the stand-in endpoints.
func (s *System) Endpoints() []string { return s.addrs }

// Runs counts the real runs of a request or task over all endpoints.
func (s *System) Runs(name string) int {
	n := 0
	for _, ep := range s.endpoints {
		n += ep.Counts()[name]
	}
	return n
}

// Call sends an HTTP request to an entry and returns status and body.
func (s *System) Call(ctx context.Context, at int, method, path, token, key string, body any) (int, []byte, error) {
	raw, ok := body.([]byte)
	if !ok && body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Entries[at%len(s.Entries)]+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}
