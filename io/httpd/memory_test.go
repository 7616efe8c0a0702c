package httpd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// heapInUse returns the memory in use after unused memory is freed; pools need two cycles for that.
func heapInUse() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Between two requests a connection keeps little of the last one, however large it was.
func TestAnIdleConnectionTakesLittle(t *testing.T) {
	const (
		clients = 100
		// idleMemory is for both ends of the connection. A host with 284 MB has 2,000 of them.
		idleMemory = 8 << 10
	)
	c := qt.New(t)
	addr := startEcho(t, DefaultLimits())
	request := "POST /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-A: "+strings.Repeat("a", 113)+"\r\n", 120) + "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 100_000)
	before := heapInUse()
	var open []net.Conn
	for range clients {
		conn, err := net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, request)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 200)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	got := (heapInUse() - before) / len(open)
	t.Logf("%d bytes a connection", got)
	c.Check(got < idleMemory, qt.IsTrue, qt.Commentf("%d bytes a connection", got))
}
