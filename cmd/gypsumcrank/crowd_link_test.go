package main

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/link"
)

// askLink asks a front who the planner is, as a side does.
func askLink(addr string) error {
	c, err := link.Dial(addr, clock.FromDuration(crowdTryTimeout))
	if err != nil {
		return err
	}
	defer c.Close()
	c.Send(link.Frame{Hello: &link.Hello{Node: "side-x", QueryOnly: true}})
	f, err := c.Receive(clock.FromDuration(crowdTryTimeout))
	if err != nil {
		return err
	}
	if f.Welcome == nil {
		return errors.New("the front has not sent a welcome")
	}
	return nil
}

// frameOf returns a frame as it is sent.
func frameOf(v any) string {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return frameHead(len(body)) + string(body)
}

// frameHead returns what goes before a frame of the given size.
func frameHead(size int) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(size)))
}

// linkCrowds returns the crowds that are played against the listener for other processes of the
// system.
func linkCrowds() []crowd {
	const clients = 96
	hello := frameOf(link.Frame{Hello: &link.Hello{Node: "side-y"}})
	return []crowd{
		{"no_frames", clients, 2, func(c *crowdClient) { c.repeat("GET / HTTP/1.1\r\n\r\n", crowdFar) }},
		{"hellos", clients, 1, func(c *crowdClient) { c.repeat(hello, crowdShort) }},
		{"silent", 3 * crowdMaxSockets, 1, func(*crowdClient) {}},
		{"silent_after_hello", 3 * crowdMaxSockets, 1, func(c *crowdClient) { c.send(hello) }},
	}
}
