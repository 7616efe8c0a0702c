package front

import (
	"context"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/store"
)

// stored reports whether a stored job belongs to a caller.
func (f *Front) stored(caller route.Admission, kv store.KV) bool {
	j, err := task.DecodeJob(kv.Value)
	if err != nil {
		f.Log.Warn("stored_job_unreadable", "key", kv.Key, "revision", kv.Rev, "error", err)
		return false
	}
	return caller.Owns(j.Account, j.Queue)
}

// checkRepeat returns an error unless the job that the store holds under an ID belongs to the
// caller, who then has submitted it before.
func (f *Front) checkRepeat(ctx context.Context, caller route.Admission, id string) error {
	kv, ok, err := f.Store.Get(ctx, store.JobKey(id))
	if err != nil {
		return fault.Of(err).WithOutcome(fault.Unknown) // the stored job may be the caller's
	}
	if ok && !f.stored(caller, kv) {
		return f.refuseTaken(caller, id)
	}
	return nil
}

// refuseTaken refuses a job whose ID belongs to somebody else's.
func (f *Front) refuseTaken(caller route.Admission, id string) error {
	f.logDenied(caller, "submit", id)
	return fault.New(fault.Conflict, "submit the job under another id", "the id can't be used").WithOutcome(fault.NotRun)
}

// logDenied logs that a caller asked for a job of somebody else.
func (f *Front) logDenied(caller route.Admission, call, id string) {
	meter.Count("callers_denied", 1, call, caller.Account)
	f.Log.Warn("job_of_another_account", "call", call, "job", id, "queue", caller.Queue.Name, "account", caller.Account)
}
