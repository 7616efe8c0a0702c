package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// crowdMeter samples what a process takes of its machine.
type crowdMeter struct {
	pid     int
	ports   map[uint64]bool // local ports of the process's listeners
	memory  int64           // most bytes of the process and its unread bytes
	unread  int64           // most bytes that were received and not read
	sockets int
	done    chan struct{}
	ended   chan struct{}
}

func startCrowdMeter(pid int, ports map[uint64]bool) *crowdMeter {
	// The peak resident size counts from here.
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0o600)
	m := &crowdMeter{pid: pid, ports: ports, done: make(chan struct{}), ended: make(chan struct{})}
	go m.run()
	return m
}

func (m *crowdMeter) run() {
	defer close(m.ended)
	for {
		began := time.Now()
		m.sample()
		select {
		case <-m.done:
			m.sample()
			return
		case <-time.After(max(crowdSampleInterval, 2*time.Since(began))): // it leaves processors to the others
		}
	}
}

func (m *crowdMeter) stop() {
	close(m.done)
	<-m.ended
}

// settle waits until the process has done what it does with the bytes that were sent: until it
// takes hardly any processor time.
func (m *crowdMeter) settle() {
	before := m.cpuTicks()
	for end := time.Now().Add(crowdSettleTimeout); time.Now().Before(end); {
		time.Sleep(crowdSettleInterval)
		now := m.cpuTicks()
		if now-before <= 1 {
			return
		}
		before = now
	}
}

// cpuTicks returns the processor time that the process has taken, in hundredths of a second.
func (m *crowdMeter) cpuTicks() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

func (m *crowdMeter) sample() {
	unread := m.unreadBytes()
	m.unread = max(m.unread, unread)
	m.memory = max(m.memory, m.statusBytes("VmRSS:")+unread, m.statusBytes("VmHWM:"))
	m.sockets = max(m.sockets, m.openSockets())
}

// statusBytes returns a size from the status of the process.
func (m *crowdMeter) statusBytes(field string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), field)
	kb, err := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// unreadBytes returns how many bytes wait in the kernel for the process to read them, also on
// connections that it has not accepted yet.
func (m *crowdMeter) unreadBytes() int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const stateListen = "0A"
	var sum int64
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		_, queue, _ := strings.Cut(f[4], ":")
		if p, err := strconv.ParseUint(port, 16, 16); err != nil || !m.ports[p] {
			continue
		}
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}

// openSockets returns how many sockets and pipes the process has open.
func (m *crowdMeter) openSockets() int {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.pid))
	if err != nil {
		return 0
	}
	n := 0
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && (strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:")) {
			n++
		}
	}
	return n
}
