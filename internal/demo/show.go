package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// jobTimeout limits the wait for one job of the demonstration.
const jobTimeout = 12 * time.Second

// Show runs the demonstration on a started system and writes the results to w.
func (s *System) Show(ctx context.Context, w io.Writer) error {
	began := time.Now()
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "what\tresult\ttook")
	var gang string
	steps := []struct {
		name string
		run  func() (string, error)
	}{
		{"a swatch render, answered at once", func() (string, error) { return s.renderSwatch(ctx) }},
		{"grain indexing, sent twice with one key", func() (string, error) { return s.submitTwice(ctx) }},
		{"six borrowing jobs fill the cluster", func() (string, error) { return s.fillCluster(ctx) }},
		{"a gang of 2 x 8 adjacent, inside its guarantee", func() (result string, err error) {
			gang, result, err = s.runGang(ctx)
			return result, err
		}},
		{"a job that can never fit", func() (string, error) { return s.submitInfeasible(ctx) }},
	}
	for _, step := range steps {
		stepBegan := time.Now()
		result, err := step.run()
		if err != nil {
			return errors.Wrap(err, step.name)
		}
		fmt.Fprintf(table, "%s\t%s\t%d ms\n", step.name, result, time.Since(stepBegan).Milliseconds())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return s.printTimeline(ctx, w, gang, began)
}

func (s *System) renderSwatch(ctx context.Context) (string, error) {
	status, body, err := s.Call(ctx, 0, "POST", "/v1/services/swatch-render/requests", "studio-token", "", []byte("walnut 7"))
	if err != nil || status != 200 {
		return "", errors.Errorf("status %d, response %s, error %v", status, body, err)
	}
	return fmt.Sprintf("%q", body), nil
}

func (s *System) submitTwice(ctx context.Context) (string, error) {
	var responses [entryCount][]byte
	var errs [entryCount]error
	var wg sync.WaitGroup
	for i := range entryCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var status int
			status, responses[i], errs[i] = s.Call(ctx, i, "POST", "/v1/services/grain-indexing/requests", "studio-token", "log-4711", []byte(`{"work_ms":300}`))
			if errs[i] == nil && status != 200 {
				errs[i] = errors.Errorf("status %d: %s", status, responses[i])
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return "", err
		}
	}
	runs := s.Runs("log-4711")
	if runs != 1 || string(responses[0]) != string(responses[1]) {
		return "", errors.Errorf("%d runs, responses %q", runs, responses)
	}
	return "ran once, both callers got the same response", nil
}

func (s *System) submit(ctx context.Context, token, key string, job spec.Job) (spec.JobRecord, error) {
	var rec spec.JobRecord
	status, body, err := s.Call(ctx, 0, "POST", "/v1/jobs", token, key, job)
	if err != nil {
		return rec, err
	}
	if status >= 300 {
		var e fault.Error
		_ = json.Unmarshal(body, &e)
		return rec, &e
	}
	return rec, json.Unmarshal(body, &rec)
}

func (s *System) waitForState(ctx context.Context, token, id string, state spec.JobState) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		var rec spec.JobRecord
		_, body, err := s.Call(ctx, 1, "GET", "/v1/jobs/"+id, token, "", nil)
		if err != nil {
			return errors.Wrapf(err, "wait for job %s, last state %s", id, rec.State)
		}
		_ = json.Unmarshal(body, &rec)
		if rec.State == state {
			return nil
		}
		if rec.State.Ended() {
			return errors.Errorf("job %s ended as %s: %s", id, rec.State, rec.Reason)
		}
		time.Sleep(pollInterval)
	}
}

func (s *System) fillCluster(ctx context.Context) (string, error) {
	for i := range agentCount {
		job := spec.Job{Service: "trajectory", Tasks: 1, Accelerators: accelerators, Checkpoints: true, Payload: []byte(`{"work_ms":60000}`)}
		rec, err := s.submit(ctx, "desk-token", fmt.Sprintf("plan-%d", i), job)
		if err != nil {
			return "", err
		}
		if err := s.waitForState(ctx, "desk-token", rec.ID, spec.Running); err != nil {
			return "", err
		}
	}
	return "all 48 accelerators are in use", nil
}

func (s *System) runGang(ctx context.Context) (id, result string, err error) {
	job := spec.Job{Service: "flitch-match", Tasks: 2, Accelerators: accelerators, Adjacent: true, Payload: []byte(`{"work_ms":300,"answer":"matched"}`)}
	rec, err := s.submit(ctx, "studio-token", "book-1", job)
	if err != nil {
		return "", "", err
	}
	if err := s.waitForState(ctx, "studio-token", rec.ID, spec.Done); err != nil {
		return "", "", err
	}
	_, response, err := s.Call(ctx, 1, "GET", "/v1/jobs/"+rec.ID+"/answer", "studio-token", "", nil)
	if err != nil {
		return "", "", err
	}
	return rec.ID, fmt.Sprintf("two borrowing jobs were checkpointed and evicted, the gang ran: %s", response), nil
}

func (s *System) submitInfeasible(ctx context.Context) (string, error) {
	_, err := s.submit(ctx, "studio-token", "", spec.Job{Service: "flitch-match", Tasks: 1, Accelerators: 16})
	if !fault.Is(err, fault.Infeasible) {
		return "", errors.Errorf("was not refused as infeasible: %v", err)
	}
	return fmt.Sprintf("refused, outcome %s", fault.Of(err).Outcome), nil
}

// printTimeline prints the gang's explanation and its events.
func (s *System) printTimeline(ctx context.Context, w io.Writer, gang string, began time.Time) error {
	text, err := s.admin.Explain(ctx, gang)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%s\n", text)
	events, err := s.admin.Events(ctx, event.Query{Job: gang})
	if err != nil {
		return err
	}
	for _, e := range events {
		fmt.Fprintf(w, "%8d ms  %-8s  %-16s %s\n", int64(e.At)-began.UnixMilli(), e.Process, e.Kind, e.Detail)
	}
	return nil
}
