// Package link carries messages between the planner, the sides and the other
// fronts over plain TCP connections: CBOR values behind a four-byte length.
//
// The hosts of the users' platform have no key material, so there is no TLS
// here; protecting the network between the hosts is up to the platform.
package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/plan"
	"gypsumcrank/io/guard"
	"gypsumcrank/io/meter"
)

// Limits of a connection.
const (
	maxFrame  = 4 << 20 // bytes; a report of some thousand tasks fits
	baseFrame = 4 << 10 // bytes; most frames fit, and each connection has space for one
	// maxQueued is how many frames may wait for a slow peer: more than the orders for all tasks of
	// several of the largest jobs.
	maxQueued    = 16 << 10
	writeTimeout = 2 * time.Second
)

// Limits of the lists in a frame of an accepted connection. Decoded they may take far more memory
// than on the wire.
const (
	// maxListed is the maximum length of a list: no worker has more tasks.
	maxListed = 16 << 10
	// listedSize is the minimum size on the wire of an element, in bytes; all have at least a name.
	listedSize = 8
	// listedMemory is what such a list takes in memory, at most, per byte on the wire.
	listedMemory = 10
	// maxListedMemory is what all lists of a frame take in memory at most, in bytes.
	maxListedMemory = 4 << 20
)

// FrameMemory returns how many bytes the largest frame of an accepted connection takes at most while
// it is received, and while it is handled.
func FrameMemory() (receiving, handling int64) { return maxFrame, int64(decodedMemory(maxFrame)) }

// decodedMemory returns the memory that a frame of the given size takes at most once it is decoded.
func decodedMemory(size int) int { return min(listedMemory*size, size+maxListedMemory) }

// acceptedFrames decodes the frames of accepted connections.
var acceptedFrames = mustDecMode(cbor.DecOptions{MaxArrayElements: maxListed, MaxMapPairs: maxListed})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Hello opens a side's connection.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	// QueryOnly means that the side only asks who the planner is.
	QueryOnly bool `cbor:"2,keyasint,omitempty"`
}

// Welcome is the reply to a Hello: the planner and the known fronts.
type Welcome struct {
	Planner bool     `cbor:"1,keyasint,omitempty"` // the sender is the planner
	Epoch   int64    `cbor:"2,keyasint,omitempty"`
	Addr    string   `cbor:"3,keyasint,omitempty"`
	Fronts  []string `cbor:"4,keyasint,omitempty"`
}

// Frame is one message; exactly one field is set.
type Frame struct {
	Hello   *Hello          `cbor:"1,keyasint,omitempty"`
	Welcome *Welcome        `cbor:"2,keyasint,omitempty"`
	Report  *plan.ReportMsg `cbor:"3,keyasint,omitempty"`
	Result  *plan.ResultMsg `cbor:"4,keyasint,omitempty"`
	Grant   *plan.Grant     `cbor:"5,keyasint,omitempty"`
	Order   *plan.Order     `cbor:"6,keyasint,omitempty"`
	// LeaseInDoubt says that the planner's lease may have expired and another
	// planner may have been elected.
	LeaseInDoubt bool   `cbor:"7,keyasint,omitempty"`
	Call         *Call  `cbor:"8,keyasint,omitempty"`
	Reply        *Reply `cbor:"9,keyasint,omitempty"`
	// WrittenRev is a store revision at which something was written that the
	// receiver should read.
	WrittenRev int64 `cbor:"10,keyasint,omitempty"`
	// Forecast is what the planner tells the fronts about the work that waits.
	Forecast *admit.Forecast `cbor:"12,keyasint,omitempty"`
	// LeaseCertain says that the planner's lease is no longer in doubt.
	LeaseCertain bool `cbor:"13,keyasint,omitempty"`
}

// Conn sends and receives frames. Send never blocks.
type Conn struct {
	raw      net.Conn
	accepted *guard.Conn // raw if it was accepted, or nil
	in       *bufio.Reader
	wake     chan struct{} // has a value if frames may wait
	once     sync.Once
	sent     atomic.Int64 // when Send was last called, in milliseconds of the monotonic clock
	heard    atomic.Int64 // when the last frame was received, or the connection made
	done     chan struct{}

	heavy bool // the last frame takes more memory than each connection has

	mu     sync.Mutex
	queued []outgoing // that run has not taken yet
	ended  bool       // nothing is sent any more
}

// outgoing is a frame to be sent.
type outgoing struct {
	frame Frame
	done  func() // called when the frame is sent, or never will be; may be nil
}

// New wraps a connection and starts its writer.
func New(raw net.Conn) *Conn {
	accepted, _ := raw.(*guard.Conn)
	c := &Conn{raw: raw, accepted: accepted, in: bufio.NewReader(raw), wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.heard.Store(int64(clock.System().Monotonic()))
	go c.run()
	return c
}

// Dial opens a connection to another process.
func Dial(addr string, timeout clock.Millis) (*Conn, error) {
	d := net.Dialer{Timeout: timeout.Duration(), KeepAlive: 5 * time.Second}
	raw, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(raw), nil
}

// maxAddrLen is the length of the longest address that is passed on.
const maxAddrLen = 255

// CheckAddr returns an error unless addr is a host and a port that can be dialled.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil || host == "" || port == "0" || len(addr) > maxAddrLen {
		return fault.New(fault.Invalid, "give an address as host:port", "%.64q is not an address", addr)
	}
	return nil
}

// Send queues a frame. If a slow peer has let the queue fill, the connection is
// closed.
func (c *Conn) Send(f Frame) { c.SendThen(f, nil) }

// SendThen queues a frame like Send, and calls done when it is sent or never will be.
func (c *Conn) SendThen(f Frame, done func()) {
	c.sent.Store(int64(clock.System().Monotonic()))
	c.mu.Lock()
	ended := c.ended
	full := len(c.queued) >= maxQueued
	if !ended && !full {
		c.queued = append(c.queued, outgoing{f, done})
	}
	c.mu.Unlock()
	if full {
		c.Close()
	}
	if (ended || full) && done != nil {
		done()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SinceSend returns how long ago Send was last called.
func (c *Conn) SinceSend() clock.Millis {
	return clock.System().Monotonic() - clock.Millis(c.sent.Load())
}

// SinceReceive returns how long ago the last frame was received, or the connection made.
func (c *Conn) SinceReceive() clock.Millis {
	return clock.System().Monotonic() - clock.Millis(c.heard.Load())
}

// Receive waits for the next frame, at most for the given time.
func (c *Conn) Receive(wait clock.Millis) (Frame, error) {
	var f Frame
	if c.accepted != nil {
		c.accepted.AwaitClient()
	}
	if err := c.hold(0); err != nil {
		return f, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(wait.Duration())); err != nil {
		return f, err
	}
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return f, c.refuse("too_large", fault.New(fault.TooLarge, "check that both processes run the same version", "frame of %d bytes is over the limit", n))
	}
	body, err := c.receiveBody(int(n))
	if err != nil {
		return f, err
	}
	c.heard.Store(int64(clock.System().Monotonic()))
	if c.accepted == nil {
		return f, cbor.Unmarshal(body, &f)
	}
	if c.heavy = len(body) > baseFrame; c.heavy {
		if err := c.accepted.Serve(decodedMemory(len(body))); err != nil {
			return f, c.refuse("busy", err)
		}
	}
	if err := decodeAccepted(body, &f); err != nil {
		return f, c.refuse("malformed", err)
	}
	return f, nil
}

// receiveBody receives the body of a frame. It takes memory for what has come, not for what was
// announced.
func (c *Conn) receiveBody(n int) ([]byte, error) {
	body := make([]byte, min(n, baseFrame))
	for received := 0; ; {
		if _, err := io.ReadFull(c.in, body[received:]); err != nil {
			return nil, err
		}
		if received = len(body); received == n {
			return body, nil
		}
		larger := min(n, 2*received)
		if err := c.hold(larger); err != nil {
			return nil, c.refuse("busy", err)
		}
		body = append(make([]byte, 0, larger), body...)[:larger]
	}
}

// refuse counts and logs that a frame of an accepted connection is refused because of err, which it
// returns.
func (c *Conn) refuse(reason string, err error) error {
	if c.accepted != nil {
		meter.Count("frames_refused", 1, reason)
		c.accepted.Warn("frame_refused", "reason", reason, "error", err)
	}
	return err
}

// hold accounts for the memory that a frame takes, if the connection was accepted.
func (c *Conn) hold(bytes int) error {
	if c.accepted == nil {
		return nil
	}
	return c.accepted.Hold(max(0, bytes-baseFrame))
}

// decodeAccepted decodes a frame of an accepted connection.
func decodeAccepted(body []byte, f *Frame) error {
	if err := acceptedFrames.Unmarshal(body, f); err != nil {
		return err
	}
	if f.listed()*listedSize > len(body) {
		return fault.New(fault.Invalid, "check that both processes run the same version", "frame of %d bytes lists %d elements", len(body), f.listed())
	}
	return nil
}

// listed returns the number of elements of all lists in a frame.
func (f *Frame) listed() int {
	n := 0
	if w := f.Welcome; w != nil {
		n += len(w.Fronts)
	}
	if r := f.Report; r != nil {
		n += len(r.Running) + len(r.Ended) + len(r.EarlierStarts)
		if r.Departure != nil {
			n += len(r.Departure.Unanswered)
		}
	}
	if c := f.Call; c != nil && c.Txn != nil {
		n += len(c.Txn.If) + len(c.Txn.Put) + len(c.Txn.Delete)
	}
	if r := f.Reply; r != nil {
		n += len(r.KVs) + len(r.Changes)
	}
	if p := f.Forecast; p != nil {
		n += len(p.Services)
	}
	return n
}

// Heavy reports whether the last frame takes much memory. A receiver that has done with it before
// it receives the next one keeps the memory of all connections within its limit.
func (c *Conn) Heavy() bool { return c.heavy }

// Close ends the connection; frames still queued are lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.raw.Close()
	})
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// take returns the frames that wait. After the last call nothing is queued any more.
func (c *Conn) take(last bool) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.queued
	c.queued, c.ended = nil, c.ended || last
	return out
}

func (c *Conn) run() {
	w := bufio.NewWriter(c.raw)
	for open := true; open; {
		select {
		case <-c.done:
			open = false
		case <-c.wake:
		}
		out := c.take(!open)
		for _, o := range out {
			if open && c.write(w, o.frame) != nil {
				c.Close()
				open = false
			}
			if o.done != nil {
				o.done()
			}
		}
		if open && w.Flush() != nil {
			c.Close()
		}
	}
	for _, o := range c.take(true) {
		if o.done != nil {
			o.done()
		}
	}
}

// write buffers one frame.
func (c *Conn) write(w *bufio.Writer, f Frame) error {
	body, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(body)))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}
