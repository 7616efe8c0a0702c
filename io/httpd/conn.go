package httpd

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"gypsumcrank/io/guard"
)

// Sizes of buffers, in bytes.
const (
	// baseBuffer is what a connection always has for what it receives; most requests fit.
	baseBuffer = 2 << 10
	// freeBuffer is what a connection may have without regard to others, so that those who send much
	// don't keep ordinary requests out.
	freeBuffer = 8 << 10
	// writeBuffer holds most responses.
	writeBuffer = 4 << 10
)

// writeBuffers holds unused write buffers: an idle connection needs none.
var writeBuffers = sync.Pool{New: func() any { return new([writeBuffer]byte) }}

// conn is a connection as hertz sees it. Its reader holds one whole request at a time, which was
// received within the limits.
type conn struct {
	*guard.Conn
	listener string // its name
	limits   Limits

	in      []byte // received and not yet released
	head    []byte // of the request that is served, as far as hertz has not read it
	body    []byte // likewise
	next    int    // offset in in of what was received after that request
	serving bool   // until the request is released

	buffer *[writeBuffer]byte // that out began with, or nil
	out    []byte             // to be written by Flush
}

var (
	_ network.Conn                = (*conn)(nil)
	_ network.HandleSpecificError = (*conn)(nil)
)

// part returns the part of the request that hertz reads next.
func (c *conn) part() *[]byte {
	if len(c.head) > 0 {
		return &c.head
	}
	return &c.body
}

// Peek returns the next n bytes of the request.
func (c *conn) Peek(n int) ([]byte, error) {
	p := *c.part()
	if n > len(p) {
		return p, io.ErrUnexpectedEOF
	}
	return p[:n], nil
}

// Skip discards the next n bytes.
func (c *conn) Skip(n int) error {
	p := c.part()
	if n > len(*p) {
		return io.ErrUnexpectedEOF
	}
	*p = (*p)[n:]
	return nil
}

// Len returns how many bytes Peek can return.
func (c *conn) Len() int { return len(*c.part()) }

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], c.Skip(1)
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), b...), c.Skip(n)
}

// Read reads what is left of the request.
func (c *conn) Read(b []byte) (int, error) {
	p := c.part()
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(b, *p)
	return n, c.Skip(n)
}

// Release ends the request that is served. Slices that were read from it are no longer valid.
func (c *conn) Release() error {
	if !c.serving {
		return nil
	}
	rest := c.in[c.next:]
	if cap(c.in) > baseBuffer && len(rest) <= baseBuffer {
		c.in = make([]byte, 0, baseBuffer)
	}
	c.in = append(c.in[:0], rest...)
	c.head, c.body, c.next, c.serving = nil, nil, 0, false
	return c.hold(cap(c.in))
}

// Malloc returns n bytes that Flush writes. They are valid until the next call.
func (c *conn) Malloc(n int) ([]byte, error) {
	c.needOut()
	c.out = append(c.out, make([]byte, n)...)
	return c.out[len(c.out)-n:], nil
}

// WriteBinary writes b with the next Flush, or at once if it is long.
func (c *conn) WriteBinary(b []byte) (int, error) {
	if len(b) >= writeBuffer {
		if err := c.Flush(); err != nil {
			return 0, err
		}
		return c.Write(b)
	}
	c.needOut()
	c.out = append(c.out, b...)
	return len(b), nil
}

func (c *conn) needOut() {
	if c.buffer == nil {
		c.buffer = writeBuffers.Get().(*[writeBuffer]byte)
		c.out = c.buffer[:0]
	}
}

// Flush writes what is left to write.
func (c *conn) Flush() error {
	if c.buffer == nil {
		return nil
	}
	_, err := c.Write(c.out)
	writeBuffers.Put(c.buffer)
	c.buffer, c.out = nil, nil
	return err
}

// Write writes to the client, which has limited time to take the bytes.
func (c *conn) Write(b []byte) (int, error) {
	c.AwaitClient()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close does nothing: hertz closes a connection after each request, which the session may keep open.
func (c *conn) Close() error { return nil }

// SetReadTimeout does nothing: receive sets the deadlines.
func (c *conn) SetReadTimeout(time.Duration) error { return nil }

// SetWriteTimeout does nothing: Write sets the deadlines.
func (c *conn) SetWriteTimeout(time.Duration) error { return nil }

// HandleSpecificError keeps errors of the network out of the log: clients cause as many as they
// like.
func (c *conn) HandleSpecificError(err error, _ string) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) || errors.Is(err, io.ErrUnexpectedEOF)
}
