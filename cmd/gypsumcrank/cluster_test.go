package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"gypsumcrank/core/conf"
)

// linked puts a link before a peer address and returns the address to tell.
func (w *world) linked(name, peer string) (string, error) {
	front, control := freePort(), freePort()
	w.links[name] = control
	return front, w.start("link-"+name, "standin", "link", "--listen", front, "--to", peer, "--control", control)
}

func (w *world) tlsArgs(role string) []string {
	dir := filepath.Join(w.dir, "keys")
	return []string{"--tls-ca", filepath.Join(dir, "ca.pem"), "--tls-cert", filepath.Join(dir, role+".pem"), "--tls-key", filepath.Join(dir, role+"-key.pem")}
}

func (w *world) startEntry(name string) error {
	httpAddr, peer := freePort(), freePort()
	advertise, err := w.linked(name, peer)
	if err != nil {
		return err
	}
	args := append([]string{"entry", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--store", "http://" + w.http["store"], "--operator-hash", conf.HashToken(operatorToken), "--grace", "15s", "--leave-wait", "500ms"}, w.tlsArgs("entry")...)
	if len(w.entries) > 0 {
		args = append(args, "--peers", strings.Join(w.advertised(), ","))
	}
	w.http[name], w.peer[name] = httpAddr, advertise
	w.entries = append(w.entries, name)
	return w.start(name, "gypsumcrank", args...)
}

func (w *world) advertised() []string {
	var out []string
	for _, e := range w.entries {
		out = append(out, w.peer[e])
	}
	return out
}

// startAgent starts an agent, and an endpoint beside it in a rack of three.
func (w *world) startAgent(i int) error {
	name, ep := fmt.Sprintf("agent-%d", i), fmt.Sprintf("endpoint-%d", i)
	httpAddr, peer, epAddr := freePort(), freePort(), freePort()
	advertise, err := w.linked(name, peer)
	if err != nil {
		return err
	}
	w.http[name], w.peer[name], w.http[ep] = httpAddr, peer, epAddr
	w.agents = append(w.agents, name)
	args := append([]string{"agent", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--entries", strings.Join(w.advertised(), ","), "--grace", "15s"}, w.tlsArgs("agent")...)
	if err := w.start(name, "gypsumcrank", args...); err != nil {
		return err
	}
	return w.start(ep, "standin", "endpoint", "--listen", epAddr, "--agent", "http://"+httpAddr, "--name", ep,
		"--rack", fmt.Sprintf("rack-%d", (i-1)/3+1), "--slots", "4")
}

// cluster brings up the store, entries, agents and the standard settings.
func (w *world) cluster(entries, agents int) error {
	if out, err := exec.Command(w.lookPath("gypsumcrank"), "keys", "init", "--dir", filepath.Join(w.dir, "keys")).CombinedOutput(); err != nil {
		return fmt.Errorf("keys: %v %s", err, out)
	}
	w.http["store"] = freePort()
	if err := w.start("store", "standin", "store", "--listen", w.http["store"]); err != nil {
		return err
	}
	for i := 1; i <= entries; i++ {
		if err := w.startEntry(fmt.Sprintf("entry-%d", i)); err != nil {
			return err
		}
	}
	if err := w.configure(agents); err != nil {
		return err
	}
	for i := 1; i <= agents; i++ {
		if err := w.startAgent(i); err != nil {
			return err
		}
	}
	return w.until(15*time.Second, func() error { return w.ready(agents, true) })
}

func (w *world) configure(agents int) error {
	account := func(token string, count int) string {
		if count == 0 {
			return fmt.Sprintf(`{"token_hashes":[%q]}`, conf.HashToken(token))
		}
		return fmt.Sprintf(`{"token_hashes":[%q],"guarantee":[{"accelerators":8,"count":%d}]}`, conf.HashToken(token), count)
	}
	mine := agents
	if agents > 2 {
		mine = agents - 1
	}
	for _, kv := range [][2]string{
		{"fleet", fmt.Sprintf(`{"workers":%d,"accelerators":8}`, agents)},
		{"teams/t/accounts/acme", account(accountToken, mine)},
		{"teams/t/accounts/other", account(otherToken, agents-mine)},
		{"teams/t/services/swatch", `{"endpoints":"studio","idempotent":true,"class":"urgent"}`},
		{"teams/t/services/index", `{"endpoints":"studio"}`},
		{"teams/t/services/plan", `{"endpoints":"studio","idempotent":true,"class":"batch"}`},
	} {
		if err := w.until(15*time.Second, func() error { return w.set("entry-1", kv[0], kv[1]) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) set(entry, path, value string) error {
	status, body, err := w.call(entry, "PUT", "/v1/admin/config", operatorToken, "", 0, fmt.Appendf(nil, `{"path":%q,"value":%q,"by":"test","nonce":""}`, path, value))
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

func (w *world) ready(agents int, planned bool) error {
	for _, e := range w.entries {
		if !w.alive(e) {
			continue
		}
		var st struct {
			Planner   string
			Processes []struct{ Role, State string }
		}
		if err := w.getJSON(e, "/v1/admin/status", operatorToken, &st); err != nil {
			return err
		}
		n := 0
		for _, p := range st.Processes {
			if p.Role == "agent" && p.State == "ready" {
				n++
			}
		}
		if n < agents || (planned && st.Planner == "") {
			return fmt.Errorf("%s sees %d agents and planner %q", e, n, st.Planner)
		}
	}
	return nil
}
