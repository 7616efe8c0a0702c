package main

import (
	"fmt"
	"os"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/replay"
	"gypsumcrank/core/sched"
)

type replayCmd struct {
	Trace  string `arg:"" help:"File with the trace, JSON lines."`
	Policy string `enum:"product,first_fit" default:"product" help:"Policy: product or first_fit."`
}

// Run replays the trace and prints a report.
func (c *replayCmd) Run() error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return fault.New(fault.Invalid, "give the path of a readable file", "trace: %v", err)
	}
	defer f.Close()
	trace, err := replay.Read(f)
	if err != nil {
		return err
	}
	fmt.Println("policy", c.Policy)
	return replayWithPolicy(c.Policy, trace).Write(os.Stdout)
}

func replayWithPolicy(policy string, trace []replay.Event) replay.Report {
	if policy == "first_fit" {
		return (&replay.Runner[sched.FirstFit]{Trace: trace}).Run()
	}
	return (&replay.Runner[sched.Product]{Trace: trace}).Run()
}
