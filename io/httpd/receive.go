package httpd

import (
	"bytes"
	"errors"
	"os"
	"time"
)

// maxBlankLines is how many blank lines may come before a request.
const maxBlankLines = 8

// receive waits for the next request and receives its head. It reports false if there is none: the
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
	c.fresh = false
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
	err := c.skipBlankLines()
	if err == nil {
		err = c.receiveHead()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuseSlow
	}
	return err
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

// receiveHead receives a whole head, so that it is parsed once. What was searched for its end once
// is not searched again.
func (c *conn) receiveHead() error {
	for end, from := 0, 0; ; {
		end, from = headEnd(c.in, from)
		if end > c.limits.MaxHead || end == 0 && len(c.in) > c.limits.MaxHead {
			return refuseHead
		}
		if end > 0 {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
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
