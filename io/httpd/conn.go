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
	// writeBuffer holds most responses.
	writeBuffer = 4 << 10
)

// writeBuffers holds unused write buffers: an idle connection needs none.
var writeBuffers = sync.Pool{New: func() any { return new([writeBuffer]byte) }}

// conn is a connection as hertz sees it. The head of a request is received whole before hertz reads
// any of it.
type conn struct {
	*guard.Conn
	listener string // its name
	limits   Limits

	in    []byte // received and not yet released
	off   int    // of what is not yet read
	fresh bool   // nothing of the next request was read

	buffer *[writeBuffer]byte // that out began with, or nil
	out    []byte             // to be written by Flush
}

var (
	_ network.Conn                = (*conn)(nil)
	_ network.HandleSpecificError = (*conn)(nil)
)

// fill receives more bytes into free space of the buffer, which it makes if there is none.
func (c *conn) fill() error {
	if len(c.in) == cap(c.in) {
		larger := make([]byte, len(c.in), max(2*cap(c.in), baseBuffer))
		copy(larger, c.in)
		c.in = larger
	}
	n, err := c.Conn.Read(c.in[len(c.in):cap(c.in)])
	c.in = c.in[:len(c.in)+n]
	if n > 0 {
		return nil
	}
	return err
}

// Peek returns the next n bytes, and receives them if need be. Between two requests it waits for the
// next one; io.EOF says that there will be none.
func (c *conn) Peek(n int) ([]byte, error) {
	if c.fresh && !c.receive() {
		return nil, io.EOF
	}
	for c.Len() < n {
		if err := c.fill(); err != nil {
			return c.in[c.off:], err
		}
	}
	return c.in[c.off : c.off+n], nil
}

// Skip discards the next n bytes.
func (c *conn) Skip(n int) error {
	if n > c.Len() {
		return io.ErrUnexpectedEOF
	}
	c.off += n
	return nil
}

// Len returns how many bytes were received and not read.
func (c *conn) Len() int { return len(c.in) - c.off }

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

// Read reads what was received, or more if that is nothing.
func (c *conn) Read(b []byte) (int, error) {
	if _, err := c.Peek(1); err != nil {
		return 0, err
	}
	n := copy(b, c.in[c.off:])
	return n, c.Skip(n)
}

// Release discards what is read. Slices of it are no longer valid.
func (c *conn) Release() error {
	rest := c.in[c.off:]
	if cap(c.in) > baseBuffer && len(rest) <= baseBuffer {
		c.in = make([]byte, 0, baseBuffer)
	}
	c.in, c.off, c.fresh = append(c.in[:0], rest...), 0, true
	return nil
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
