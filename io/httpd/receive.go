package httpd

import (
	"bytes"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"gypsumcrank/core/fault"
)

// handlingFactor is how many times its own size the handling of a request takes.
const handlingFactor = 3

// maxBlankLines is how many blank lines may come before a request.
const maxBlankLines = 8

// continueResponse asks a client to send the body that it has announced.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// headers holds unused headers, which are needed only while a request is received.
var headers = sync.Pool{New: func() any { return new(protocol.RequestHeader) }}

// receive waits for the next request and receives it whole. It reports false if there is none: the
// client has left, was too slow, or has been refused.
func (c *conn) receive() bool {
	c.AwaitClient()
	err := c.receiveRequest()
	var r *refusal
	if errors.As(err, &r) {
		c.refuse(r)
	}
	if err != nil {
		return false
	}
	c.serving = true
	return true
}

func (c *conn) receiveRequest() error {
	if len(c.in) == 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout)); err != nil {
			return err
		}
		if err := c.fill(); err != nil {
			return err
		}
		c.AwaitClient()
	}
	if err := c.SetReadDeadline(time.Now().Add(c.limits.RequestTimeout)); err != nil {
		return err
	}
	err := c.receiveParts()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuseSlow
	}
	return err
}

// receiveParts receives the head and the body of a request.
func (c *conn) receiveParts() error {
	if err := c.skipBlankLines(); err != nil {
		return err
	}
	end, err := c.receiveHead()
	if err != nil {
		return err
	}
	if bytes.Count(c.in[:end], []byte{'\n'}) > c.limits.MaxFields+2 { // with the lines before and behind them
		return refuseHead
	}
	h := headers.Get().(*protocol.RequestHeader)
	defer headers.Put(h)
	if err := c.parseHead(h, end); err != nil {
		return err
	}
	return c.receiveBody(h, end)
}

// fill receives more bytes into free space of the buffer, which it makes if there is none.
func (c *conn) fill() error {
	if len(c.in) == cap(c.in) {
		if err := c.grow(2 * cap(c.in)); err != nil {
			return err
		}
	}
	n, err := c.Conn.Read(c.in[len(c.in):cap(c.in)])
	c.in = c.in[:len(c.in)+n]
	if n > 0 {
		return nil
	}
	return err
}

// grow makes a larger buffer.
func (c *conn) grow(size int) error {
	if err := c.hold(size); err != nil {
		return err
	}
	larger := make([]byte, len(c.in), max(size, baseBuffer))
	copy(larger, c.in)
	c.in = larger
	return nil
}

// skipBlankLines discards blank lines before a request, which some clients send after a body.
func (c *conn) skipBlankLines() error {
	for range maxBlankLines {
		for len(c.in) == 0 || len(c.in) == 1 && c.in[0] == '\r' {
			if err := c.fill(); err != nil {
				return err
			}
		}
		n := blankLine(c.in)
		if n == 0 {
			return nil
		}
		c.in = c.in[:copy(c.in, c.in[n:])]
	}
	return refuseBlankLines
}

// blankLine returns the length of the blank line with which b begins; 0 if there is none.
func blankLine(b []byte) int {
	if len(b) > 0 && b[0] == '\n' {
		return 1
	}
	if len(b) > 1 && b[0] == '\r' && b[1] == '\n' {
		return 2
	}
	return 0
}

// receiveHead receives a head, and returns where it ends in the buffer. What was searched for the
// end once is not searched again.
func (c *conn) receiveHead() (end int, err error) {
	for from := 0; ; {
		end, from = headEnd(c.in, from)
		if end > c.limits.MaxHead || end == 0 && len(c.in) > c.limits.MaxHead {
			return 0, refuseHead
		}
		if end > 0 {
			return end, nil
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// headEnd searches b for the end of a head, beginning at an offset. It returns the offset behind the
// end; 0, and where to go on once there are more bytes, if the end is not in b.
func headEnd(b []byte, from int) (end, next int) {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0, len(b)
		}
		line := from + i
		if n := blankLine(b[line+1:]); n > 0 {
			return line + 1 + n, 0
		}
		if len(b)-line <= 2 {
			return 0, line
		}
		from = line + 1
	}
}

// parseHead parses the head that ends at the given offset.
func (c *conn) parseHead(h *protocol.RequestHeader, end int) error {
	h.Reset()
	c.head, c.body = c.in[:end], nil // for hertz to read
	err := req.ReadHeader(h, c)
	rest := len(c.head)
	c.head = nil
	if err != nil || rest > 0 {
		return refuseMalformed
	}
	return nil
}

// chunkedLength is the length of a body in chunks, according to hertz.
const chunkedLength = -1

// receiveBody receives the body behind the head that ends at the given offset. Then the request is
// whole.
func (c *conn) receiveBody(h *protocol.RequestHeader, end int) error {
	length := h.ContentLength()
	if length > c.limits.MaxBody {
		return refuseBody
	}
	expects := len(h.Peek("Expect")) > 0
	if expects && length != 0 && len(c.in) == end {
		if _, err := c.Write([]byte(continueResponse)); err != nil {
			return err
		}
	}
	bodyEnd, err := end, error(nil)
	c.next = end
	if length == chunkedLength {
		bodyEnd, c.next, err = c.receiveChunks(end)
	} else if length > 0 {
		bodyEnd = end + length
		c.next, err = bodyEnd, c.receiveUntil(bodyEnd)
	}
	if err != nil {
		return err
	}
	c.head, c.body = c.in[:end:end], c.in[end:bodyEnd]
	if expects || length == chunkedLength {
		c.rewriteHead(h)
	}
	return refuseIfBusy(c.Serve(max(0, len(c.head)+len(c.body)-freeBuffer) * handlingFactor))
}

// hold accounts for a buffer of the given size.
func (c *conn) hold(size int) error { return refuseIfBusy(c.Hold(max(0, size-freeBuffer))) }

// refuseIfBusy returns a refusal in place of a busy error.
func refuseIfBusy(err error) error {
	if fault.Is(err, fault.Busy) {
		return refuseBusy
	}
	return err
}

// receiveUntil receives until the buffer holds the given number of bytes. It grows only with what
// has come, not with what was announced.
func (c *conn) receiveUntil(size int) error {
	for len(c.in) < size {
		if len(c.in) == cap(c.in) {
			if err := c.grow(min(2*cap(c.in), size)); err != nil {
				return err
			}
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
	return nil
}

// rewriteHead replaces the head by one for the body as it was received: of known length, and not
// to be asked for.
func (c *conn) rewriteHead(h *protocol.RequestHeader) {
	h.Del("Expect")
	h.SetContentLength(len(c.body))
	c.head = append([]byte(nil), h.Header()...)
}
