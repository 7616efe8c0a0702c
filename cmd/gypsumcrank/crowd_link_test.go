package main

import (
	"encoding/binary"
	"errors"
	"strings"

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
	const (
		clients   = 96
		fullFrame = 4 << 20 // the longest that a peer accepts
	)
	hello := frameOf(link.Frame{Hello: &link.Hello{Node: "side-y"}})
	// Lists of empty maps, which take one byte each on the wire: a call of the operation "none" whose
	// transaction puts them, and a report that names them as running.
	maps := "\x9a\x00\x01\x00\x00" + strings.Repeat("\xa0", 1<<16)
	callList := "\xa1\x08\xa3\x01\x01\x02\x64none\x06\xa1\x63Put" + maps
	reportList := "\xa1\x03\xa2\x01\x66side-y\x0d" + maps
	call := frameOf(link.Frame{Call: &link.Call{ID: 1, Op: link.OpList, Key: "op/"}})
	poll := frameOf(link.Frame{Call: &link.Call{ID: 1, Op: link.OpPoll, Key: "none/", Wait: clock.Minute}})
	return []crowd{
		{name: "frame_short", clients: clients, behave: func(c *crowdClient) { _ = c.send(frameHead(fullFrame)) && c.repeat("a", fullFrame-crowdLine) }},
		{name: "frame_only_announced", clients: clients, behave: func(c *crowdClient) { c.send(frameHead(fullFrame)) }},
		{name: "frame_over_limit", clients: clients, rounds: 2, behave: func(c *crowdClient) { _ = c.send(frameHead(1<<31)) && c.repeat("a", crowdFar) }},
		{name: "frame_short_after_hello", clients: clients, behave: func(c *crowdClient) {
			_ = c.send(hello) && c.send(frameHead(fullFrame)) && c.repeat("a", fullFrame-crowdLine)
		}},
		{name: "frame_short_after_call", clients: clients, behave: func(c *crowdClient) {
			_ = c.send(call) && c.send(frameHead(fullFrame)) && c.repeat("a", fullFrame-crowdLine)
		}},
		{name: "no_frames", clients: clients, rounds: 2, behave: func(c *crowdClient) { c.repeat("GET / HTTP/1.1\r\n\r\n", crowdFar) }},
		{name: "empty_frames", clients: clients, rounds: 2, behave: func(c *crowdClient) { c.repeat(frameHead(0), crowdShort) }},
		{name: "calls_of_many_elements", clients: 16, rounds: 2, behave: func(c *crowdClient) { c.repeat(frameHead(len(callList))+callList, crowdFar) }},
		{name: "reports_of_many_elements", clients: 16, rounds: 2, behave: func(c *crowdClient) { _ = c.send(hello) && c.repeat(frameHead(len(reportList))+reportList, crowdFar) }},
		{name: "hellos", clients: clients, behave: func(c *crowdClient) { c.repeat(hello, crowdShort) }},
		{name: "unread_replies", clients: 16, behave: func(c *crowdClient) { c.repeat(call, 64<<10) }},
		{name: "polls", clients: 16, behave: func(c *crowdClient) { c.repeat(poll, 64<<10) }},
		{name: "slow_frame", clients: clients, behave: func(c *crowdClient) { _ = c.send(frameHead(fullFrame)) && c.trickle(strings.Repeat("a", 8<<10)) }},
		{name: "reset_in_frame", clients: clients, rounds: 10, behave: func(c *crowdClient) {
			_ = c.send(frameHead(fullFrame)) && c.repeat("a", fullFrame/8)
			c.resetOnClose()
		}},
		{name: "silent", clients: 3 * crowdMaxSockets, behave: func(*crowdClient) {}},
		{name: "silent_after_hello", clients: 3 * crowdMaxSockets, behave: func(c *crowdClient) { c.send(hello) }},
	}
}
