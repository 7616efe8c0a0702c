package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"gypsumcrank/core/conf"
)

// startLink starts a network link in front of a peer address and returns the
// address of the link, which is the one to advertise.
func (sc *scenario) startLink(name, peer string) (string, error) {
	addrs, err := sc.ports.takeAll(2)
	if err != nil {
		return "", err
	}
	listen, control := addrs[0], addrs[1]
	sc.links[name] = control
	return listen, sc.start("link-"+name, "standin", "link", "--listen", listen, "--to", peer, "--control", control)
}

func (sc *scenario) tlsArgs(role string) []string {
	dir := filepath.Join(sc.dir, "keys")
	return []string{"--tls-ca", filepath.Join(dir, "ca.pem"), "--tls-cert", filepath.Join(dir, role+".pem"), "--tls-key", filepath.Join(dir, role+"-key.pem")}
}

func (sc *scenario) startEntry(name string) error {
	addrs, err := sc.ports.takeAll(2)
	if err != nil {
		return err
	}
	httpAddr, peer := addrs[0], addrs[1]
	advertise, err := sc.startLink(name, peer)
	if err != nil {
		return err
	}
	args := append([]string{"entry", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--store", "http://" + sc.http["store"], "--operator-hash", conf.HashToken(operatorToken), "--grace", "15s", "--leave-wait", "500ms"}, sc.tlsArgs("entry")...)
	if len(sc.entries) > 0 {
		args = append(args, "--peers", strings.Join(sc.advertised(), ","))
	}
	sc.http[name], sc.peer[name] = httpAddr, advertise
	sc.entries = append(sc.entries, name)
	return sc.start(name, "gypsumcrank", args...)
}

func (sc *scenario) advertised() []string {
	var out []string
	for _, e := range sc.entries {
		out = append(out, sc.peer[e])
	}
	return out
}

// startAgent starts an agent and its endpoint. Three endpoints share a rack.
func (sc *scenario) startAgent(i int) error {
	name, ep := fmt.Sprintf("agent-%d", i), fmt.Sprintf("endpoint-%d", i)
	addrs, err := sc.ports.takeAll(3)
	if err != nil {
		return err
	}
	httpAddr, peer, epAddr := addrs[0], addrs[1], addrs[2]
	advertise, err := sc.startLink(name, peer)
	if err != nil {
		return err
	}
	sc.http[name], sc.peer[name], sc.http[ep] = httpAddr, peer, epAddr
	sc.agents = append(sc.agents, name)
	args := append([]string{"agent", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--entries", strings.Join(sc.advertised(), ","), "--grace", "15s"}, sc.tlsArgs("agent")...)
	if err := sc.start(name, "gypsumcrank", args...); err != nil {
		return err
	}
	return sc.start(ep, "standin", "endpoint", "--listen", epAddr, "--agent", "http://"+httpAddr, "--name", ep,
		"--rack", fmt.Sprintf("rack-%d", (i-1)/3+1), "--slots", "4")
}

// cluster starts the store, the entries and the agents with the standard settings,
// and waits until every entry sees all agents ready and a planner.
func (sc *scenario) cluster(entries, agents int) error {
	if out, err := exec.Command(sc.lookPath("gypsumcrank"), "keys", "init", "--dir", filepath.Join(sc.dir, "keys")).CombinedOutput(); err != nil {
		return fmt.Errorf("gypsumcrank keys init: %v %s", err, out)
	}
	storeAddr, err := sc.ports.take()
	if err != nil {
		return err
	}
	sc.http["store"] = storeAddr
	if err := sc.start("store", "standin", "store", "--listen", sc.http["store"]); err != nil {
		return err
	}
	for i := 1; i <= entries; i++ {
		if err := sc.startEntry(fmt.Sprintf("entry-%d", i)); err != nil {
			return err
		}
	}
	if err := sc.configure(agents); err != nil {
		return err
	}
	for i := 1; i <= agents; i++ {
		if err := sc.startAgent(i); err != nil {
			return err
		}
	}
	return sc.eventually(15*time.Second, func() error { return sc.ready(agents, true) })
}

func (sc *scenario) configure(agents int) error {
	accountJSON := func(token string, count int) string {
		if count == 0 {
			return fmt.Sprintf(`{"token_hashes":[%q]}`, conf.HashToken(token))
		}
		return fmt.Sprintf(`{"token_hashes":[%q],"guarantee":[{"accelerators":8,"count":%d}]}`, conf.HashToken(token), count)
	}
	acmeWorkers := agents
	if agents > 2 {
		acmeWorkers = agents - 1
	}
	for _, kv := range [][2]string{
		{"fleet", fmt.Sprintf(`{"workers":%d,"accelerators":8}`, agents)},
		{"teams/t/accounts/acme", accountJSON(accountToken, acmeWorkers)},
		{"teams/t/accounts/other", accountJSON(otherToken, agents-acmeWorkers)},
		{"teams/t/services/swatch", `{"endpoints":"studio","idempotent":true,"class":"urgent"}`},
		{"teams/t/services/index", `{"endpoints":"studio"}`},
		{"teams/t/services/plan", `{"endpoints":"studio","idempotent":true,"class":"batch"}`},
	} {
		if err := sc.eventually(15*time.Second, func() error { return sc.set("entry-1", kv[0], kv[1]) }); err != nil {
			return err
		}
	}
	return nil
}

func (sc *scenario) set(entry, path, value string) error {
	status, body, err := sc.call(entry, "PUT", "/v1/admin/config", operatorToken, "", 0, fmt.Appendf(nil, `{"path":%q,"value":%q,"by":"test","nonce":""}`, path, value))
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

func (sc *scenario) ready(agents int, needPlanner bool) error {
	for _, e := range sc.entries {
		if !sc.alive(e) {
			continue
		}
		var st struct {
			Planner   string
			Processes []struct{ Role, State string }
		}
		if err := sc.getJSON(e, "/v1/admin/status", operatorToken, &st); err != nil {
			return err
		}
		n := 0
		for _, p := range st.Processes {
			if p.Role == "agent" && p.State == "ready" {
				n++
			}
		}
		if n < agents || (needPlanner && st.Planner == "") {
			return fmt.Errorf("%s sees %d ready agents and planner %q", e, n, st.Planner)
		}
	}
	return nil
}
