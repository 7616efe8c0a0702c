package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"gypsumcrank/internal/standin/epfake"
)

func cmdJob(sc *scenario, a []string) error {
	entry := a[1]
	for _, e := range sc.entries {
		if !sc.alive(entry) {
			entry = e
		}
	}
	status, raw, err := sc.call(entry, "POST", "/v1/jobs", a[3], a[2], 0, []byte(a[4]))
	if err != nil {
		return err
	}
	var rec struct{ ID string }
	if status >= 300 || json.Unmarshal(raw, &rec) != nil {
		return fmt.Errorf("status %d: %s", status, raw)
	}
	sc.jobs[a[0]] = rec.ID
	return nil
}

func cmdCancel(sc *scenario, a []string) error {
	return sc.eventually(10*time.Second, func() error {
		var last error
		for _, e := range sc.entries {
			status, raw, err := sc.call(e, "DELETE", "/v1/jobs/"+sc.jobs[a[0]], accountToken, "", 0, nil)
			if err == nil && status < 300 {
				return nil
			}
			last = fmt.Errorf("status %d: %s %v", status, raw, err)
		}
		return last
	})
}

// cmdEnded waits until no task runs at an endpoint.
func cmdEnded(sc *scenario, a []string) error {
	return sc.eventually(seconds(a[1]), func() error {
		var spans []epfake.Span
		if err := sc.getJSON(a[0], "/spans", "", &spans); err != nil {
			return err
		}
		for _, s := range spans {
			if s.End == 0 && s.Job != "" {
				return fmt.Errorf("a task of job %s still runs", s.Job)
			}
		}
		return nil
	})
}

// stateOf returns a job's state, from the first entry that responds.
func (sc *scenario) stateOf(id string) (state, reason string, err error) {
	token := otherToken
	if strings.HasPrefix(sc.jobs[id], "acme") {
		token = accountToken
	}
	for _, e := range sc.entries {
		var rec struct{ State, Reason string }
		if err = sc.getJSON(e, "/v1/jobs/"+sc.jobs[id], token, &rec); err == nil {
			return rec.State, rec.Reason, nil
		}
	}
	return "", "", err
}

func cmdState(sc *scenario, a []string) error {
	return sc.eventually(seconds(a[2]), func() error {
		state, reason, err := sc.stateOf(a[0])
		if err == nil && state != a[1] {
			err = fmt.Errorf("job is %s: %s", state, reason)
		}
		return err
	})
}

func cmdStays(sc *scenario, a []string) error {
	end := time.Now().Add(seconds(a[2]))
	for time.Now().Before(end) {
		if state, reason, err := sc.stateOf(a[0]); err == nil && state != a[1] {
			return fmt.Errorf("job is %s: %s", state, reason)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func cmdAnswer(sc *scenario, a []string) error {
	token := accountToken
	if strings.HasPrefix(sc.jobs[a[1]], "other") {
		token = otherToken
	}
	status, raw, err := sc.call(a[0], "GET", "/v1/jobs/"+sc.jobs[a[1]]+"/answer", token, "", 0, nil)
	if err == nil && (status != 200 || string(raw) != a[2]) {
		err = fmt.Errorf("status %d: %q", status, raw)
	}
	return err
}

func cmdWorker(sc *scenario, a []string) error {
	return sc.eventually(15*time.Second, func() error {
		n, err := sc.totalRuns(a[1])
		if err == nil && n == 0 {
			err = fmt.Errorf("endpoint has run nothing")
		}
		return err
	})
}
