package event

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReadLogsOrdersSeveralProcessesByTime(t *testing.T) {
	c := qt.New(t)
	logs := `  3.1 side-1 time=2026-01-01T00:00:02.500Z level=INFO msg=order process=side-1 kind=start task=j1.0.0.0 run=1 outcome=accepted reason=""
noise
time=2026-01-01T00:00:01Z level=INFO msg=job_accepted process=front-1 job=j1 account=acme revision=7
time=2026-01-01T00:00:02Z level=INFO msg=job_taken process=front-2 epoch=5 job=j1 detail="account=acme priority=0 [1 x 2acc]"
time=2026-01-01T00:00:03Z level=INFO msg=job_ended process=front-2 epoch=5 job=j2 detail="completed: all tasks done"
`
	events, err := ReadLogs(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	c.Assert(len(events), qt.Equals, 4)
	timeline := Select(events, Query{Job: "j1"})
	c.Assert(len(timeline), qt.Equals, 3)
	c.Check(timeline[0].Kind, qt.Equals, "job_accepted")
	c.Check(timeline[1].Detail, qt.Equals, "detail=account=acme priority=0 [1 x 2acc]")
	c.Check(timeline[2].Kind, qt.Equals, "order")
	c.Check(timeline[2].Process, qt.Equals, "side-1")
}
