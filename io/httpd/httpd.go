// Package httpd is the HTTP server of the daemons: hertz with the limits, error
// documents, logs and metrics that all daemons share.
//
//	s := &httpd.Server{Listener: guard.Listener{Name: "callers", Addr: "127.0.0.1:8080"}, Log: log}
//	s.Handle("GET", "/v1/ready", func(ctx context.Context, r *httpd.Request) { r.Text(200, "ready") })
//	err := s.Start(ctx, kernel)
package httpd

import (
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/guard"
)

// Limits of the server.
const (
	defaultMemory = 32 << 20         // bytes that the requests of all clients may take together while they are received, and handled
	defaultConns  = 4096             // open connections, if the listener has no limit
	writeTimeout  = 10 * time.Second // of a client that doesn't take its response
	drainTimeout  = 50 * time.Millisecond
)

var (
	requests = expvar.NewInt("http_requests")
	problems = expvar.NewMap("http_problems")
)

// Limits bounds what one client may send. The zero value of a field stands for its default.
type Limits struct {
	MaxHead        int           // bytes of a request's head; also of trailers
	MaxFields      int           // number of fields in a request's head
	MaxBody        int           // bytes of a request's body
	IdleTimeout    time.Duration // between two requests on a connection
	RequestTimeout time.Duration // from the first byte of a request to its last
}

// DefaultLimits returns limits that every request within the users' pages keeps.
func DefaultLimits() Limits {
	return Limits{MaxHead: 16 << 10, MaxFields: 128, MaxBody: 1 << 20, IdleTimeout: time.Minute, RequestTimeout: 30 * time.Second}
}

// RequestMemory returns how many bytes the largest request takes at most while it is received, and
// while it is handled.
func (l Limits) RequestMemory() (receiving, handling int64) {
	l = l.withDefaults()
	largest := int64(l.MaxHead + l.MaxBody)
	return 2 * largest, handlingFactor * largest
}

// withDefaults returns the limits with their defaults.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	return Limits{
		MaxHead: cmp.Or(l.MaxHead, d.MaxHead), MaxFields: cmp.Or(l.MaxFields, d.MaxFields), MaxBody: cmp.Or(l.MaxBody, d.MaxBody),
		IdleTimeout: cmp.Or(l.IdleTimeout, d.IdleTimeout), RequestTimeout: cmp.Or(l.RequestTimeout, d.RequestTimeout),
	}
}

// Server is an HTTP server that runs as a service of a kern.Kernel. Set the
// exported fields before Start.
type Server struct {
	Listener guard.Listener // its name, its address and its limits
	Limits   Limits
	Log      *slog.Logger
	// Fallback, if set, handles requests that match no registered path.
	Fallback Handler

	hertz    *server.Hertz
	routes   []routeEntry
	inFlight atomic.Int64
	done     chan struct{}
}

type routeEntry struct {
	method, path string
	handle       Handler
}

// Handler handles one request and writes its response.
type Handler func(ctx context.Context, r *Request)

// Request is one HTTP request together with the response to it.
type Request struct {
	c *app.RequestContext
}

// Handle registers a handler. Call it before Start.
func (s *Server) Handle(method, path string, h Handler) {
	s.routes = append(s.routes, routeEntry{method, path, h})
}

// Start opens the listening socket and starts serving.
func (s *Server) Start(context.Context, *kern.Kernel) error {
	redirectLogs()
	if s.Listener.Guard == nil {
		s.Listener.Guard = &guard.Guard{Receiving: defaultMemory, Handling: defaultMemory, Log: s.Log}
	}
	s.Listener.MaxConns = cmp.Or(s.Listener.MaxConns, defaultConns)
	if err := s.Listener.Open(); err != nil {
		return fault.New(fault.Invalid, "choose a free port on this host", "--http-listen %q: %v", s.Listener.Addr, err)
	}
	s.done = make(chan struct{})
	limits := s.Limits.withDefaults()
	s.hertz = server.New(
		server.WithTransport(func(*config.Options) network.Transporter {
			return &transport{listener: &s.Listener, limits: limits}
		}),
		server.WithMaxHeaderBytes(limits.MaxHead),
		server.WithMaxRequestBodySize(limits.MaxBody),
		server.WithDisablePreParseMultipartForm(true),
		server.WithIdleTimeout(0), // return after each request
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

// LocalAddr returns the address that the server listens on.
func (s *Server) LocalAddr() string { return s.Listener.LocalAddr().String() }

func (s *Server) run() {
	defer close(s.done)
	if err := s.hertz.Run(); err != nil && !strings.Contains(err.Error(), "closed") {
		s.Log.Error("http_server_ended", "error", err)
	}
}

// Stop closes the listening socket and waits for requests in flight until ctx
// ends.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.Listener.Close()
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainTimeout / 10)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	_ = s.hertz.Shutdown(ctx)
	return nil
}

func (s *Server) wrap(h Handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("handler_panic", "path", string(c.Path()), "panic", fmt.Sprint(p))
				(&Request{c}).Problem(fault.New(fault.Internal, "report this fault with the handler_panic line of the log", "request handler panicked"))
			}
		}()
		requests.Add(1)
		h(ctx, &Request{c})
	}
}

// Body returns a copy of the request's body.
func (r *Request) Body() []byte { return append([]byte(nil), r.c.Request.Body()...) }

func (r *Request) Method() string { return string(r.c.Method()) }

func (r *Request) Path() string { return string(r.c.Path()) }

// Host returns the host that the client asked for.
func (r *Request) Host() string { return string(r.c.Host()) }

// CloseAfter closes the connection after this response.
func (r *Request) CloseAfter() { r.c.SetConnectionClose() }

// Header returns a request header.
func (r *Request) Header(name string) string { return string(r.c.GetHeader(name)) }

// Param returns a named parameter of the registered path.
func (r *Request) Param(name string) string { return r.c.Param(name) }

// Warn logs an event that clients can cause as often as they like. One line stands for all such
// events at the listener in some seconds.
func (r *Request) Warn(event string, args ...any) {
	if c, ok := r.c.GetConn().(*conn); ok {
		c.Warn(event, args...)
	}
}

// Query returns a query parameter.
func (r *Request) Query(name string) string { return r.c.Query(name) }

// Bearer returns the bearer token, or "" if there is none.
func (r *Request) Bearer() string {
	token, ok := strings.CutPrefix(r.Header("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// SetHeader sets a response header.
func (r *Request) SetHeader(name, value string) { r.c.Response.Header.Set(name, value) }

// Send responds with body as it is.
func (r *Request) Send(status int, contentType string, body []byte) {
	r.c.Data(status, contentType, body)
}

// Text responds with text as one line.
func (r *Request) Text(status int, text string) {
	r.Send(status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

// JSON responds with v encoded as JSON.
func (r *Request) JSON(status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		r.Problem(err)
		return
	}
	r.Send(status, "application/json", raw)
}

// ReadJSON decodes the body into v and rejects unknown members.
func (r *Request) ReadJSON(v any) error {
	dec := json.NewDecoder(strings.NewReader(string(r.c.Request.Body())))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fault.New(fault.Invalid, "send a JSON object with the documented members", "request body can't be decoded: %v", err).WithOutcome(fault.NotRun)
	}
	return nil
}

// problem is an RFC 9457 error document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	*fault.Error
}

// Problem responds with an error document for err.
func (r *Request) Problem(err error) {
	e := fault.Of(err)
	status := statusOf(e)
	problems.Add(string(e.Kind), 1)
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
