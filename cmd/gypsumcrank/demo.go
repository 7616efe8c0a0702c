package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"gypsumcrank/internal/demo"
)

type demoCmd struct {
	Verbose bool `help:"Print the log lines of all processes."`
}

// demoTimeout limits the whole demonstration.
const demoTimeout = 20 * time.Second

// Run starts the demonstration and prints its progress.
func (c *demoCmd) Run(log *slog.Logger) error {
	if !c.Verbose {
		log = slog.New(slog.DiscardHandler)
		slog.SetDefault(log)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fmt.Println("starting 2 entries, 6 agents with endpoints in 2 racks, and a store, on loopback")
	s, err := demo.Start(ctx, log)
	if err != nil {
		return err
	}
	defer s.Stop()
	return s.Show(ctx, os.Stdout)
}
