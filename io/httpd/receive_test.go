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
	"pgregory.net/rapid"

	"gypsumcrank/io/guard"
)

// testLimits are small, so that a test exceeds them with few bytes.
var testLimits = Limits{MaxHead: 1 << 10, MaxBody: 4 << 10, IdleTimeout: time.Minute, RequestTimeout: time.Minute}

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

func TestRequestsAreReceivedWhole(t *testing.T) {
	addr := startEcho(t, testLimits)
	long := strings.Repeat("b", testLimits.MaxBody)
	for _, test := range []struct{ name, text, want string }{
		{"without a body", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n", `200 GET /a 1 ""`},
		{"bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", `200 GET /a  ""`},
		{"body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", `200 POST /a  "abc"`},
		{"empty body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", `200 POST /a  ""`},
		{"largest body", fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long), fmt.Sprintf(`200 POST /a  %q`, long)},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", `200 POST /a 1 "abcde"`},
		{"chunks and trailers", "POST /a HTTP/1.1\r\nHost: h\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\nA \r\n0123456789\r\n000\r\nX-T: 1\r\nX-U: 2\r\n\r\n", `200 POST /a  "0123456789"`},
		{"largest body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", len(long)) + "0\r\n\r\n", fmt.Sprintf(`200 POST /a  %q`, long)},
		{"get with chunks", "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", `200 GET /a  "a"`},
		{"blank lines before", "\r\n\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", `200 GET /a  ""`},
		{"form", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 5\r\n\r\n--b--", `200 POST /a  "--b--"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(exchange(t, addr, test.text), qt.DeepEquals, []string{test.want})
			kept := exchange(t, addr, test.text+test.text+test.text)
			c.Check(kept, qt.DeepEquals, []string{test.want, test.want, test.want}, qt.Commentf("on one connection"))
		})
	}
}

func TestAClientIsAskedForTheBodyThatItHoldsBack(t *testing.T) {
	c := qt.New(t)
	conn, err := net.Dial("tcp", startEcho(t, testLimits))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	c.Assert(err, qt.IsNil)
	r := bufio.NewReader(conn)
	for _, want := range []string{"HTTP/1.1 100 Continue\r\n", "\r\n"} {
		line, err := r.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Check(line, qt.Equals, want)
	}
	_, err = io.WriteString(conn, "abc")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Check(strings.TrimSpace(string(body)), qt.Equals, `POST /a  "abc"`)
}

func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	addr := startEcho(t, testLimits)
	field := "X-B: " + strings.Repeat("b", 100) + "\r\n"
	const post = "POST /a HTTP/1.1\r\nHost: h\r\n"
	const chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"head", post + strings.Repeat(field, 12) + "\r\n", 431},
		{"head without end", post + strings.Repeat(field, 100), 431},
		{"many fields", post + strings.Repeat("a:b\r\n", 128) + "\r\n", 431},
		{"line without end", "GET /" + strings.Repeat("a", 2000), 431},
		{"blank lines", strings.Repeat("\r\n", maxBlankLines+1), 400},
		{"announced body", post + "Content-Length: 4097\r\n\r\n", 413},
		{"body far over the limit", post + "Content-Length: 999999999999999999\r\n\r\n", 413},
		{"announced chunk", chunked + "1001\r\n", 413},
		{"chunk far over the limit", chunked + "7fffffffffffffff\r\n", 413},
		{"chunk size over all numbers", chunked + "fffffffffffffffff\r\n", 400},
		{"chunks", chunked + strings.Repeat("100\r\n"+strings.Repeat("b", 0x100)+"\r\n", 17), 413},
		{"chunk size without end", chunked + strings.Repeat("0", 300), 400},
		{"padded chunk size", chunked + "1" + strings.Repeat(" ", 300), 400},
		{"chunk extension without end", chunked + "1;" + strings.Repeat("x", 300), 400},
		{"chunk extensions", chunked + strings.Repeat("1;"+strings.Repeat("x", 200)+"\r\nb\r\n", 10), 400},
		{"trailers", chunked + "0\r\n" + strings.Repeat(field, 12) + "\r\n", 431},
		{"trailers without end", chunked + "0\r\n" + strings.Repeat(field, 100), 431},
		{"chunk without line end", chunked + "1\r\nabc\r\n0\r\n\r\n", 400},
		{"chunk without size", chunked + "\r\n", 400},
		{"negative chunk", chunked + "-1\r\n", 400},
		{"negative length", post + "Content-Length: -1\r\n\r\n", 400},
		{"no request", "\x00\xff\r\n\r\n", 400},
		{"folded field", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n 2\r\n\r\n", 400},
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

// A request that is cut off before its end is not handled.
func TestPartsOfRequestsAreNotHandled(t *testing.T) {
	addr := startEcho(t, testLimits)
	for _, text := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-T: 1\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n",
	} {
		for cut := range len(text) {
			qt.Check(t, exchange(t, addr, text[:len(text)-cut]), qt.HasLen, 0, qt.Commentf("%q", text[:len(text)-cut]))
		}
	}
}

// However the bytes of some requests are spread over packets and chunks, the handler sees the same.
func TestAnyDivisionOfRequestsIsTheSame(t *testing.T) {
	addr := startEcho(t, testLimits)
	rapid.Check(t, func(r *rapid.T) {
		var text strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 4).Draw(r, "requests") {
			body := rapid.StringOfN(rapid.RuneFrom([]rune("ab\r\n0;: ")), 0, 3000, testLimits.MaxBody).Draw(r, "body")
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\n", i)
			if rapid.Bool().Draw(r, "chunked") {
				text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for rest := body; rest != ""; {
					n := rapid.IntRange(1, len(rest)).Draw(r, "chunk")
					fmt.Fprintf(&text, "%x\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				text.WriteString("0\r\n\r\n")
			} else {
				fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			want = append(want, fmt.Sprintf(`200 POST /%d  %q`, i, body))
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 700), 0, 40).Draw(r, "sizes")
		if got := exchange(t, addr, text.String(), sizes...); fmt.Sprint(got) != fmt.Sprint(want) {
			r.Fatalf("got %q, want %q", got, want)
		}
	})
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
