package httpd

import (
	"bytes"
	"strconv"
)

// Limits of a chunked body, in bytes. Its data and its trailers have the limits of a body and a head.
const (
	maxChunkLine = 256 // of the line before a chunk, with its extensions
	// freeChunkLine is the part of such a line that counts for nothing. The rest of all lines
	// together may be as long as a head.
	freeChunkLine = 16
)

// chunkReader decodes a chunked body in place, in the buffer of its connection: in[:write] holds the
// head and the data decoded so far, in[read:] what is not decoded.
type chunkReader struct {
	*conn
	read, write int
	excess      int // bytes in the lines before chunks beyond freeChunkLine each
}

// receiveChunks receives a chunked body behind the head that ends at the given offset. It returns
// where the decoded body ends, and where the bytes behind the body begin.
func (c *conn) receiveChunks(end int) (bodyEnd, next int, err error) {
	r := &chunkReader{conn: c, read: end, write: end}
	for {
		size, err := r.chunkSize()
		if err != nil {
			return 0, 0, err
		}
		if size == 0 {
			break
		}
		if size > c.limits.MaxBody-(r.write-end) {
			return 0, 0, refuseBody
		}
		if err := r.data(size); err != nil {
			return 0, 0, err
		}
	}
	if err := r.trailers(); err != nil {
		return 0, 0, err
	}
	return r.write, r.read, nil
}

// chunkSize reads the line before a chunk.
func (r *chunkReader) chunkSize() (int, error) {
	line, err := r.line(maxChunkLine, refuseMalformed)
	if err != nil {
		return 0, err
	}
	if r.excess += max(0, len(line)-freeChunkLine); r.excess > r.limits.MaxHead {
		return 0, refuseMalformed
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil {
		return 0, refuseMalformed
	}
	return int(size), nil
}

// data moves the data of a chunk to the data before it, and reads the line end behind it.
func (r *chunkReader) data(size int) error {
	for size > 0 {
		if r.read == len(r.in) {
			if err := r.more(); err != nil {
				return err
			}
		}
		n := copy(r.in[r.write:], r.in[r.read:min(len(r.in), r.read+size)])
		r.write, r.read, size = r.write+n, r.read+n, size-n
	}
	line, err := r.line(len("\r\n"), refuseMalformed)
	if err == nil && len(line) > 0 {
		err = refuseMalformed
	}
	return err
}

// trailers discards the trailers.
func (r *chunkReader) trailers() error {
	for left := r.limits.MaxHead; ; {
		line, err := r.line(left, refuseHead)
		if err != nil || len(line) == 0 {
			return err
		}
		left -= len(line) + len("\r\n")
	}
}

// line reads a line of at most the given length, with its end, and returns it without. The result
// is valid until more bytes are received.
func (r *chunkReader) line(limit int, tooLong *refusal) ([]byte, error) {
	for searched := 0; ; {
		rest := r.in[r.read:]
		if i := bytes.IndexByte(rest[searched:], '\n'); i >= 0 {
			n := searched + i
			if n >= limit {
				return nil, tooLong
			}
			r.read += n + 1
			return bytes.TrimSuffix(rest[:n], []byte{'\r'}), nil
		}
		if searched = len(rest); searched >= limit {
			return nil, tooLong
		}
		if err := r.more(); err != nil {
			return nil, err
		}
	}
}

// more receives more bytes. If there is no space for them, it first discards what is decoded.
func (r *chunkReader) more() error {
	if len(r.in) == cap(r.in) && r.read > r.write {
		n := copy(r.in[r.write:], r.in[r.read:])
		r.in, r.read = r.in[:r.write+n], r.write
	}
	return r.fill()
}
