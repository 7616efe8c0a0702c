package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The tests use ports below the ephemeral ports of the operating system, which
// outgoing connections get.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the offset from firstPort at which this test process looks next.
var nextPort atomic.Int64

// portSet holds the ports of one scenario. Each port is locked by a file, so that
// no other scenario, of this or of another test process, gets it until close.
type portSet struct {
	mu    sync.Mutex
	locks []*os.File
}

// take returns a loopback address that is free for TCP and UDP.
func (s *portSet) take() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		lock, err := lockPort(port)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			continue
		}
		if err != nil {
			return "", err
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !unused(addr) { // by a program that does not lock its ports
			lock.Close()
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.locks = append(s.locks, lock)
		return addr, nil
	}
	return "", fmt.Errorf("all ports from %d to %d are in use", firstPort, lastPort)
}

// takeAll returns n addresses like take.
func (s *portSet) takeAll(n int) ([]string, error) {
	var out []string
	for range n {
		addr, err := s.take()
		if err != nil {
			return nil, err
		}
		out = append(out, addr)
	}
	return out, nil
}

// close gives all ports back.
func (s *portSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lock := range s.locks {
		lock.Close()
	}
	s.locks = nil
}

// lockPort locks a port against all test processes of this user. The lock ends when
// the file is closed, also by the end of the process.
func lockPort(port int64) (*os.File, error) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("gypsumcrank-ports-%d", os.Getuid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, err
	}
	return lock, nil
}

// unused reports whether nothing listens at an address.
func unused(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}

// keepLogs copies the logs of a failed scenario to a directory that stays, and says
// where. Call it after the processes have ended.
func keepLogs(t testing.TB, dir string) {
	if !t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "gypsumcrank-"+filepath.Base(t.Name())+"-")
	if err != nil {
		t.Logf("logs are lost: %v", err)
		return
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, p := range paths {
		raw, err := os.ReadFile(p)
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, filepath.Base(p)), raw, 0o600)
		}
		if err != nil {
			t.Logf("log is lost: %v", err)
		}
	}
	t.Logf("logs of %d processes are kept in %s", len(paths), kept)
}

// Another scenario looks at the same ports, as in a second test process that
// happens to begin at the same one.
func TestNoTwoScenariosGetTheSamePort(t *testing.T) {
	var a, b portSet
	defer a.close()
	defer b.close()
	start := nextPort.Load()
	mine, err := a.takeAll(5)
	qt.Assert(t, err, qt.IsNil)
	nextPort.Store(start)
	theirs, err := b.takeAll(5)
	qt.Assert(t, err, qt.IsNil)
	for _, addr := range theirs {
		qt.Check(t, strings.Contains(strings.Join(mine, " "), addr), qt.IsFalse, qt.Commentf("%s was handed out twice", addr))
	}
	locks := a.locks
	a.close()
	for _, lock := range locks {
		qt.Check(t, lock.Close(), qt.ErrorIs, os.ErrClosed)
	}
}
