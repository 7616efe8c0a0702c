package store

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
)

// Limits of single calls.
const (
	callTimeout      = 1500 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 64 << 20 // bytes
)

// HTTP is a Store over the JSON gateway of the etcd v3 API. Create it with
// NewHTTP.
type HTTP struct {
	// URL is the base address, such as http://10.0.0.5:2379.
	URL string

	client    http.Client
	countCall func(kind string)
}

// NewHTTP returns a client of the service at url. countCall, if not nil, is
// called with the kind of each call, because the platform counts calls.
func NewHTTP(url string, countCall func(kind string)) *HTTP {
	if countCall == nil {
		countCall = func(string) {}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		MaxConnsPerHost:     64,
		IdleConnTimeout:     30 * time.Second,
	}
	return &HTTP{URL: url, client: http.Client{Transport: transport}, countCall: countCall}
}

// int64String is an int64 encoded as a JSON string, as the gateway encodes it.
type int64String int64

func (n int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

func (n *int64String) UnmarshalJSON(raw []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(raw, `"`)), 10, 64)
	*n = int64String(v)
	return err
}

type header struct {
	Revision int64String `json:"revision"`
}

type wireKV struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value,omitempty"`
	ModRevision int64String `json:"mod_revision,omitempty"`
}

type rangeRequest struct {
	Key        []byte      `json:"key"`
	RangeEnd   []byte      `json:"range_end,omitempty"`
	Limit      int64String `json:"limit,omitempty"`
	SortOrder  string      `json:"sort_order,omitempty"`
	SortTarget string      `json:"sort_target,omitempty"`
	KeysOnly   bool        `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header header   `json:"header"`
	KVs    []wireKV `json:"kvs"`
}

type compare struct {
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type txnOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare `json:"compare"`
	Success []txnOp   `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseMessage struct {
	ID  int64String `json:"ID,omitempty"`
	TTL int64String `json:"TTL,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte      `json:"key"`
		RangeEnd      []byte      `json:"range_end"`
		StartRevision int64String `json:"start_revision"`
	} `json:"create_request"`
}

type watchResponse struct {
	Result struct {
		Events []struct {
			Type string `json:"type"`
			KV   wireKV `json:"kv"`
		} `json:"events"`
		Canceled bool `json:"canceled"`
	} `json:"result"`
}

func (kv wireKV) toKV() KV {
	return KV{Key: string(kv.Key), Value: kv.Value, Rev: int64(kv.ModRevision)}
}

// prefixEnd returns the first key after all keys that begin with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (KV, bool, error) {
	var out rangeResponse
	err := h.call(ctx, "get", "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out)
	if err != nil || len(out.KVs) == 0 {
		return KV{}, false, err
	}
	return out.KVs[0].toKV(), true, nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	var out rangeResponse
	err := h.call(ctx, "list", "/v3/kv/range", rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}, &out)
	if err != nil {
		return nil, 0, err
	}
	return out.toKVs(), int64(out.Header.Revision), nil
}

func (r rangeResponse) toKVs() []KV {
	kvs := make([]KV, 0, len(r.KVs))
	for _, kv := range r.KVs {
		kvs = append(kvs, kv.toKV())
	}
	return kvs
}

// Oldest implements Store.
func (h *HTTP) Oldest(ctx context.Context, prefix string, limit int) ([]KV, error) {
	var out rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64String(limit), SortOrder: "ASCEND", SortTarget: "MOD"}
	err := h.call(ctx, "oldest", "/v3/kv/range", req, &out)
	return out.toKVs(), err
}

// LatestRevision implements Store.
func (h *HTTP) LatestRevision(ctx context.Context, prefix string) (int64, error) {
	var out rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: 1, SortOrder: "DESCEND", SortTarget: "MOD", KeysOnly: true}
	err := h.call(ctx, "newest", "/v3/kv/range", req, &out)
	if err != nil || len(out.KVs) == 0 {
		return 0, err
	}
	return int64(out.KVs[0].ModRevision), nil
}

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, puts ...Put) (bool, int64, error) {
	var req txnRequest
	for _, p := range puts {
		key := []byte(p.Key)
		req.Compare = append(req.Compare, compare{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: int64String(p.IfRev)})
		op := txnOp{Put: &putRequest{Key: key, Value: p.Value, Lease: int64String(p.Lease)}}
		if p.Delete {
			op = txnOp{Delete: &deleteRequest{Key: key}}
		}
		req.Success = append(req.Success, op)
	}
	var out txnResponse
	err := h.call(ctx, "swap", "/v3/kv/txn", req, &out)
	return out.Succeeded, int64(out.Header.Revision), err
}

// Grant implements Store. The gateway takes whole seconds, so ttl is rounded up.
func (h *HTTP) Grant(ctx context.Context, ttl clock.Millis) (int64, error) {
	var out leaseMessage
	err := h.call(ctx, "lease", "/v3/lease/grant", leaseMessage{TTL: int64String((ttl + clock.Second - 1) / clock.Second)}, &out)
	return int64(out.ID), err
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, lease int64) error {
	var out struct {
		Result leaseMessage `json:"result"`
	}
	err := h.call(ctx, "lease", "/v3/lease/keepalive", leaseMessage{ID: int64String(lease)}, &out)
	if err == nil && out.Result.TTL <= 0 {
		return fault.New(fault.NotFound, "create a new lease", "lease %d has expired or was revoked", lease)
	}
	return err
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, lease int64) error {
	return h.call(ctx, "lease", "/v3/lease/revoke", leaseMessage{ID: int64String(lease)}, &struct{}{})
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, from int64, onChange func([]Change)) error {
	var req watchRequest
	req.Create.Key = []byte(prefix)
	req.Create.RangeEnd = prefixEnd(prefix)
	req.Create.StartRevision = int64String(from + 1)
	h.countCall("watch")
	resp, err := h.post(ctx, "/v3/watch", req)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var message watchResponse
		if err := dec.Decode(&message); err != nil {
			return unavailable(err)
		}
		if message.Result.Canceled {
			return fault.New(fault.StoreUnavailable, "list the keys again, then watch from the listed revision", "the platform's store cancelled the watch of %s", prefix)
		}
		if len(message.Result.Events) > 0 {
			onChange(message.changes())
		}
	}
}

func (r watchResponse) changes() []Change {
	changes := make([]Change, 0, len(r.Result.Events))
	for _, e := range r.Result.Events {
		changes = append(changes, Change{KV: e.KV.toKV(), Deleted: e.Type == "DELETE"})
	}
	return changes
}

func (h *HTTP) call(ctx context.Context, kind, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.countCall(kind)
	resp, err := h.post(ctx, path, in)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		DiscardIdle(ctx, &h.client)
		return unavailable(err)
	}
	return unavailable(json.Unmarshal(raw, out))
}

func (h *HTTP) post(ctx context.Context, path string, in any) (*http.Response, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from sending a write a second time on its own
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		DiscardIdle(ctx, &h.client)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("platform's store responded with status %s", resp.Status)
	}
	return resp, nil
}

// DiscardIdle closes a client's idle connections after a call without a response,
// unless the caller cancelled it. What silenced one connection may have silenced
// all.
func DiscardIdle(ctx context.Context, client *http.Client) {
	if ctx.Err() != context.Canceled {
		client.CloseIdleConnections()
	}
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.StoreUnavailable, "wait for the platform's store, or check --store", "call to the platform's store failed: %v", err)
}
