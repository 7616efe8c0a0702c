package httpd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/meter"
)

// Limits of what a client may still send after a refusal. If the connection were closed at once,
// bytes that are under way would reset it and destroy the refusal.
const (
	lingerTime  = time.Second
	lingerBytes = 256 << 10
)

// refusal is why a client is refused before its request is whole. The request does not run.
type refusal struct {
	status int
	reason string // in metrics
	fault  *fault.Error
}

// Error returns the message with its remedy.
func (r *refusal) Error() string { return r.fault.Error() }

func newRefusal(status int, reason string, kind fault.Kind, remedy, detail string) *refusal {
	return &refusal{status, reason, fault.New(kind, remedy, "%s", detail).WithOutcome(fault.NotRun)}
}

func (r *refusal) withRetry(after clock.Millis) *refusal {
	return &refusal{r.status, r.reason, r.fault.WithRetry(after)}
}

// The refusals.
var (
	refuseHead       = newRefusal(http.StatusRequestHeaderFieldsTooLarge, "head_too_large", fault.TooLarge, "send fewer or shorter header fields", "the head of the request is over the limit")
	refuseBody       = newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", fault.TooLarge, "send a smaller body", "the body of the request is over the limit")
	refuseBlankLines = newRefusal(http.StatusBadRequest, "blank_lines", fault.Invalid, "begin with the request", "too many blank lines before the request")
	refuseMalformed  = newRefusal(http.StatusBadRequest, "malformed", fault.Invalid, "send an HTTP/1.1 request", "the request can't be parsed")
	refuseBusy       = newRefusal(http.StatusServiceUnavailable, "busy", fault.Busy, "retry after the given time", "the requests of others take all the memory").withRetry(clock.Second)
	refuseSlow       = newRefusal(http.StatusRequestTimeout, "slow", fault.DeadlineExceeded, "send the whole request sooner", "the request did not come in time")
)

// refuse answers with a refusal, and waits a short while for the client to take it.
func (c *conn) refuse(r *refusal) {
	meter.Count("requests_refused_early", 1, c.listener, r.reason)
	c.Warn("request_refused_early", "reason", r.reason)
	c.in = make([]byte, 0, baseBuffer)
	_ = c.hold(cap(c.in))
	doc, _ := json.Marshal(problem{Type: "about:blank", Title: strings.ReplaceAll(string(r.fault.Kind), "_", " "), Status: r.status, Error: r.fault})
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n", r.status, http.StatusText(r.status), len(doc))
	if r.fault.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", (r.fault.RetryAfter+clock.Second-1)/clock.Second)
	}
	b.WriteString("\r\n")
	b.Write(doc)
	if _, err := c.Write(b.Bytes()); err != nil {
		return
	}
	if half, ok := c.Conn.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(c.Conn, lingerBytes), c.in[:cap(c.in)])
	}
}
