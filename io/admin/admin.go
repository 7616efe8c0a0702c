// Package admin is the operators' client of an entry.
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
	callTimeout = 10 * time.Second
	pollEvery   = 100 * time.Millisecond
)

// Client calls one entry. Set the fields before use.
type Client struct {
	URL   string
	Token string
}

// Get reads the settings at a path.
func (c *Client) Get(ctx context.Context, path string) (entry.ConfigValue, error) {
	var out entry.ConfigValue
	err := c.call(ctx, http.MethodGet, "/v1/admin/config?path="+url.QueryEscape(path), nil, &out)
	return out, err
}

// Set changes the setting at a path. A lost answer may be asked for again with
// the same request: it is accepted once.
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

// Wait returns when every live process has put the revision in force, or names
// those that have not when ctx ends.
func (c *Client) Wait(ctx context.Context, revision int64) error {
	for {
		status, err := c.Status(ctx)
		lacking := Lacking(status, revision)
		if err == nil && len(lacking) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, "look at these processes with `gypsumcrank status`", "revision %d is not in force yet at %v", revision, lacking).WithLacking(fmt.Sprint(lacking))
		case <-time.After(pollEvery):
		}
	}
}

// Lacking names the live processes that are behind a revision.
func Lacking(s entry.Status, revision int64) []string {
	var out []string
	for _, p := range s.Processes {
		if p.State != "silent" && p.Revision < revision {
			out = append(out, p.Name)
		}
	}
	return out
}

// History lists the remembered changes, oldest first.
func (c *Client) History(ctx context.Context) ([]conf.Change, error) {
	var out []conf.Change
	err := c.call(ctx, http.MethodGet, "/v1/admin/history", nil, &out)
	return out, err
}

// Status tells how the region looks to the entry.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var out entry.Status
	err := c.call(ctx, http.MethodGet, "/v1/admin/status", nil, &out)
	return out, err
}

// Events reads the merged time line.
func (c *Client) Events(ctx context.Context, q event.Query) ([]event.Event, error) {
	var out []event.Event
	v := url.Values{"job": {q.Job}, "since_ms": {fmt.Sprint(int64(q.Since))}, "until_ms": {fmt.Sprint(int64(q.Until))}}
	err := c.call(ctx, http.MethodGet, "/v1/admin/events?"+v.Encode(), nil, &out)
	return out, err
}

// Explain tells a job's story in a paragraph.
func (c *Client) Explain(ctx context.Context, job string) (string, error) {
	raw, err := c.raw(ctx, http.MethodGet, "/v1/admin/jobs/"+url.PathEscape(job)+"/explain", nil)
	return string(raw), err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	raw, err := c.raw(ctx, method, path, in)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

func (c *Client) raw(ctx context.Context, method, path string, in any) ([]byte, error) {
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
		return nil, fault.New(fault.Unreachable, "check --entry, or try another entry", "no answer from %s: %v", c.URL, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var e fault.Error
		if json.Unmarshal(raw, &e) != nil || e.Kind == "" {
			return nil, fault.New(fault.Internal, "look at the entry's log", "the entry answered %s", resp.Status)
		}
		return nil, &e
	}
	return raw, nil
}

// Since gives the start of a span that ends now.
func Since(span time.Duration) clock.Millis {
	return clock.System().Now() - clock.FromDuration(span)
}
