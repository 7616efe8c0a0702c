package guard

import (
	"container/list"
	"net"

	"gypsumcrank/core/clock"
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
	held         int64         // bytes of the guard's Receiving
	holdsSince   clock.Millis  // on the monotonic clock
	handling     int64         // bytes of the guard's Handling
	waitingPlace *list.Element // in the listener's waiting, or nil
	holdingPlace *list.Element // in the guard's holding, or nil
	dropped      bool
	closed       bool
}

// AwaitClient says that from now on the connection waits for its client: for a request, for the
// rest of one, or for an answer to be taken.
func (c *Conn) AwaitClient() {
	c.listener.lock()
	defer c.listener.unlock()
	c.setWaits(true)
	c.handle(0)
	c.listener.Guard.turns++
	c.turn = c.listener.Guard.turns
	if c.waitingPlace != nil {
		c.listener.waiting.MoveToBack(c.waitingPlace)
	}
	c.order()
	c.listener.changed.Signal()
}

// Serve says that the client waits for an answer from now on, and that its request takes the given
// number of bytes until AwaitClient is called. It may wait for memory. If there is none for too
// long, it returns a busy error.
func (c *Conn) Serve(bytes int) error {
	c.listener.lock()
	defer c.listener.unlock()
	c.setWaits(false)
	c.order()
	g, more := c.listener.Guard, int64(bytes)-c.handling
	if err := g.await(c, func() bool { return g.Handling <= 0 || g.handling+more <= g.Handling }); err != nil {
		return err
	}
	c.handle(int64(bytes))
	return nil
}

// Hold says that the connection holds the given number of bytes of a request from now on. It may wait
// for memory. If there is none for too long, it returns a busy error, and the connection holds what
// it held.
func (c *Conn) Hold(bytes int) error {
	c.listener.lock()
	defer c.listener.unlock()
	g, more := c.listener.Guard, int64(bytes)-c.held
	if more > 0 {
		if err := g.await(c, func() bool { return g.canHold(c, more) }); err != nil {
			return err
		}
	}
	if c.held == 0 {
		c.holdsSince = g.Clock.Monotonic()
	}
	c.addHeld(more)
	c.order()
	if more < 0 {
		g.freed.Broadcast()
	}
	return nil
}

// setWaits sets whether the connection waits for its client. Call it with the lock held.
func (c *Conn) setWaits(waits bool) {
	if held := c.held; c.waits != waits {
		c.addHeld(-held)
		c.waits = waits
		c.addHeld(held)
	}
}

// addHeld adds to the memory that the connection holds. Call it with the lock held.
func (c *Conn) addHeld(bytes int64) {
	g := c.listener.Guard
	c.held += bytes
	g.held += bytes
	if c.dropped {
		g.leaving += bytes
	}
	if !c.waits {
		g.whole += bytes
	}
}

// handle sets how many bytes the handling of the connection's request takes. Call it with the lock
// held.
func (c *Conn) handle(bytes int64) {
	g := c.listener.Guard
	g.handling += bytes - c.handling
	if bytes < c.handling {
		g.freed.Broadcast()
	}
	c.handling = bytes
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.lock()
	defer c.listener.unlock()
	if c.closed {
		return err
	}
	g := c.listener.Guard
	c.addHeld(-c.held)
	c.handle(0)
	if c.dropped {
		c.listener.dropped--
	}
	c.closed = true
	c.order()
	c.listener.open--
	c.listener.changed.Signal()
	g.freed.Broadcast()
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
	l.Guard.leaving += c.held
	c.order()
	l.Guard.freed.Broadcast() // the connection may wait for memory itself
	_ = c.Conn.Close()
}

// order puts the connection into the lists in which it belongs, and takes it out of the others.
// Call it with the lock held.
func (c *Conn) order() {
	open := !c.dropped && !c.closed
	c.waitingPlace = place(&c.listener.waiting, c.waitingPlace, c, open && c.waits)
	c.holdingPlace = place(&c.listener.Guard.holding, c.holdingPlace, c, open && c.waits && c.held > 0)
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
