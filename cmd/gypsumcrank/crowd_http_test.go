package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gypsumcrank/platform"
)

// crowdRequests are the beginnings of an ordinary request with a body, by listener.
var crowdRequests = map[string]string{
	"callers":       "POST /q/00000000000000c1 HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer k1\r\nContent-Type: application/json\r\n",
	"control":       "POST /v1/executors/i-0/heartbeat HTTP/1.1\r\nHost: side\r\nContent-Type: application/json\r\n",
	"ready":         "POST " + platform.ReadyPath + " HTTP/1.1\r\nHost: front\r\n",
	"metrics":       "POST /metrics HTTP/1.1\r\nHost: side\r\n",
	"front_metrics": "POST /metrics HTTP/1.1\r\nHost: front\r\n",
}

// crowdQueries are whole ordinary requests without a body, by listener.
var crowdQueries = map[string]string{
	"callers":       "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer k1\r\n\r\n",
	"control":       "POST /v1/executors/x-none/deregister HTTP/1.1\r\nHost: side\r\nContent-Length: 2\r\n\r\n{}",
	"ready":         "GET " + platform.ReadyPath + " HTTP/1.1\r\nHost: front\r\n\r\n",
	"metrics":       "GET /metrics HTTP/1.1\r\nHost: side\r\n\r\n",
	"front_metrics": "GET /metrics HTTP/1.1\r\nHost: front\r\n\r\n",
}

func crowdListeners() []crowdListener {
	return []crowdListener{
		{"callers", "front-0", func(d *daemon) string { return d.addr }, askCaller, append(httpCrowds(), documentCrowd(crowdRequests["callers"], `{"task_spec":"x","steps":[`, `{},`, `{}]}`))},
		{"ready", "front-0", func(d *daemon) string { return d.ready }, askHTTP("ready"), httpCrowds()},
		{"control", "side-0", func(d *daemon) string { return d.addr }, askHTTP("control"), append(httpCrowds(), documentCrowd(crowdRequests["control"], `{"service":"svc","state":"ready","labels":[`, `"",`, `""]}`))},
		{"metrics", "side-0", func(d *daemon) string { return d.metrics }, askHTTP("metrics"), httpCrowds()},
		{"front_metrics", "front-0", func(d *daemon) string { return d.metrics }, askHTTP("front_metrics"), httpCrowds()},
		{"link", "front-0", func(d *daemon) string { return d.link }, askLink, linkCrowds()},
	}
}

// askCaller makes an ordinary request to a front, and submits an ordinary job: of 40 steps, 4 KB.
func askCaller(addr string) error {
	if err := askHTTP("callers")(addr); err != nil {
		return err
	}
	job := `{"task_spec":"x","steps":[` + strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900,"checkpointing":true,"affinity":"r1"},`, 40), ",") + `]}`
	request := strings.Replace(crowdRequests["callers"], "00000000000000c1", "00000000000000c0", 1)
	status, err := sendRaw(addr, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, len(job), job))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d to a job", status)
	}
	return err
}

// askHTTP returns a function that makes an ordinary request to a listener.
func askHTTP(listener string) func(addr string) error {
	return func(addr string) error {
		c, err := net.DialTimeout("tcp", addr, crowdTryTimeout)
		if err != nil {
			return err
		}
		defer c.Close()
		return query(c, listener)
	}
}

// query makes an ordinary request on a connection, and returns an error unless it is served.
func query(c net.Conn, listener string) error {
	_ = c.SetDeadline(time.Now().Add(crowdTryTimeout))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	if _, err := io.WriteString(c, crowdQueries[listener]); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Sizes of what the crowds send on one connection, in bytes.
const (
	crowdLine  = 1 << 10
	crowdFar   = 4 << 20       // far over every limit
	crowdShort = 1<<20 - 1<<10 // just within the limit of a body
)

// begin sends the beginning of a request. Every other client makes an ordinary request on the
// connection first, so that the connection has been kept alive.
func (c *crowdClient) begin(headers string) bool {
	if c.number%2 == 1 && query(c, c.listener) != nil {
		return false
	}
	return c.send(crowdRequests[c.listener] + headers)
}

// repeat sends text again and again until the given number of bytes is sent.
func (c *crowdClient) repeat(text string, bytes int) bool {
	block := strings.Repeat(text, max(1, min(bytes, 16<<10)/len(text)))
	for bytes > 0 {
		n := min(bytes, len(block))
		if !c.send(block[:n]) {
			return false
		}
		bytes -= n
	}
	return true
}

// trickle sends text byte by byte.
func (c *crowdClient) trickle(text string) bool {
	for i := range len(text) {
		if !c.send(text[i : i+1]) {
			return false
		}
	}
	return true
}

// httpCrowds returns the crowds that are played against each HTTP listener.
func httpCrowds() []crowd {
	line := "X-Filler: " + strings.Repeat("a", crowdLine-12) + "\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	large := fmt.Sprintf("%x\r\n", crowdShort)
	const clients = 96
	return []crowd{
		{name: "long_head", clients: clients, rounds: 2, behave: func(c *crowdClient) { _ = c.begin("") && c.repeat(line, crowdFar) && c.send("\r\n") }},
		{name: "endless_head", clients: clients, behave: func(c *crowdClient) { _ = c.begin("") && c.repeat(line, crowdFar) }},
		{name: "endless_head_line", clients: clients, behave: func(c *crowdClient) { _ = c.begin("X-Filler: ") && c.repeat("a", crowdFar) }},
		{name: "unfinished_head", clients: clients, behave: func(c *crowdClient) { _ = c.begin("") && c.repeat(line, crowdShort) }},
		{name: "endless_request_line", clients: clients, behave: func(c *crowdClient) { _ = c.send("GET /") && c.repeat("a", crowdFar) }},
		{name: "blank_lines", clients: clients, behave: func(c *crowdClient) { c.repeat("\r\n", crowdFar) }},
		{name: "blank_lines_kept_alive", clients: clients, behave: func(c *crowdClient) { _ = query(c, c.listener) == nil && c.repeat("\r\n", crowdFar) }},
		{name: "large_chunk_short", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+large) && c.repeat("a", crowdShort-crowdLine) }},
		{name: "large_chunks_endless", clients: clients, rounds: 2, behave: func(c *crowdClient) {
			_ = c.begin(chunked) && c.repeat("4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n", crowdFar)
		}},
		{name: "tiny_chunks_short", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked) && c.repeat("1\r\na\r\n", crowdShort) }},
		{name: "tiny_chunks_endless", clients: clients, rounds: 2, behave: func(c *crowdClient) { _ = c.begin(chunked) && c.repeat("1\r\na\r\n", 2*crowdFar) }},
		{name: "huge_chunk_announced", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(chunked+"7fffffffffffff00\r\n") && c.repeat("a", crowdShort)
		}},
		{name: "endless_chunk_size", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked) && c.repeat("0", crowdFar) }},
		{name: "padded_chunk_size", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+"1") && c.repeat(" ", crowdFar) }},
		{name: "chunk_extensions", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(chunked) && c.repeat("1;"+strings.Repeat("x", crowdLine)+"\r\na\r\n", crowdFar)
		}},
		{name: "endless_chunk_extension", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+"1;") && c.repeat("x", crowdFar) }},
		{name: "endless_trailers", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+"1\r\na\r\n0\r\n") && c.repeat(line, crowdFar) }},
		{name: "unfinished_trailers", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+"1\r\na\r\n0\r\n") && c.repeat(line, crowdShort) }},
		{name: "body_short", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdShort)) && c.repeat("a", crowdShort-crowdLine)
		}},
		{name: "body_only_announced", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdShort)) && c.send("a")
		}},
		{name: "body_expected", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", crowdShort)) && c.repeat("a", crowdShort-crowdLine)
		}},
		{name: "far_body_announced", clients: clients, rounds: 2, behave: func(c *crowdClient) { _ = c.begin("Content-Length: 1073741824\r\n\r\n") && c.repeat("a", crowdFar) }},
		{name: "far_body_sent", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*crowdFar)) && c.repeat("a", 4*crowdFar)
		}},
		{name: "form_of_a_large_file", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n", crowdShort)) &&
				c.send("--b\r\nContent-Disposition: form-data; name=\"f\"; filename=\"f\"\r\n\r\n") && c.repeat("a", crowdShort-crowdLine)
		}},
		{name: "form_of_many_parts", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n", crowdShort)) &&
				c.repeat("--b\r\nContent-Disposition: form-data; name=\"f\"\r\n\r\na\r\n", crowdShort-crowdLine)
		}},
		{name: "bytes_behind_a_request", clients: clients, behave: func(c *crowdClient) {
			// What follows a whole request waits until that one is answered.
			_ = c.begin("Content-Length: 1\r\n\r\na") && c.repeat("a", crowdFar)
		}},
		{name: "unread_answers", clients: clients, behave: func(c *crowdClient) { c.repeat(crowdQueries[c.listener], crowdShort) }},
		{name: "slow_head", clients: clients, behave: func(c *crowdClient) { _ = c.begin("") && c.trickle(strings.Repeat(line, 8)) }},
		{name: "slow_body", clients: clients, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdShort)) && c.trickle(strings.Repeat("a", 8<<10))
		}},
		{name: "slow_chunks", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked) && c.trickle(strings.Repeat("1\r\na\r\n", 1<<10)) }},
		{name: "slow_trailers", clients: clients, behave: func(c *crowdClient) { _ = c.begin(chunked+"0\r\n") && c.trickle(strings.Repeat("a: b\r\n", 1<<10)) }},
		{name: "reset_in_head", clients: clients, rounds: 10, behave: func(c *crowdClient) { _ = c.begin("") && c.repeat(line, 64<<10); c.resetOnClose() }},
		{name: "reset_in_body", clients: clients, rounds: 10, behave: func(c *crowdClient) {
			_ = c.begin(fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdShort)) && c.repeat("a", crowdShort/4)
			c.resetOnClose()
		}},
		{name: "reset_before_answer", clients: clients, rounds: 10, behave: func(c *crowdClient) { _ = c.send(crowdQueries[c.listener]); c.resetOnClose() }},
		{name: "many_fields_kept_alive", clients: clients, behave: func(c *crowdClient) { c.sendFields(crowdShort) }},
		{name: "fields_kept_alive", clients: clients, behave: func(c *crowdClient) { c.sendFields(15 << 10) }},
		{name: "long_heads_kept_alive", clients: clients, behave: func(c *crowdClient) {
			if c.begin("") && c.repeat(line, 14<<10) && c.send("Content-Length: 1\r\n\r\na") {
				_, _ = c.awaitAnswer()
			}
		}},
		{name: "silent", clients: 3 * crowdMaxSockets, behave: func(*crowdClient) {}},
		{name: "silent_kept_alive", clients: 3 * crowdMaxSockets, behave: func(c *crowdClient) { _ = query(c, c.listener) }},
	}
}

// sendFields sends a request with many short fields of the given size together, and keeps the
// connection open when it is answered.
func (c *crowdClient) sendFields(size int) {
	if c.begin("") && c.repeat("a:b\r\n", size) && c.send("Content-Length: 1\r\n\r\na") {
		_, _ = c.awaitAnswer()
	}
}

// awaitAnswer reads the response to a request.
func (c *crowdClient) awaitAnswer() (status int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(crowdTryTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// resetOnClose makes the end of the connection a reset.
func (c *crowdClient) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// documentCrowd returns a crowd that sends whole bodies within the limit, whose elements take far
// more memory when they are decoded than on the wire.
func documentCrowd(request, before, element, after string) crowd {
	n := (crowdShort - len(before) - len(after)) / len(element)
	body := before + strings.Repeat(element, n) + after
	return crowd{name: "document_of_many_elements", clients: 16, rounds: 4, behave: func(c *crowdClient) {
		if c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, len(body), body)) {
			_, _ = c.awaitAnswer()
		}
	}}
}
