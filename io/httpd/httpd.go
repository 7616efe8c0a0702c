// Package httpd is the HTTP server of the daemons: hertz with the project's
// bounds, its error documents, its logs and its metrics.
//
//	s := &httpd.Server{Addr: "127.0.0.1:8080", Log: log}
//	s.Handle("GET", "/v1/ready", func(ctx context.Context, r *httpd.Request) { r.Text(200, "ready") })
//	err := s.Start(ctx, kernel)
package httpd

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/net/netutil"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
)

// Bounds of the server.
const (
	MaxBody        = 1 << 20 // bytes
	MaxConnections = 4096
	idleTimeout    = 60 * time.Second
	readTimeout    = 30 * time.Second
	drainTimeout   = 50 * time.Millisecond
)

var (
	served  = expvar.NewInt("http_requests")
	refused = expvar.NewMap("http_problems")
)

// Server is a service of the kernel. Set the exported fields before Start.
type Server struct {
	Addr string
	Log  *slog.Logger
	// Fallback, if set, answers what no registered path matches.
	Fallback Handler

	hertz    *server.Hertz
	listener net.Listener
	routes   []routeEntry
	busy     atomic.Int64
	ended    chan struct{}
}

type routeEntry struct {
	method, path string
	handle       Handler
}

// Handler answers one request.
type Handler func(ctx context.Context, r *Request)

// Request is one call, with what a handler needs to read and answer it.
type Request struct {
	c *app.RequestContext
}

// Handle registers a handler. Call it before Start.
func (s *Server) Handle(method, path string, h Handler) {
	s.routes = append(s.routes, routeEntry{method, path, h})
}

// Start opens the port and begins to serve.
func (s *Server) Start(context.Context, *kern.Kernel) error {
	routeLogs()
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "--http-listen %q: %v", s.Addr, err)
	}
	s.listener = ln
	s.ended = make(chan struct{})
	s.hertz = server.New(
		server.WithListener(netutil.LimitListener(ln, MaxConnections)),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(MaxBody),
		server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout),
		server.WithExitWaitTime(drainTimeout),
		server.WithDisablePrintRoute(true),
	)
	s.Handle("GET", "/debug/vars", showVars)
	for _, r := range s.routes {
		s.hertz.Handle(r.method, r.path, s.wrap(r.handle))
	}
	if s.Fallback != nil {
		s.hertz.NoRoute(s.wrap(s.Fallback))
		go s.run()
		return nil
	}
	s.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		(&Request{c}).Problem(fault.New(fault.NotFound, "see README.md for the paths", "no such path: %s", c.Path()))
	})
	go s.run()
	return nil
}

// LocalAddr is the address that the server listens on.
func (s *Server) LocalAddr() string { return s.listener.Addr().String() }

func (s *Server) run() {
	defer close(s.ended)
	if err := s.hertz.Run(); err != nil && !strings.Contains(err.Error(), "closed") {
		s.Log.Error("http_server_ended", "error", err)
	}
}

// Stop closes the port and waits for the requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.listener.Close()
	for s.busy.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainTimeout / 10)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	_ = s.hertz.Shutdown(ctx)
	return nil
}

func (s *Server) wrap(h Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.busy.Add(1)
		defer s.busy.Add(-1)
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("handler_panic", "path", string(c.Path()), "panic", fmt.Sprint(p))
				(&Request{c}).Problem(fault.New(fault.Internal, "report it with the log line of this time", "the handler failed"))
			}
		}()
		served.Add(1)
		h(ctx, &Request{c})
	}
}

// Body is the request's body.
func (r *Request) Body() []byte { return append([]byte(nil), r.c.Request.Body()...) }

// Method is the request's method.
func (r *Request) Method() string { return string(r.c.Method()) }

// Path is the request's path.
func (r *Request) Path() string { return string(r.c.Path()) }

// Host is the host that the caller named.
func (r *Request) Host() string { return string(r.c.Host()) }

// CloseAfter has the connection end with this answer.
func (r *Request) CloseAfter() { r.c.SetConnectionClose() }

// Header reads a request header.
func (r *Request) Header(name string) string { return string(r.c.GetHeader(name)) }

// Param reads a part of the path.
func (r *Request) Param(name string) string { return r.c.Param(name) }

// Query reads a query parameter.
func (r *Request) Query(name string) string { return r.c.Query(name) }

// Bearer reads the bearer token, or "".
func (r *Request) Bearer() string {
	token, ok := strings.CutPrefix(r.Header("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// SetHeader sets a response header.
func (r *Request) SetHeader(name, value string) { r.c.Response.Header.Set(name, value) }

// Send answers with a body as it is.
func (r *Request) Send(status int, contentType string, body []byte) {
	r.c.Data(status, contentType, body)
}

// Text answers with a line of text.
func (r *Request) Text(status int, text string) {
	r.Send(status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

// JSON answers with a value.
func (r *Request) JSON(status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		r.Problem(err)
		return
	}
	r.Send(status, "application/json", raw)
}

// ReadJSON reads the body into v, strictly.
func (r *Request) ReadJSON(v any) error {
	dec := json.NewDecoder(strings.NewReader(string(r.c.Request.Body())))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fault.New(fault.Invalid, "send a JSON object with the documented members", "body can't be read: %v", err).WithOutcome(fault.NotRun)
	}
	return nil
}

// problem is an error document after RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	*fault.Error
}

// Problem answers with an error document.
func (r *Request) Problem(err error) {
	e := fault.Of(err)
	status := statusOf(e)
	refused.Add(string(e.Kind), 1)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + clock.Second - 1) / clock.Second
		r.SetHeader("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	raw, _ := json.Marshal(problem{Type: "about:blank", Title: strings.ReplaceAll(string(e.Kind), "_", " "), Status: status, Error: e})
	r.Send(status, "application/problem+json", raw)
}

func statusOf(e *fault.Error) int {
	switch e.Kind {
	case fault.Invalid, fault.Infeasible:
		return 400
	case fault.Denied:
		return 401
	case fault.NotFound:
		return 404
	case fault.Conflict, fault.Fenced, fault.Cancelled:
		return 409
	case fault.TooLarge:
		return 413
	case fault.Busy:
		return 429
	case fault.DeadlineExceeded:
		return 504
	case fault.StoreUnavailable, fault.Leaving, fault.Unreachable:
		return 503
	case fault.Failed, fault.InDoubt:
		return 502
	default:
		return 500
	}
}

func showVars(_ context.Context, r *Request) {
	vars := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	r.JSON(200, vars)
}
