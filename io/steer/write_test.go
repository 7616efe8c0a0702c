package steer

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/plan"
	"gypsumcrank/io/store"
)

// failingStore is a store whose writes fail; it answers no other call.
type failingStore struct {
	store.TxnStore
	fail func(attempt int) error // nil once a write is stored
	n    int
}

func (s *failingStore) Commit(context.Context, store.Txn) (store.TxnResult, error) {
	s.n++
	if err := s.fail(s.n); err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{Committed: true, Rev: 12}, nil
}

func termOnStore(t *testing.T, clk clock.Clock, s store.TxnStore) (*term, *bytes.Buffer) {
	tm, _, _ := termOnSide(t, clk)
	var log bytes.Buffer
	tm.coord.Store, tm.coord.Log, tm.coord.OnJobEnd = s, slog.New(slog.NewTextHandler(&log, nil)), func(int64) {}
	return tm, &log
}

var aWrite = &plan.Write{Seq: 3, Records: []plan.Record{{ID: "a", Rev: 5, Value: make([]byte, 700)}}}

// Guards against a write that is repeated without end although the store rejects it, and against a log that
// doesn't tell that from a store that is silent.
func TestARejectedWriteIsReportedToThePlanner(t *testing.T) {
	c := qt.New(t)
	rejected := fault.New(fault.Rejected, "", "status 400").WithOutcome(fault.NotRun)
	tm, log := termOnStore(t, clock.Manual(1_000_000), &failingStore{fail: func(int) error { return rejected }})
	c.Check(tm.write(aWrite)(context.Background()), qt.Equals, plan.RejectedMsg{Seq: 3, Reason: "status 400"})
	c.Check(log.String(), qt.Contains, "msg=progress_write_rejected epoch=7 seq=3 records=1 bytes=700")
}

// A planner that can't know whether an earlier attempt was applied leaves it to its successor to find out.
func TestARejectionInDoubtEndsTheTerm(t *testing.T) {
	tm, _ := termOnStore(t, clock.Manual(1_000_000), &failingStore{fail: func(attempt int) error {
		if attempt == 1 {
			return errors.New("no answer")
		}
		return fault.New(fault.Rejected, "", "status 400").WithOutcome(fault.NotRun)
	}})
	_, lost := tm.write(aWrite)(context.Background()).(lostMsg)
	qt.Check(t, lost, qt.IsTrue)
}

// The log says since when a write has waited, how large it is and what fails.
func TestALateWriteIsLogged(t *testing.T) {
	c, clk := qt.New(t), clock.Manual(1_000_000)
	tm, log := termOnStore(t, clk, &failingStore{fail: func(attempt int) error {
		clk.Advance(600)
		if attempt < 4 {
			return fault.New(fault.StoreUnavailable, "", "no response").WithOutcome(fault.Unknown)
		}
		return nil
	}})
	c.Check(tm.write(aWrite)(context.Background()), qt.Equals, plan.WrittenMsg{Seq: 3, Rev: 12})
	c.Check(log.String(), qt.Contains, "msg=progress_write_late epoch=7 seq=3 job=a records=1 bytes=700 waited=1.2s attempts=2")
	c.Check(bytes.Count(log.Bytes(), []byte("progress_write_late")), qt.Equals, 1)
	c.Check(log.String(), qt.Contains, "msg=progress_write_stored epoch=7 seq=3 job=a records=1 bytes=700 waited=2.4s")
}
