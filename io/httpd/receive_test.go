package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/io/guard"
)

// testLimits are small, so that a test exceeds them with few bytes.
var testLimits = Limits{MaxHead: 1 << 10, IdleTimeout: time.Minute, RequestTimeout: time.Minute}

// startEcho starts a server that answers with what a handler sees of a request.
func startEcho(t testing.TB, limits Limits) (addr string) {
	s := &Server{Listener: guard.Listener{Name: "test", Addr: "127.0.0.1:0"}, Limits: limits, Log: slog.New(slog.DiscardHandler), Fallback: func(_ context.Context, r *Request) {
		r.Text(200, fmt.Sprintf("%s %s %s %q", r.Method(), r.Path(), r.Header("X-A"), r.Body()))
	}}
	qt.Assert(t, s.Start(t.Context(), nil), qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s.LocalAddr()
}

// exchange sends text in pieces of the given sizes, the rest at once, and returns the statuses and
// the bodies of the responses. The connection is closed for writing behind the text.
func exchange(t testing.TB, addr, text string, sizes ...int) (out []string) {
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	for _, size := range append(sizes, len(text)) {
		size = min(size, len(text))
		if _, err := io.WriteString(c, text[:size]); err != nil {
			break // the server has refused the request
		}
		text = text[size:]
	}
	_ = c.(*net.TCPConn).CloseWrite()
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		out = append(out, fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))))
	}
}

func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	addr := startEcho(t, testLimits)
	field := "X-B: " + strings.Repeat("b", 100) + "\r\n"
	const post = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"head", post + strings.Repeat(field, 12) + "\r\n", 431},
		{"head without end", post + strings.Repeat(field, 100), 431},
		{"line without end", "GET /" + strings.Repeat("a", 2000), 431},
		{"blank lines", strings.Repeat("\r\n", maxBlankLines+1), 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, sizes := range [][]int{nil, {1, 1, 1, 1}} {
				got := exchange(t, addr, test.text+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n", sizes...)
				qt.Assert(t, got, qt.HasLen, 1, qt.Commentf("%v", got))
				qt.Check(t, got[0], qt.Matches, fmt.Sprintf(`%d .*"outcome":"not_run".*`, test.status))
			}
		})
	}
}

// The end of a head is searched for once in each byte, also if the head comes byte by byte.
func TestTheEndOfAHeadIsSearchedForOnce(t *testing.T) {
	head := "GET /a HTTP/1.1\r\nHost: h\r\nX-A: \r\nX-B:\n" + strings.Repeat("X-C: 1\r\n", 50) + "\r\n"
	from := 0
	for n := 1; n < len(head); n++ {
		end, next := headEnd([]byte(head[:n]), from)
		qt.Assert(t, end, qt.Equals, 0)
		qt.Assert(t, next >= n-2, qt.IsTrue, qt.Commentf("%d bytes are searched again", n-next))
		from = next
	}
	end, _ := headEnd([]byte(head+"body"), from)
	qt.Check(t, end, qt.Equals, len(head))
}
