package guard

import (
	"container/list"
	"net"

	"gypsumcrank/io/meter"
)

// Conn is an accepted connection. Its owner tells with AwaitClient and Serve whether it waits for
// its client; while it does, it may be closed in favour of others.
type Conn struct {
	net.Conn
	listener *Listener

	// These are guarded by the guard's lock.
	waits        bool          // for its client
	turn         int64         // orders connections by when they began to wait
	waitingPlace *list.Element // in the listener's waiting, or nil
	dropped      bool
	closed       bool
}

// AwaitClient says that from now on the connection waits for its client: for a request, for the
// rest of one, or for an answer to be taken.
func (c *Conn) AwaitClient() {
	c.listener.lock()
	defer c.listener.unlock()
	c.waits = true
	c.listener.Guard.turns++
	c.turn = c.listener.Guard.turns
	if c.waitingPlace != nil {
		c.listener.waiting.MoveToBack(c.waitingPlace)
	}
	c.order()
	c.listener.changed.Signal()
}

// Serve says that the client is waiting for an answer.
func (c *Conn) Serve() {
	c.listener.lock()
	defer c.listener.unlock()
	c.waits = false
	c.order()
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.lock()
	defer c.listener.unlock()
	if c.closed {
		return err
	}
	if c.dropped {
		c.listener.dropped--
	}
	c.closed = true
	c.order()
	c.listener.open--
	c.listener.changed.Signal()
	return err
}

// Dropped reports whether the connection was closed in favour of others.
func (c *Conn) Dropped() bool {
	c.listener.lock()
	defer c.listener.unlock()
	return c.dropped
}

// Warn logs an event of the connection. One line stands for all such events at its listener in some
// seconds.
func (c *Conn) Warn(event string, args ...any) {
	c.listener.Guard.warn(event, c.listener.Name, append(args, "remote", c.RemoteAddr())...)
}

// drop closes the connection under its owner, who then sees that it is closed. Call it with the
// lock held.
func (c *Conn) drop(cause string, args ...any) {
	l := c.listener
	meter.Count("connections_dropped", 1, l.Name, cause)
	l.Guard.warnLocked("connection_dropped", l.Name, append(args, "cause", cause, "remote", c.RemoteAddr())...)
	c.dropped = true
	l.dropped++
	c.order()
	_ = c.Conn.Close()
}

// order puts the connection into the list in which it belongs, or takes it out. Call it with the
// lock held.
func (c *Conn) order() {
	c.waitingPlace = place(&c.listener.waiting, c.waitingPlace, c, c.waits && !c.dropped && !c.closed)
}

// place appends c to a list, if it belongs there and is not there yet, or removes it.
func place(l *list.List, at *list.Element, c *Conn, belongs bool) *list.Element {
	if belongs == (at != nil) {
		return at
	}
	if belongs {
		return l.PushBack(c)
	}
	l.Remove(at)
	return nil
}
