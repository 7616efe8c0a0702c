// Package admin is the client for the operators' API of an entry.
package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/entry"
)

const (
	callTimeout  = 10 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Client calls one entry. Set URL and Token before use.
type Client struct {
	URL   string
	Token string
}

// Get reads the configuration at a path.
func (c *Client) Get(ctx context.Context, path string) (entry.ConfigValue, error) {
	var out entry.ConfigValue
	err := c.call(ctx, http.MethodGet, "/v1/admin/config?path="+url.QueryEscape(path), nil, &out)
	return out, err
}

// Set changes the setting at a path. If the response is lost, a request with the
// same Nonce may be sent again: the change is accepted only once. Set generates a
// Nonce if in has none.
func (c *Client) Set(ctx context.Context, in entry.SetRequest) (entry.ConfigValue, error) {
	var out entry.ConfigValue
	if in.Nonce == "" {
		var raw [8]byte
		_, _ = rand.Read(raw[:])
		in.Nonce = hex.EncodeToString(raw[:])
	}
	err := c.call(ctx, http.MethodPut, "/v1/admin/config", in, &out)
	return out, err
}

// Wait returns when every live process has applied the revision. If ctx ends
// before that, the error names the processes that have not.
func (c *Client) Wait(ctx context.Context, revision int64) error {
	for {
		status, err := c.Status(ctx)
		behind := Behind(status, revision)
		if err == nil && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, "check these processes with `gypsumcrank status`", "revision %d is not yet applied by %v", revision, behind).WithLacking(fmt.Sprint(behind))
		case <-time.After(pollInterval):
		}
	}
}

// Behind returns the names of the live processes that have not applied a
// revision.
func Behind(s entry.Status, revision int64) []string {
	var names []string
	for _, p := range s.Processes {
		if p.State != "silent" && p.Revision < revision {
			names = append(names, p.Name)
		}
	}
	return names
}

// History returns the retained configuration changes, oldest first.
func (c *Client) History(ctx context.Context) ([]conf.Change, error) {
	var out []conf.Change
	err := c.call(ctx, http.MethodGet, "/v1/admin/history", nil, &out)
	return out, err
}

// Status returns the state of the region as the entry sees it.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var out entry.Status
	err := c.call(ctx, http.MethodGet, "/v1/admin/status", nil, &out)
	return out, err
}

// Events returns the matching events of all processes, merged by time.
func (c *Client) Events(ctx context.Context, q event.Query) ([]event.Event, error) {
	var out []event.Event
	v := url.Values{"job": {q.Job}, "since_ms": {fmt.Sprint(int64(q.Since))}, "until_ms": {fmt.Sprint(int64(q.Until))}}
	err := c.call(ctx, http.MethodGet, "/v1/admin/events?"+v.Encode(), nil, &out)
	return out, err
}

// Explain returns a paragraph that explains what happened to a job.
func (c *Client) Explain(ctx context.Context, job string) (string, error) {
	raw, err := c.do(ctx, http.MethodGet, "/v1/admin/jobs/"+url.PathEscape(job)+"/explain", nil)
	return string(raw), err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	raw, err := c.do(ctx, method, path, in)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

func (c *Client) do(ctx context.Context, method, path string, in any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Invalid, "give a URL such as http://10.0.0.5:8080", "--entry %q: %v", c.URL, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unreachable, "check --entry, or try another entry", "no response from %s: %v", c.URL, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var e fault.Error
		if json.Unmarshal(raw, &e) != nil || e.Kind == "" {
			return nil, fault.New(fault.Internal, "check the entry's log", "the entry responded with status %s", resp.Status)
		}
		return nil, &e
	}
	return raw, nil
}

// Since returns the start of the period that ends now.
func Since(period time.Duration) clock.Millis {
	return clock.System().Now() - clock.FromDuration(period)
}
