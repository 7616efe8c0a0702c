package main

import (
	"cmp"
	"log/slog"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"gypsumcrank/core/fault"
	"gypsumcrank/io/guard"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/link"
	"gypsumcrank/io/relay"
	"gypsumcrank/platform"
)

// clientFlags limit what the clients of a front or a side may take of its host. The zero value
// stands for the defaults.
type clientFlags struct {
	MaxConnections   int           `default:"${max_connections}" help:"Maximum number of open connections of each listener; it is lower on a host with few descriptors or little memory."`
	MaxHeadBytes     int           `default:"${max_head_bytes}" help:"Maximum size of the head of a request, in bytes."`
	MaxHeadFields    int           `default:"${max_head_fields}" help:"Maximum number of fields in the head of a request."`
	MaxPeerCalls     int           `default:"${max_peer_calls}" help:"Maximum number of calls to the store that are under way for one peer; twice as many may be for all."`
	StoreConnections int           `default:"0" help:"Maximum number of open connections to the store; 0 means a sixteenth of the host's descriptors."`
	ClientMemoryMB   int           `default:"0" help:"Memory that the requests of all clients may take together, in MB; 0 means an eighth of the host's memory."`
	MaxBodyBytes     int           `default:"${max_body_bytes}" help:"Maximum size of the body of a request, in bytes."`
	RequestTimeout   time.Duration `default:"${request_timeout}" help:"Maximum time from the first byte of a request to its last."`
	IdleTimeout      time.Duration `default:"${idle_timeout}" help:"Maximum time without a request on an open connection."`
}

// defaultConnections is the default of --max-connections.
const defaultConnections = 2048

// clientDefaults returns the defaults of the flags by name.
func clientDefaults() map[string]string {
	d := httpd.DefaultLimits()
	return map[string]string{
		"max_connections": strconv.Itoa(defaultConnections), "max_peer_calls": strconv.Itoa(relay.DefaultPeerCalls), "max_head_bytes": strconv.Itoa(d.MaxHead), "max_head_fields": strconv.Itoa(d.MaxFields), "max_body_bytes": strconv.Itoa(d.MaxBody),
		"request_timeout": d.RequestTimeout.String(), "idle_timeout": d.IdleTimeout.String(),
	}
}

// Smallest values of the flags: an ordinary request needs that much.
const (
	minConnections = 1
	minHeadBytes   = 1 << 10
	minHeadFields  = 16
	minBodyBytes   = 4 << 10
	minPeerCalls   = 16
	minTimeout     = time.Second
)

func (f clientFlags) check() error {
	for _, limit := range []struct {
		flag     string
		got, min int
	}{
		{"max-connections", f.MaxConnections, minConnections}, {"max-head-bytes", f.MaxHeadBytes, minHeadBytes}, {"client-memory-mb", f.ClientMemoryMB, 0}, {"store-connections", f.StoreConnections, 0}, {"max-peer-calls", f.MaxPeerCalls, minPeerCalls}, {"max-head-fields", f.MaxHeadFields, minHeadFields}, {"max-body-bytes", f.MaxBodyBytes, minBodyBytes},
	} {
		if limit.got < limit.min {
			return fault.New(fault.Invalid, "give a larger number, or leave it out", "--%s must be at least %d, got %d", limit.flag, limit.min, limit.got)
		}
	}
	for flag, got := range map[string]time.Duration{"request-timeout": f.RequestTimeout, "idle-timeout": f.IdleTimeout} {
		if got < minTimeout {
			return fault.New(fault.Invalid, "give a duration such as 30s", "--%s must be at least %s, got %s", flag, minTimeout, got)
		}
	}
	return nil
}

func (f clientFlags) requestLimits() httpd.Limits {
	return httpd.Limits{MaxHead: f.MaxHeadBytes, MaxFields: f.MaxHeadFields, MaxBody: f.MaxBodyBytes, IdleTimeout: f.IdleTimeout, RequestTimeout: f.RequestTimeout}
}

// Shares of a host that the listeners of a process may take for their connections. They leave
// descriptors to its own connections, and memory to all else.
const (
	// reservedFiles is how many of a host's descriptors are not for sockets.
	reservedFiles = 200
	// minSockets is what a process takes for granted on a host with fewer descriptors than that.
	minSockets = 32
	// connectionMemory is what an open connection takes of the process, besides its receive buffer.
	connectionMemory = 24 << 10
	// storeSocketShare is the part of a host's sockets that connections to the store may take.
	storeSocketShare = 1. / 16
	// minStoreConnections leaves some to calls that don't wait for changes.
	minStoreConnections = 8
	// maxProbeConnections limits listeners that only a few clients use.
	maxProbeConnections = 64
)

// listenerKind is a use of a listener.
type listenerKind struct {
	name          string
	socketShare   float64 // of the host's sockets
	memoryShare   float64 // of the host's memory
	receiveBuffer int     // bytes
	maxConns      int     // at most; 0 if only the flag says
}

// The listeners of fronts and sides.
var (
	callerListener  = listenerKind{name: "callers", socketShare: 1. / 2, memoryShare: 1. / 4, receiveBuffer: 32 << 10}
	controlListener = listenerKind{name: "control", socketShare: 1. / 2, memoryShare: 1. / 4, receiveBuffer: 32 << 10}
	linkListener    = listenerKind{name: "link", socketShare: 1. / 4, memoryShare: 1. / 4, receiveBuffer: 64 << 10}
	readyListener   = listenerKind{name: "ready", socketShare: 1. / 16, memoryShare: 1. / 32, receiveBuffer: 16 << 10, maxConns: maxProbeConnections}
	metricsListener = listenerKind{name: "metrics", socketShare: 1. / 16, memoryShare: 1. / 32, receiveBuffer: 16 << 10, maxConns: maxProbeConnections}
)

const (
	// clientMemoryShare is the part of a host's memory that the requests of clients may take.
	clientMemoryShare = 1. / 8
	// defaultClientMemoryMB is that memory on a host of unknown size, in MB.
	defaultClientMemoryMB = 64
)

// hostLimits derives what clients may take of a process from its flags and its host.
type hostLimits struct {
	flags    clientFlags
	settings platform.Settings
	guard    *guard.Guard
}

// newHostLimits returns the limits of a process.
func newHostLimits(flags clientFlags, settings platform.Settings, log *slog.Logger) hostLimits {
	memoryMB := cmp.Or(float64(flags.ClientMemoryMB), float64(settings.MemoryMB)*clientMemoryShare, defaultClientMemoryMB)
	half := int64(memoryMB * (1 << 20) / 2)
	// The largest request, and the largest frame of a peer, fit on any host.
	receiving, handling := flags.requestLimits().RequestMemory()
	frameReceiving, frameHandling := link.FrameMemory()
	return hostLimits{flags, settings, &guard.Guard{Receiving: max(half, receiving, frameReceiving), Handling: max(half, handling, frameHandling), Log: log}}
}

// listen returns a listener of a kind, which is not open yet.
func (l hostLimits) listen(k listenerKind, addr string) guard.Listener {
	n := cmp.Or(l.flags.MaxConnections, defaultConnections)
	if k.maxConns > 0 {
		n = min(n, k.maxConns)
	}
	if sockets := l.sockets(); sockets > 0 {
		n = min(n, int(float64(sockets)*k.socketShare))
	}
	if memory := l.settings.MemoryMB << 20; memory > 0 {
		n = min(n, int(float64(memory)*k.memoryShare)/(k.receiveBuffer+connectionMemory))
	}
	return guard.Listener{Name: k.name, Addr: addr, MaxConns: max(n, minConnections), ReceiveBuffer: k.receiveBuffer, Guard: l.guard}
}

// storeConnections returns how many connections to the store may be open at a time; 0 for no limit.
func (l hostLimits) storeConnections() int {
	if n := l.flags.StoreConnections; n > 0 {
		return max(minStoreConnections, n)
	}
	sockets := l.sockets()
	if sockets == 0 {
		return 0
	}
	return max(minStoreConnections, int(float64(sockets)*storeSocketShare))
}

// sockets returns how many sockets the process can open; 0 if that is not known.
func (l hostLimits) sockets() int {
	descriptors := l.settings.MaxFDs
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	if descriptors == 0 {
		return 0
	}
	return max(minSockets, descriptors-reservedFiles)
}
