package main

import (
	"fmt"
	"io"
	"os"

	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
)

// readLogs reads and merges the log files of any processes; "-" is standard input.
func readLogs(paths []string) ([]event.Event, error) {
	var lines [][]event.Event
	for i, path := range paths {
		events, err := readLog(path)
		if err != nil {
			return nil, fault.New(fault.Invalid, "give files with log lines, or - for standard input", "%s: %v", path, err)
		}
		for j := range events {
			events[j].Seq += int64(i) << 32 // lines of different files can have the same number
		}
		lines = append(lines, events)
	}
	return event.Merge(lines...), nil
}

func readLog(path string) ([]event.Event, error) {
	if path == "-" {
		return event.ReadLogs(os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return event.ReadLogs(f)
}

// explain prints the events of one job, with times relative to the first, and a
// summary.
func explain(w io.Writer, job string, events []event.Event) error {
	jobEvents := event.Select(events, event.Query{Job: job})
	if len(jobEvents) == 0 {
		return fault.New(fault.NotFound, "give the logs of all fronts, including older ones", "the logs hold no events of job %s", job)
	}
	first := jobEvents[0].At
	for _, e := range jobEvents {
		if _, err := fmt.Fprintf(w, "%+9.3fs %-22s %-18s %s\n", (e.At - first).Duration().Seconds(), e.Process, e.Kind, e.Detail); err != nil {
			return err
		}
	}
	last := jobEvents[len(jobEvents)-1]
	_, err := fmt.Fprintf(w, "%d events in %s; last: %s\n", len(jobEvents), last.At-first, last.Kind)
	return err
}
