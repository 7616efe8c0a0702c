// Package endpt is the agent's HTTP client of the endpoint and the worker on its
// host.
//
// A call that starts work names the attempt and the latest time at which it may
// start, so that the endpoint or worker refuses a call that was delayed. The
// outcome of an error says what is known about the run.
package endpt

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Headers of the endpoint's protocol.
const (
	headerRequest  = "Gypsumcrank-Request"
	headerAttempt  = "Gypsumcrank-Attempt"
	headerNotAfter = "Gypsumcrank-Not-After-Ms"
	headerNotRun   = "Gypsumcrank-Not-Run"
)

const (
	dialTimeout = time.Second
	callTimeout = 5 * time.Second
)

// Client calls endpoints and workers. Create it with New.
type Client struct {
	http http.Client
}

// New returns a client with its own connection pool.
func New() *Client {
	return &Client{http: http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

// Run sends one attempt and waits for the complete response.
func (c *Client) Run(ctx context.Context, url string, m proto.RunMsg, notAfter clock.Millis) (spec.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/run", bytes.NewReader(m.Body))
	if err != nil {
		return spec.Response{}, fault.New(fault.Invalid, "announce a valid endpoint URL", "%v", err).WithOutcome(fault.NotRun)
	}
	req.GetBody = nil // keeps net/http from sending an attempt a second time on its own
	req.Header.Set(headerRequest, m.Request)
	req.Header.Set(headerAttempt, m.Attempt)
	req.Header.Set(headerNotAfter, strconv.FormatInt(int64(notAfter), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return spec.Response{}, sendError(err)
	}
	defer resp.Body.Close()
	return readResponse(resp, m.Attempt)
}

// sendError returns the error of a request that got no response. If no connection
// was made, the outcome is not_run, otherwise it is in doubt.
func sendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fault.New(fault.Unreachable, "check that the endpoint is running", "no connection to the endpoint: %v", err).WithOutcome(fault.NotRun)
	}
	return inDoubt("no response from the endpoint: %v", err)
}

func inDoubt(format string, args ...any) *fault.Error {
	return fault.New(fault.InDoubt, "check at the endpoint whether the work ran", format, args...).WithOutcome(fault.Unknown)
}

func readResponse(resp *http.Response, attempt string) (spec.Response, error) {
	if resp.Header.Get(headerNotRun) == "true" {
		return spec.Response{}, fault.New(fault.Busy, "send to another endpoint", "the endpoint refused the attempt without running it").WithOutcome(fault.NotRun)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, spec.MaxResponseSize+1))
	if err != nil {
		return spec.Response{}, inDoubt("the response of the endpoint ended early: %v", err)
	}
	if len(body) > spec.MaxResponseSize {
		return spec.Response{}, fault.New(fault.TooLarge, "return smaller responses", "the response exceeds the limit of %d bytes", spec.MaxResponseSize).WithOutcome(fault.RunFailed)
	}
	if got := resp.Header.Get(headerAttempt); got != attempt {
		return spec.Response{}, inDoubt("the endpoint responded for attempt %q, not %q", got, attempt)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return spec.Response{}, fault.New(fault.Failed, "check the endpoint's log", "the endpoint responded with status %s", resp.Status).WithOutcome(fault.RunFailed)
	}
	return spec.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// TaskStart is the request to a worker to start a task.
type TaskStart struct {
	ID         string       `json:"id"`
	Job        string       `json:"job"`
	Attempt    int          `json:"attempt"`
	Rank       int          `json:"rank"`
	Account    string       `json:"account"`
	Gang       int          `json:"gang"`
	First      int          `json:"first"`
	Size       int          `json:"size"`
	NotAfter   clock.Millis `json:"not_after_ms"`
	Lease      clock.Millis `json:"lease_ms"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Payload    []byte       `json:"payload,omitempty"`
}

// TaskInfo is one task as the worker reports it, which may lag behind the task's
// actual state.
type TaskInfo struct {
	ID      string          `json:"id"`
	Job     string          `json:"job"`
	Attempt int             `json:"attempt"`
	Rank    int             `json:"rank"`
	Account string          `json:"account"`
	Gang    int             `json:"gang"`
	First   int             `json:"first"`
	Size    int             `json:"size"`
	State   proto.TaskState `json:"state"`
	Detail  string          `json:"detail"`
	UsedMB  int             `json:"used_mb"`
}

// Start starts a task under a lease. Only an error with outcome not_run means
// that the task has not started.
func (c *Client) Start(ctx context.Context, url string, t TaskStart) error {
	return c.post(ctx, url+"/v1/tasks", t, nil)
}

// Stop stops a task permanently after a checkpoint, and returns the task's state
// and the checkpoint.
func (c *Client) Stop(ctx context.Context, url, id string) (state proto.TaskState, checkpoint string, err error) {
	var out struct {
		State      proto.TaskState `json:"state"`
		Checkpoint string          `json:"checkpoint"`
	}
	err = c.post(ctx, url+"/v1/tasks/"+id+"/stop", struct{}{}, &out)
	return out.State, out.Checkpoint, err
}

// Throttle limits a task to its cell's share of the worker.
func (c *Client) Throttle(ctx context.Context, url, id string) error {
	return c.post(ctx, url+"/v1/tasks/"+id+"/throttle", struct{}{}, nil)
}

// Renew extends the leases of running tasks.
func (c *Client) Renew(ctx context.Context, url string, ids []string, lease clock.Millis) error {
	in := struct {
		IDs   []string     `json:"ids"`
		Lease clock.Millis `json:"lease_ms"`
	}{ids, lease}
	return c.post(ctx, url+"/v1/renew", in, nil)
}

// State lists the tasks known to the worker.
func (c *Client) State(ctx context.Context, url string) ([]TaskInfo, error) {
	var out struct {
		Tasks []TaskInfo `json:"tasks"`
	}
	raw, err := c.get(ctx, url+"/v1/state")
	if err != nil {
		return nil, err
	}
	err = errors.Wrap(json.Unmarshal(raw, &out), "decode worker state")
	return out.Tasks, err
}

// Response fetches the complete response of a finished task.
func (c *Client) Response(ctx context.Context, url, id string) ([]byte, error) {
	return c.get(ctx, url+"/v1/tasks/"+id+"/answer")
}

func (c *Client) post(ctx context.Context, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
	case http.StatusTooManyRequests:
		return fault.New(fault.Busy, "place the task on another worker", "the worker refused the call without acting on it").WithOutcome(fault.NotRun)
	default:
		return fault.New(fault.Failed, "check the worker's log", "the worker responded with status %s", resp.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, spec.MaxResponseSize)).Decode(out), "decode worker's response")
}

func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Failed, "check the worker's log", "the worker responded with status %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 8*spec.MaxResponseSize))
	return raw, errors.Wrap(err, "read worker's response")
}
