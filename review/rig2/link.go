package main

import (
	"net"
	"sync"
	"time"
)

// link is the network link of one machine, with the same bandwidth in both directions.
type link struct {
	bytesPerSec float64

	mu   sync.Mutex
	free [2]time.Time // when each direction has passed on what it took
}

// direction is the direction in which bytes pass a link, as its machine sees it.
type direction int

const (
	up direction = iota
	down
)

// linkChunk is how much of one connection passes a link at a time.
const linkChunk = 4 << 10

// forwardTo forwards connections to a target over the link and returns the address to connect
// to. What the one who connects sends passes the link in the given direction.
func (l *link) forwardTo(target string, d direction) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go l.run(ln, target, d)
	return ln.Addr().String(), nil
}

func (l *link) run(ln net.Listener, target string, d direction) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", target)
		if err != nil {
			_ = c.Close()
			continue
		}
		// Small windows, as on the platform's links: what has not passed stays with the sender.
		_ = c.(*net.TCPConn).SetReadBuffer(4 * linkChunk)
		_ = t.(*net.TCPConn).SetReadBuffer(4 * linkChunk)
		go l.pass(t, c, d)
		go l.pass(c, t, 1-d)
	}
}

// pass passes on one direction of one connection.
func (l *link) pass(to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Until(l.take(n, d)))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// take returns when so many more bytes have passed the link.
func (l *link) take(n int, d direction) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free[d].Before(now) {
		l.free[d] = now
	}
	l.free[d] = l.free[d].Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	return l.free[d]
}
