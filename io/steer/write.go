package steer

import (
	"context"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/store"
)

const (
	// writeLateAfter is how long a write takes before the log says that it has not been stored.
	writeLateAfter = clock.Second
	// writeLateInterval is how often that is logged again.
	writeLateInterval = 5 * clock.Second
)

// write stores progress records on the condition that the planner key is still
// this term's.
func (t *term) write(w *plan.Write) kern.Cmd {
	return func(ctx context.Context) kern.Msg {
		txn, size := t.transaction(w)
		late := lateWrite{term: t, write: w, size: size, began: t.coord.Clock.Monotonic()}
		writer := store.Writer{Store: t.coord.Store, OnFailure: late.log}
		res, err := writer.Commit(ctx, txn)
		if ctx.Err() != nil {
			return nil
		}
		if fault.Is(err, fault.Rejected) && fault.Of(err).Outcome == fault.NotRun {
			meter.Count("progress_writes", 1, "rejected")
			t.coord.Log.Warn("progress_write_rejected", "epoch", t.epoch, "seq", w.Seq, "records", len(w.Records), "bytes", size, "error", err)
			return plan.RejectedMsg{Seq: w.Seq, Reason: fault.Of(err).Detail}
		}
		if err != nil || !res.Committed {
			meter.Count("progress_writes", 1, "failed")
			t.coord.Log.Warn("progress_not_written", "epoch", t.epoch, "records", len(w.Records), "bytes", size, "error", err)
			return lostMsg{"a progress write failed or its conditions did not hold"}
		}
		meter.Count("progress_writes", 1, "stored")
		late.logStored()
		for _, r := range w.Records {
			if r.Ended {
				t.coord.OnJobEnd(res.Rev)
				break
			}
		}
		return plan.WrittenMsg{Seq: w.Seq, Rev: res.Rev}
	}
}

// transaction returns the transaction that stores a write, and how many bytes its values have.
func (t *term) transaction(w *plan.Write) (txn store.Txn, size int) {
	txn.If = append(txn.If, store.Condition{Key: store.PlannerKey, Rev: t.epoch})
	put := func(key string, value []byte) {
		size += len(value)
		txn.Put = append(txn.Put, store.Item{Key: key, Value: value})
	}
	for _, r := range w.Records {
		key := store.ProgressKey(r.ID)
		if r.Part > 0 {
			key = store.PartKey(r.ID, r.Part)
		}
		txn.If = append(txn.If, store.Condition{Key: key, Rev: r.Rev})
		switch {
		case r.Value != nil:
			put(key, r.Value)
		case r.Part > 0:
			txn.Delete = append(txn.Delete, key)
		default:
			txn.Delete = append(txn.Delete, key, store.CancelKey(r.ID), store.JobKey(r.ID))
		}
	}
	if w.Speeds != nil {
		put(store.SpeedsKey, w.Speeds)
	}
	return txn, size
}

// lateWrite logs that a write has not been stored for a while.
type lateWrite struct {
	term     *term
	write    *plan.Write
	size     int // bytes of its values
	began    clock.Millis
	loggedAt clock.Millis // 0 until it is logged
}

// log logs a failed attempt, if it is time to.
func (l *lateWrite) log(attempts int, err error) {
	now := l.term.coord.Clock.Monotonic()
	if now-l.began < writeLateAfter || l.loggedAt > 0 && now-l.loggedAt < writeLateInterval {
		return
	}
	l.loggedAt = now
	meter.Count("progress_writes", 1, "late")
	l.term.coord.Log.Warn("progress_write_late", l.attrs("attempts", attempts, "error", err)...)
}

// logStored logs that the write is stored at last.
func (l *lateWrite) logStored() {
	if l.loggedAt > 0 {
		l.term.coord.Log.Info("progress_write_stored", l.attrs()...)
	}
}

func (l *lateWrite) attrs(more ...any) []any {
	first := ""
	if len(l.write.Records) > 0 {
		first = l.write.Records[0].ID
	}
	waited := l.term.coord.Clock.Monotonic() - l.began
	return append([]any{"epoch", l.term.epoch, "seq", l.write.Seq, "job", first, "records", len(l.write.Records), "bytes", l.size, "waited", waited}, more...)
}
