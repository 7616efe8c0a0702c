package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type command func(sc *scenario, args []string) error

// commandTable holds the commands of the scenarios. "! cmd" means that the command
// must fail.
//
//	cluster ENTRIES AGENTS           start a cluster and wait until it accepts work
//	halt|crash|freeze|thaw P         send SIGTERM and expect exit code 0, SIGKILL, SIGSTOP, SIGCONT
//	again P                          start a stopped process again, with the same arguments
//	cut|heal P                       take an agent or entry off the network, or put it back
//	fault P JSON                     set the faults of a stand-in
//	send ID ENTRY SERVICE KEY DEADLINE_MS BODY   send a request in the background
//	got ID OUTCOME...                wait for the response, which has one of these outcomes
//	within ID SECONDS                the response came within this time
//	same ID ID                       both responses have the same body
//	runs NAME N                      the endpoints have run it exactly N times
//	reaches NAME N                   the same, reached within 15 s
//	job ID ENTRY KEY TOKEN JSON      submit a job, at another entry if that one is down
//	answer ENTRY ID TEXT             the entry returns TEXT as the job's answer
//	notice AGENT                     tell an agent that its endpoint is leaving
//	expire                           expire every lease at the store
//	cancel ID                        cancel a job of the account acme
//	ended ENDPOINT SECONDS           all tasks there end within this time
//	state ID STATE SECONDS           the job reaches this state within this time
//	stays ID STATE SECONDS           the job keeps this state for all of this time
//	event KIND SECONDS [TEXT]        an entry or agent logs the event within this time
//	set PATH VALUE                   change a setting, at the first entry that accepts it
//	inforce SECONDS                  all processes apply the newest revision within this time
//	agents N SECONDS                 all entries see at least N agents ready within this time
//	pause SECONDS                    do nothing for this time
//	quiet ENDPOINT SECONDS           the endpoint starts nothing during this time
//	load N, loaded LEAST             start N callers; stop them, after at least LEAST requests and no failure
//	busy N                           wait until N more of their requests have got a response
//	ready ENTRY SECONDS              the entry reports itself ready within this time
//	race PATH VALUE PATH VALUE       two operators change settings at the same time, at two entries
//	raced N [TEXT]                   N of the two changes were accepted; refusals match the pattern TEXT
//	flood CALLERS SECONDS            overload the entries and check the refusals
//	worker ID ENDPOINT               wait until the endpoint has run something; ID is not used
//	health                           check what must hold in every scenario
func commandTable() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"cluster": cmdCluster, "halt": cmdHalt, "crash": cmdCrash, "again": cmdAgain,
		"freeze": signalCmd(syscall.SIGSTOP), "thaw": signalCmd(syscall.SIGCONT),
		"cut":   func(sc *scenario, a []string) error { return sc.setConnectivity(a[0], "cut") },
		"heal":  func(sc *scenario, a []string) error { return sc.setConnectivity(a[0], "heal") },
		"fault": cmdFault, "send": cmdSend, "got": cmdGot, "same": cmdSame, "runs": cmdRuns, "reaches": cmdReaches,
		"job": cmdJob, "cancel": cmdCancel, "within": cmdWithin, "expire": cmdExpire, "notice": cmdNotice, "ended": cmdEnded, "state": cmdState, "stays": cmdStays, "event": cmdEvent, "set": cmdSet, "inforce": cmdInForce,
		"answer": cmdAnswer, "health": cmdHealth, "load": cmdLoad, "loaded": cmdLoaded, "agents": cmdAgents, "pause": cmdPause, "quiet": cmdQuiet, "race": cmdRace, "raced": cmdRaced, "flood": cmdFlood, "busy": cmdBusy, "ready": cmdReady, "worker": cmdWorker,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range table {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			sc := ts.Value(scenarioKey{}).(*scenario)
			err := sc.resolveFirst(args)
			if err == nil {
				err = f(sc, args)
			}
			if neg && err == nil {
				ts.Fatalf("%s %v: should have failed", name, args)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %v: %v", name, args, err)
			}
		}
	}
	return out
}

func (sc *scenario) resolveFirst(args []string) error {
	if len(args) == 0 {
		return nil
	}
	name, err := sc.resolve(args[0])
	args[0] = name
	return err
}

func seconds(text string) time.Duration {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return time.Duration(f * float64(time.Second))
}

func cmdCluster(sc *scenario, a []string) error {
	e, _ := strconv.Atoi(a[0])
	n, _ := strconv.Atoi(a[1])
	return sc.cluster(e, n)
}

func (sc *scenario) rememberStopped(name string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if p, ok := sc.procs[name]; ok {
		sc.stoppedProcesses()[name] = p
	}
}

func (sc *scenario) stoppedProcesses() map[string]*process {
	return sc.stopped
}

func cmdHalt(sc *scenario, a []string) error {
	sc.rememberStopped(a[0])
	return sc.stop(a[0], syscall.SIGTERM, 20*time.Second)
}

func cmdCrash(sc *scenario, a []string) error {
	sc.rememberStopped(a[0])
	_ = sc.stop(a[0], syscall.SIGKILL, 5*time.Second)
	return nil
}

func cmdAgain(sc *scenario, a []string) error {
	p, ok := sc.stoppedProcesses()[a[0]]
	if !ok {
		return fmt.Errorf("%s was not stopped", a[0])
	}
	return sc.start(p.name, p.prog, p.args...)
}

func signalCmd(sig os.Signal) command {
	return func(sc *scenario, a []string) error { return sc.signal(a[0], sig) }
}

func cmdFault(sc *scenario, a []string) error {
	status, body, err := sc.call(a[0], "POST", "/fault", "", "", 0, []byte(a[1]))
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

func cmdSend(sc *scenario, a []string) error {
	id, entry, service, key, body := a[0], a[1], a[2], a[3], a[5]
	deadline, _ := strconv.Atoi(a[4])
	if key == "-" {
		key = ""
	}
	ch := make(chan response, 1)
	sc.responses[id] = ch
	go func() { ch <- sc.sendRequest(entry, "/v1/services/"+service+"/requests", key, deadline, body) }()
	return nil
}

func (sc *scenario) sendRequest(entry, path, key string, deadline int, body string) response {
	began := time.Now()
	status, raw, header, err := sc.callFull(entry, "POST", path, accountToken, key, deadline, []byte(body))
	out := response{status: status, body: string(raw), outcome: "done", err: err, took: time.Since(began)}
	if err != nil {
		out.outcome = "broken"
		return out
	}
	if status >= 400 {
		var p struct{ Kind, Outcome string }
		_ = json.Unmarshal(raw, &p)
		out.kind, out.outcome, out.retry = p.Kind, p.Outcome, header.Get("Retry-After")
	}
	return out
}

func (sc *scenario) response(id string) (response, error) {
	ch, ok := sc.responses[id]
	if !ok {
		return response{}, fmt.Errorf("no request was sent as %s", id)
	}
	select {
	case a := <-ch:
		ch <- a
		return a, nil
	case <-time.After(60 * time.Second):
		return response{}, fmt.Errorf("no response to %s after 60 s", id)
	}
}

func cmdGot(sc *scenario, a []string) error {
	got, err := sc.response(a[0])
	if err != nil {
		return err
	}
	for _, want := range a[1:] {
		if got.outcome == want {
			return nil
		}
	}
	return fmt.Errorf("got %q (%d %s %v) after %s, want %v", got.outcome, got.status, got.body, got.err, got.took, a[1:])
}

func cmdWithin(sc *scenario, a []string) error {
	got, err := sc.response(a[0])
	if err == nil && got.took > seconds(a[1]) {
		err = fmt.Errorf("response took %s", got.took)
	}
	return err
}

func cmdSame(sc *scenario, a []string) error {
	x, err := sc.response(a[0])
	if err != nil {
		return err
	}
	y, err := sc.response(a[1])
	if err == nil && x.body != y.body {
		err = fmt.Errorf("bodies differ: %q and %q", x.body, y.body)
	}
	return err
}

func cmdRuns(sc *scenario, a []string) error {
	want, _ := strconv.Atoi(a[1])
	got, err := sc.runs(a[0])
	if err == nil && got != want {
		err = fmt.Errorf("ran %d times", got)
	}
	return err
}

func cmdReaches(sc *scenario, a []string) error {
	return sc.eventually(15*time.Second, func() error { return cmdRuns(sc, a) })
}

func cmdExpire(sc *scenario, _ []string) error {
	_, _, err := sc.call("store", "POST", "/expire", "", "", 0, nil)
	return err
}

func cmdNotice(sc *scenario, a []string) error {
	status, raw, err := sc.call(a[0], "POST", "/v1/leave", "", "", 0, nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, raw)
	}
	return err
}

func cmdEvent(sc *scenario, a []string) error {
	text := ""
	if len(a) > 2 {
		text = a[2]
	}
	return sc.eventually(seconds(a[1]), func() error {
		for _, name := range append(append([]string(nil), sc.entries...), sc.agents...) {
			raw, _ := os.ReadFile(sc.dir + "/" + name + ".log")
			for _, line := range strings.Split(string(raw), "\n") {
				if strings.Contains(line, "msg="+a[0]+" ") && strings.Contains(line, text) {
					return nil
				}
			}
		}
		return fmt.Errorf("no entry or agent logged it")
	})
}

func cmdSet(sc *scenario, a []string) error {
	var err error
	for _, e := range sc.entries {
		if err = sc.set(e, a[0], a[1]); err == nil {
			return nil
		}
	}
	return err
}

func (sc *scenario) alive(name string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.procs[name] != nil
}

// cmdInForce waits until every entry reports that all processes, but for silent
// ones, have the newest revision that any process has.
func cmdInForce(sc *scenario, a []string) error {
	return sc.eventually(seconds(a[0]), func() error {
		newest, oldest, who := int64(0), int64(1<<62), ""
		for _, e := range sc.entries {
			if !sc.alive(e) {
				continue
			}
			var st struct {
				Processes []struct {
					Name, State string
					Revision    int64
				}
			}
			if err := sc.getJSON(e, "/v1/admin/status", operatorToken, &st); err != nil {
				return err
			}
			for _, p := range st.Processes {
				newest = max(newest, p.Revision)
				if p.State != "silent" && p.Revision < oldest {
					oldest, who = p.Revision, p.Name
				}
			}
		}
		if oldest < newest {
			return fmt.Errorf("%s has revision %d of %d", who, oldest, newest)
		}
		return nil
	})
}

// cmdAgents waits until every entry sees at least this many agents ready.
func cmdAgents(sc *scenario, a []string) error {
	n, _ := strconv.Atoi(a[0])
	return sc.eventually(seconds(a[1]), func() error { return sc.ready(n, false) })
}

// cmdPause sleeps, for scenarios that depend on elapsed time.
func cmdPause(_ *scenario, a []string) error {
	time.Sleep(seconds(a[0]))
	return nil
}

// totalRuns counts all runs at an endpoint.
func (sc *scenario) totalRuns(ep string) (int, error) {
	var counts map[string]int
	n := 0
	err := sc.getJSON(ep, "/counts", "", &counts)
	for _, c := range counts {
		n += c
	}
	return n, err
}

func cmdQuiet(sc *scenario, a []string) error {
	before, err := sc.totalRuns(a[0])
	if err != nil {
		return err
	}
	time.Sleep(seconds(a[1]))
	after, err := sc.totalRuns(a[0])
	if err == nil && after != before {
		err = fmt.Errorf("ran %d more", after-before)
	}
	return err
}
