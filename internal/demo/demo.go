// Package demo runs the whole system in one process: entries, agents and
// stand-ins for the external systems, which communicate over loopback sockets.
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
	entryCount    = 2
	agentCount    = 6
	rackSize      = 3
	accelerators  = 8
	slots         = 4
	operatorToken = "operator-token"
	grace         = 5 * clock.Second
	certLifetime  = time.Hour
	readyTimeout  = 10 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// System is a running demonstration. Create it with Start.
type System struct {
	// Entries are the entries' HTTP addresses.
	Entries []string

	cancel    context.CancelFunc
	processes sync.WaitGroup
	endpoints []*epfake.Endpoint
	addrs     []string
	admin     *admin.Client
	log       *slog.Logger
}

// Start starts the system and waits until it accepts work.
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
	authority, err := certs.NewAuthority(certLifetime)
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
	s.admin = &admin.Client{URL: "http://" + s.Entries[0], Token: operatorToken}
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

// Stop shuts the system down and waits until its processes have stopped.
func (s *System) Stop() {
	s.cancel()
	s.processes.Wait()
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

func bundleLoader(a *certs.Authority, role certs.Role) (func() (certs.Bundle, error), error) {
	b, err := a.Issue(role, certLifetime)
	return func() (certs.Bundle, error) { return b, nil }, err
}

func (s *System) startEntry(ctx context.Context, a *certs.Authority, i int, store string) (peer string, err error) {
	load, err := bundleLoader(a, certs.Entry)
	if err != nil {
		return "", err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	e := &entry.Entry{
		Name: name, Region: "demo", HTTPListen: freeAddr(), PeerListen: freeAddr(), Store: entry.NewStore(store),
		OperatorHash: conf.HashToken(operatorToken), TLS: load, Grace: grace, ClaimsPerSecond: 50, Log: s.log.With("process", name),
	}
	s.Entries = append(s.Entries, e.HTTPListen)
	s.run(ctx, e.Run, name)
	return e.PeerListen, nil
}

func (s *System) run(ctx context.Context, f func(context.Context) error, name string) {
	s.processes.Add(1)
	go func() {
		defer s.processes.Done()
		if err := f(ctx); err != nil {
			s.log.Error("process_failed", "process", name, "error", err)
		}
	}()
}

func (s *System) startAgent(ctx context.Context, a *certs.Authority, i int, entries []string) error {
	load, err := bundleLoader(a, certs.Agent)
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
	s.processes.Add(1)
	go func() {
		defer s.processes.Done()
		ep.Run(ctx)
	}()
	return nil
}

// configure creates two teams with one client account each.
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
	return s.retry(ctx, "setting "+path, func() error {
		_, err := s.admin.Set(ctx, entry.SetRequest{Path: path, Value: value, By: "demo"})
		return err
	})
}

// retry calls f until it succeeds, for at most readyTimeout, and then returns the
// last error wrapped with what.
func (s *System) retry(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, what)
		case <-time.After(pollInterval):
		}
	}
}

func (s *System) waitReady(ctx context.Context) error {
	for _, addr := range s.Entries {
		client := &admin.Client{URL: "http://" + addr, Token: operatorToken}
		err := s.retry(ctx, "start of "+addr, func() error {
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

// Endpoints returns the addresses of the stand-in endpoints.
func (s *System) Endpoints() []string { return s.addrs }

// Runs returns the number of actual runs of a request or task on all endpoints.
func (s *System) Runs(name string) int {
	n := 0
	for _, ep := range s.endpoints {
		n += ep.Counts()[name]
	}
	return n
}

// Call sends an HTTP request to the entry with index at and returns the status
// and body of the response.
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
