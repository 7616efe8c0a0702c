// Package prog implements the command line of the stand-in program.
package prog

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"gypsumcrank/internal/standin/epfake"
	"gypsumcrank/internal/standin/kvfake"
)

type commands struct {
	Store    storeCmd    `cmd:"" help:"Run a stand-in for the platform's key-value service."`
	Endpoint endpointCmd `cmd:"" help:"Run a stand-in for an endpoint with its worker."`
	Link     linkCmd     `cmd:"" help:"Forward UDP packets, and drop them while the link is cut."`
}

// Main parses the command line and runs it.
func Main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for external systems, for tests."))
	ctx.FatalIfErrorf(ctx.Run())
}

type storeCmd struct {
	Listen string `default:"127.0.0.1:2379" help:"Address to serve at."`
}

// Run serves until the process is terminated.
func (c *storeCmd) Run() error {
	return http.ListenAndServe(c.Listen, (&kvfake.Store{}).Handler())
}

type endpointCmd struct {
	Listen       string `required:"" help:"Address to serve at."`
	Agent        string `required:"" help:"URL of the endpoint's agent."`
	Name         string `required:"" help:"Name of the endpoint."`
	Service      string `default:"studio" help:"Service that the endpoint announces."`
	Slots        int    `default:"8" help:"Number of concurrent requests."`
	Rack         string `default:"r1" help:"Rack of the worker."`
	DataCentre   string `default:"d1" help:"Data centre of the worker."`
	Accelerators int    `default:"8" help:"Accelerators of the worker."`
	WorkMS       int    `default:"5" help:"Run time of a request that sets none, in milliseconds."`
}

// Run serves until SIGTERM or an interrupt; the endpoint then announces that it
// leaves.
func (c *endpointCmd) Run() error {
	ep := &epfake.Endpoint{
		AgentURL: c.Agent, Slots: c.Slots, WorkMS: c.WorkMS,
		Announcement: map[string]any{
			"endpoint": c.Name, "url": "http://" + c.Listen, "service": c.Service, "slots": c.Slots,
			"worker": "worker-" + c.Name, "rack": c.Rack, "data_centre": c.DataCentre,
			"processors": 128, "memory_mb": 250000, "accelerators": c.Accelerators,
		},
	}
	handler := ep.Handler()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	srv := &http.Server{Addr: c.Listen, Handler: handler}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ep.Run(ctx)
		_ = srv.Shutdown(context.Background())
	}()
	fmt.Println("endpoint ready", c.Listen)
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ended
	return nil
}
