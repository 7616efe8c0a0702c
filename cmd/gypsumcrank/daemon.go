package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"regexp"
	"syscall"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/agent"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/entry"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type processFlags struct {
	Name       string        `required:"" help:"Name of this process, unique in the region."`
	HTTPListen string        `name:"http-listen" default:"127.0.0.1:8080" help:"IP and port for HTTP."`
	PeerListen string        `default:"127.0.0.1:7070" help:"IP and port for other processes of the system."`
	Advertise  string        `help:"IP and port that other processes connect to, if it differs from --peer-listen."`
	TLSCA      string        `name:"tls-ca" required:"" help:"Certificate of the certificate authority: PEM text, or a file."`
	TLSCert    string        `name:"tls-cert" required:"" help:"This process's certificate: PEM text, or a file."`
	TLSKey     string        `name:"tls-key" required:"" help:"This process's key: PEM text, or a file."`
	Grace      time.Duration `default:"30s" help:"Maximum time for a graceful shutdown."`
}

func (f processFlags) check() error {
	if !namePattern.MatchString(f.Name) {
		return fault.New(fault.Invalid, "use lower-case letters, digits and '-'", "--name %q is not a valid name", f.Name)
	}
	for flag, addr := range map[string]string{"http-listen": f.HTTPListen, "peer-listen": f.PeerListen, "advertise": f.Advertise} {
		if err := checkAddr(flag, addr); err != nil {
			return err
		}
	}
	if f.Grace <= 0 {
		return fault.New(fault.Invalid, "give a duration such as 30s", "--grace must be positive, got %s", f.Grace)
	}
	return nil
}

func checkAddr(flag, addr string) error {
	if addr == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return fault.New(fault.Invalid, "give an IP number and a port, such as 10.0.0.7:7070", "--%s is %q", flag, addr)
	}
	return nil
}

func checkAddrs(flag string, addrs []string) error {
	for _, a := range addrs {
		if err := checkAddr(flag, a); err != nil {
			return err
		}
	}
	return nil
}

func (f processFlags) bundle() (certs.Bundle, error) {
	return certs.Source{CA: f.TLSCA, Cert: f.TLSCert, Key: f.TLSKey}.Load()
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

type entryCmd struct {
	processFlags
	Region          string        `default:"main" help:"Region: selects the part of the platform's key space to use."`
	Store           string        `required:"" help:"URL of the platform's key-value service."`
	LeaveWait       time.Duration `default:"3s" help:"How long a stopping entry still accepts callers, so that the load balancer can notice that it is not ready."`
	Peers           []string      `help:"Peer addresses of other entries, to start from while the store is unavailable."`
	OperatorHash    string        `help:"Hash of the operators' token, as printed by 'keys token'."`
	ClaimsPerSecond int           `default:"50" help:"Maximum number of run-once requests that this entry accepts per second."`
}

// Run serves until SIGTERM.
func (c *entryCmd) Run(log *slog.Logger) error {
	if err := c.check(); err != nil {
		return err
	}
	if err := checkAddrs("peers", c.Peers); err != nil {
		return err
	}
	if c.LeaveWait < 0 || c.LeaveWait >= c.Grace {
		return fault.New(fault.Invalid, "give a duration that is less than --grace", "--leave-wait must be at least 0 and less than --grace, got %s", c.LeaveWait)
	}
	if !namePattern.MatchString(c.Region) || c.ClaimsPerSecond < 1 {
		return fault.New(fault.Invalid, "use lower-case letters, digits and '-' for the region, and a rate of at least 1", "--region %q or --claims-per-second %d is invalid", c.Region, c.ClaimsPerSecond)
	}
	ctx, stop := signalContext()
	defer stop()
	e := &entry.Entry{
		Name: c.Name, Region: c.Region, HTTPListen: c.HTTPListen, PeerListen: c.PeerListen, Advertise: c.Advertise,
		Peers: c.Peers, Store: entry.NewStore(c.Store), OperatorHash: c.OperatorHash, TLS: c.bundle,
		Grace: clock.FromDuration(c.Grace), LeaveWait: clock.FromDuration(c.LeaveWait), ClaimsPerSecond: c.ClaimsPerSecond, Log: log.With("process", c.Name),
	}
	return e.Run(ctx)
}

type agentCmd struct {
	processFlags
	Entries []string `required:"" help:"Peer addresses of one or more entries."`
}

// Run serves until SIGTERM.
func (c *agentCmd) Run(log *slog.Logger) error {
	if err := c.check(); err != nil {
		return err
	}
	if err := checkAddrs("entries", c.Entries); err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	a := &agent.Agent{
		Name: c.Name, PeerListen: c.PeerListen, Advertise: c.Advertise, HTTPListen: c.HTTPListen,
		Entries: c.Entries, TLS: c.bundle, Grace: clock.FromDuration(c.Grace), Log: log.With("process", c.Name),
	}
	return a.Run(ctx)
}
