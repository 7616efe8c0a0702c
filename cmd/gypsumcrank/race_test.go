package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// cmdRace reads the revision once and then has two operators, who both expect it,
// change settings at the same time at two entries.
func cmdRace(sc *scenario, a []string) error {
	var st struct{ Revision int64 }
	if err := sc.getJSON("entry-1", "/v1/admin/status", operatorToken, &st); err != nil {
		return err
	}
	sc.raceResponses = nil
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := fmt.Appendf(nil, `{"path":%q,"value":%q,"by":"operator-%d","nonce":"","expect":%d}`, a[2*i], a[2*i+1], i, st.Revision)
			status, raw, err := sc.call(sc.entries[i], "PUT", "/v1/admin/config", operatorToken, "", 0, body)
			mu.Lock()
			defer mu.Unlock()
			sc.raceResponses = append(sc.raceResponses, response{status: status, body: string(raw), err: err})
		}()
	}
	wg.Wait()
	return nil
}

func cmdRaced(sc *scenario, a []string) error {
	want, _ := strconv.Atoi(a[0])
	accepted := 0
	for _, r := range sc.raceResponses {
		switch {
		case r.err != nil:
			return r.err
		case r.status == 200:
			accepted++
		case len(a) > 1 && !regexp.MustCompile(a[1]).MatchString(r.body):
			return fmt.Errorf("refusal has an unexpected text: %s", r.body)
		}
	}
	if accepted != want {
		return fmt.Errorf("%d changes were accepted: %+v", accepted, sc.raceResponses)
	}
	return nil
}

// maxRefusalTime is the maximum time until a refusal arrives.
const maxRefusalTime = time.Second

// maxSendsPerRequest is the maximum number of sends to agents, on average, for each
// request of a caller.
const maxSendsPerRequest = 1.1

// cmdFlood overloads the entries. Every refusal must be prompt and carry a
// Retry-After header, and the entries must send little more to the agents than the
// callers asked for.
func cmdFlood(sc *scenario, a []string) error {
	callers, _ := strconv.Atoi(a[0])
	before, err := sc.requestsSent()
	if err != nil {
		return err
	}
	end := time.Now().Add(seconds(a[1]))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var bad error
	requests, refused := 0, 0
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				got := sc.sendRequest(sc.entries[i%len(sc.entries)], "/v1/services/swatch/requests", "", 8000, `{"work_ms":50}`)
				mu.Lock()
				requests++
				if got.outcome != "done" {
					refused++
					if got.outcome != "not_run" || got.retry == "" || got.took > maxRefusalTime {
						bad = fmt.Errorf("refusal is late, lacks Retry-After, or is not not_run: %+v", got)
					}
				}
				mu.Unlock()
				if got.outcome != "done" {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
	after, err := sc.requestsSent()
	if err != nil || bad != nil {
		return fmt.Errorf("%v %v", err, bad)
	}
	sent := after - before
	if refused == 0 || float64(sent) > maxSendsPerRequest*float64(requests) {
		return fmt.Errorf("%d requests, %d refused, %d sent to agents", requests, refused, sent)
	}
	return nil
}

func (sc *scenario) requestsSent() (sent int, err error) {
	for _, e := range sc.entries {
		var vars struct {
			Sent int `json:"requests_sent"`
		}
		if err := sc.getJSON(e, "/debug/vars", "", &vars); err != nil {
			return 0, err
		}
		sent += vars.Sent
	}
	return sent, nil
}
