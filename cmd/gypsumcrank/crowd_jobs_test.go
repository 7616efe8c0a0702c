package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/task"
)

// largestJob returns the body of a job that is as large as the users' pages and the limits of
// core/task allow: 256 steps, each after all earlier ones, and a payload of 4,000 bytes.
func largestJob(t *testing.T) string {
	type step struct {
		Count      int    `json:"count"`
		CPU        int    `json:"cpu"`
		MemMB      int    `json:"mem_mb"`
		Estimate   int    `json:"estimate_ms"`
		After      []int  `json:"after,omitempty"`
		Checkpoint bool   `json:"checkpointing"`
		Affinity   string `json:"affinity"`
		Image      string `json:"image"`
	}
	var steps []step
	var after []int
	for i := range task.MaxSteps {
		steps = append(steps, step{1, 100, 10, 3_600_000, after, true, strings.Repeat("r", 63), strings.Repeat("i", 255)})
		after = append(after[:i:i], i)
	}
	raw, err := json.MarshalIndent(map[string]any{"task_spec": strings.Repeat("\x01", 4000), "steps": steps}, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	return string(raw)
}

// The limits on what callers send leave room for the largest job, whichever way its body comes.
func TestTheLargestJobIsAccepted(t *testing.T) {
	s := startSmallSite(t, crowdMaxFDs)
	body := largestJob(t)
	t.Logf("%d bytes", len(body))
	status, respBody := s.callAt("front-0", "POST", "/q/00000000000000a1", body)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", respBody))
	var chunks strings.Builder
	const chunk = 1000
	for rest := body; rest != ""; {
		n := min(chunk, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	head := strings.Replace(crowdRequests["callers"], "c1 ", "a2 ", 1)
	status, err := sendRaw(s.procs["front-0"].addr, head+"Transfer-Encoding: chunked\r\n\r\n"+chunks.String()+"0\r\nX-Checksum: 1\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
}

// sendRaw sends text on a new connection, and returns the status of the response; 0 if there is none.
func sendRaw(addr, text string) (status int, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(crowdAnswerTimeout))
	_, writeErr := c.Write([]byte(text)) // a refusal may come before all is written
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// A job whose request was cut off never runs, and runs once if it is submitted again.
func TestAJobWhoseRequestWasCutOffNeverRuns(t *testing.T) {
	s := startSmallSite(t, crowdMaxFDs)
	const job = `{"task_spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
	var open []net.Conn
	id := func(i int) string { return fmt.Sprintf("%016x", 0xe0+i) }
	const jobs = 12
	for i := range jobs {
		c, err := net.Dial("tcp", s.procs["front-0"].addr)
		qt.Assert(t, err, qt.IsNil)
		head := strings.Replace(crowdRequests["callers"], "00000000000000c1", id(i), 1)
		text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(job)+1, job)
		switch i % 3 {
		case 1:
			text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(job), job)
		case 2:
			text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Trailer: 1\r\n", head, len(job), job)
		}
		_, err = c.Write([]byte(text))
		qt.Assert(t, err, qt.IsNil)
		if i < jobs/2 {
			qt.Assert(t, c.Close(), qt.IsNil)
			continue
		}
		open = append(open, c)
	}
	for i := range jobs {
		status, _ := s.callAt("front-0", "GET", "/q/"+id(i), "")
		qt.Check(t, status, qt.Equals, 410, qt.Commentf("job %s", id(i)))
	}
	for _, c := range open {
		qt.Check(t, c.Close(), qt.IsNil)
	}
	for i := range jobs {
		qt.Assert(t, s.awaitAccepted([]string{id(i), "1", "0"}), qt.IsNil)
		qt.Assert(t, s.awaitState([]string{id(i), "completed", "20"}), qt.IsNil)
		qt.Check(t, s.checkRanOnce([]string{id(i)}), qt.IsNil)
	}
}

// Many large jobs at once may be refused. One that was refused for good is unknown, and one that was
// accepted completes.
func TestCrowdOfLargeJobsIsRefusedTruly(t *testing.T) {
	s := startSmallSite(t, crowdMaxFDs)
	job := `{"task_spec":"x",` + strings.Repeat(" ", 900<<10) + `"steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
	id := func(i int) string { return fmt.Sprintf("%016x", 0xd00+i) }
	const jobs = 64
	var statuses [jobs]int
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			head := strings.Replace(crowdRequests["callers"], "00000000000000c1", id(i), 1)
			// Without a response the status is 0: nothing is known then.
			statuses[i], _ = sendRaw(s.procs["front-0"].addr, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(job), job))
		})
	}
	wg.Wait()
	count := make(map[int]int)
	for i, status := range statuses {
		count[status]++
		switch status {
		case 200:
			qt.Check(t, s.awaitState([]string{id(i), "completed", "20"}), qt.IsNil)
		case 413, 429, 503:
			got, _ := s.callAt("front-0", "GET", "/q/"+id(i), "")
			qt.Check(t, got, qt.Equals, 410, qt.Commentf("job %s was refused with %d", id(i), status))
		}
		qt.Check(t, s.checkRanOnce([]string{id(i)}), qt.IsNil)
	}
	t.Logf("statuses: %v", count)
	qt.Check(t, s.checkNoneEnded(nil), qt.IsNil)
}
