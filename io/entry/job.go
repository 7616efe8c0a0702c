package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/life"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/store"
)

func (e *Entry) jobRoutes(h *httpd.Server) {
	h.Handle(http.MethodPost, "/v1/jobs", e.onSubmit)
	h.Handle(http.MethodGet, "/v1/jobs/:id", e.onJob)
	h.Handle(http.MethodGet, "/v1/jobs/:id/answer", e.onResponse)
	h.Handle(http.MethodGet, "/v1/jobs/:id/explain", e.onExplain)
	h.Handle(http.MethodDelete, "/v1/jobs/:id", e.onCancel)
}

// jobID derives a job's ID from its account and key, so that every call with
// the same two gets the same ID.
func jobID(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\n" + key))
	return account + "-" + hex.EncodeToString(sum[:6])
}

func (e *Entry) onSubmit(ctx context.Context, r *httpd.Request) {
	rec, err := e.submit(ctx, r)
	if err != nil {
		r.Problem(err)
		return
	}
	status := http.StatusAccepted
	if rec.State.Ended() {
		status = http.StatusOK
	}
	r.SetHeader("Location", "/v1/jobs/"+rec.ID)
	r.JSON(status, rec)
}

// submit accepts a job. Creating its record in the platform's store is the
// moment of acceptance, and a retry with the same key finds that record.
func (e *Entry) submit(ctx context.Context, r *httpd.Request) (spec.JobRecord, error) {
	team, account, limits, err := e.authenticate(r)
	if err != nil {
		return spec.JobRecord{}, err
	}
	var job spec.Job
	if err := r.ReadJSON(&job); err != nil {
		return spec.JobRecord{}, err
	}
	if err := job.Check(); err != nil {
		return spec.JobRecord{}, err
	}
	key, generated, err := readKey(r)
	if err != nil {
		return spec.JobRecord{}, err
	}
	now := e.Clock.Now()
	rec := spec.JobRecord{ID: jobID(account, key), Account: account, Nonce: nonce(), State: spec.Queued, QueuedAt: now, Reason: "accepted, not planned yet"}
	if rec.Spec, err = e.applyServiceDefaults(team, job); err != nil {
		return spec.JobRecord{}, err
	}
	if known, ok := e.mirroredJob(rec.ID); ok {
		return matchExisting(known, rec)
	}
	if err := e.admitJob(rec, limits); err != nil {
		return spec.JobRecord{}, err
	}
	return e.create(ctx, rec, generated)
}

// applyServiceDefaults completes a job from the settings of its service.
func (e *Entry) applyServiceDefaults(team string, job spec.Job) (spec.Job, error) {
	var owner string
	var svc conf.Service
	known := false
	e.withControl(func(c *control, _ clock.Millis) { owner, svc, known = c.doc.Tree.FindService(job.Service) })
	if !known || owner != team {
		return job, fault.New(fault.NotFound, "name a service of the client account's team", "team %s has no service %q", team, job.Service).WithOutcome(fault.NotRun)
	}
	if !svc.Idempotent {
		job.Idempotent = false
	}
	if job.Class == "" {
		job.Class = svc.Class
	}
	return job, nil
}

func matchExisting(known, rec spec.JobRecord) (spec.JobRecord, error) {
	a, _ := json.Marshal(known.Spec)
	b, _ := json.Marshal(rec.Spec)
	if string(a) != string(b) {
		return spec.JobRecord{}, fault.New(fault.Conflict, "use a new key for a new job", "the key was used for another job").WithOutcome(fault.NotRun)
	}
	return known, nil
}

func (e *Entry) mirroredJob(id string) (spec.JobRecord, bool) {
	var v jobView
	ok := false
	e.withControl(func(c *control, _ clock.Millis) { v, ok = c.jobs[id] })
	return v.rec, ok
}

// admitJob rejects a job that can never run, or whose account has too many open
// jobs.
func (e *Entry) admitJob(rec spec.JobRecord, limits conf.Account) error {
	err := stoppedFault()
	e.withControl(func(c *control, now clock.Millis) {
		open := 0
		for _, v := range c.jobs {
			if v.rec.Account == rec.Account && !v.rec.State.Ended() {
				open++
			}
		}
		if open >= limits.MaxJobs {
			err = fault.New(fault.Busy, "wait for jobs to end, cancel some, or ask the operator for a higher max_jobs", "%s has %d open jobs", rec.Account, open).
				WithOutcome(fault.NotRun).WithLacking("place among the open jobs").WithRetry(retry.Jitter(30 * clock.Second))
			return
		}
		err = c.checkFeasible(now, rec)
	})
	return err
}

// checkFeasible checks a job against the known workers, or against the
// configured fleet while fewer workers are known than configured.
func (c *control) checkFeasible(now clock.Millis, rec spec.JobRecord) error {
	state := c.schedState(now)
	if len(state.Workers) < c.doc.Tree.Fleet.Workers || len(state.Workers) == 0 {
		maxAccelerators := c.doc.Tree.Fleet.Accelerators
		if rec.Spec.Accelerators > maxAccelerators {
			return fault.New(fault.Infeasible, "ask for fewer accelerators per task", "a task of %d accelerators does not fit workers with %d", rec.Spec.Accelerators, maxAccelerators).
				WithOutcome(fault.NotRun).WithLacking("accelerators in one worker")
		}
		return nil
	}
	return sched.Feasible(sched.Waiting{ID: rec.ID, Account: rec.Account, Job: rec.Spec}, state)
}

func (e *Entry) create(ctx context.Context, rec spec.JobRecord, generated bool) (spec.JobRecord, error) {
	raw, err := json.Marshal(rec)
	if err != nil {
		return rec, err
	}
	res, err := store.PutWithReadBack(ctx, e.Store, store.Put{Key: e.keys().job(rec.ID), Value: raw}, func(kv store.KV) bool {
		var current spec.JobRecord
		return json.Unmarshal(kv.Value, &current) == nil && current.Nonce == rec.Nonce
	})
	if err != nil {
		// The record may exist or may still be written, and then the
		// job will run.
		return rec, fault.Of(err).WithOutcome(fault.Unknown).WithRetry(retry.Jitter(2 * clock.Second))
	}
	if !res.Applied {
		var known spec.JobRecord
		if err := json.Unmarshal(res.Current.Value, &known); err != nil {
			return rec, err
		}
		return matchExisting(known, rec)
	}
	e.events.Add(event.Event{Kind: "job_accepted", Account: rec.Account, Job: rec.ID, Detail: resourceSummary(rec.Spec)})
	return rec, nil
}

func resourceSummary(j spec.Job) string {
	text := fmt.Sprintf("%d x %d accelerators", j.Tasks, j.Accelerators)
	if j.Adjacent {
		text += ", adjacent"
	}
	return text
}

// findJob reads a job of the caller's account, from the mirror or the store.
func (e *Entry) findJob(ctx context.Context, r *httpd.Request) (spec.JobRecord, int64, error) {
	_, account, _, err := e.authenticate(r)
	if err != nil {
		return spec.JobRecord{}, 0, err
	}
	id := r.Param("id")
	missing := fault.New(fault.NotFound, "check the job's id; ended jobs are kept for a day", "%s has no job %q", account, id)
	if !strings.HasPrefix(id, account+"-") {
		return spec.JobRecord{}, 0, missing
	}
	var v jobView
	ok := false
	e.withControl(func(c *control, _ clock.Millis) { v, ok = c.jobs[id] })
	if !ok {
		kv, have, err := e.Store.Get(ctx, e.keys().job(id))
		if err != nil {
			return spec.JobRecord{}, 0, err
		}
		if !have || json.Unmarshal(kv.Value, &v.rec) != nil {
			return spec.JobRecord{}, 0, missing
		}
		v.rev = kv.Rev
	}
	if v.rec.Account != account {
		return spec.JobRecord{}, 0, missing
	}
	return v.rec, v.rev, nil
}

func (e *Entry) onJob(ctx context.Context, r *httpd.Request) {
	rec, _, err := e.findJob(ctx, r)
	if err != nil {
		r.Problem(err)
		return
	}
	r.JSON(http.StatusOK, struct {
		spec.JobRecord
		Outcome fault.Outcome `json:"outcome,omitempty"`
		Wait    string        `json:"waits_for,omitempty"`
	}{rec, rec.Outcome(), e.planner.waitReason(rec)})
}

// onResponse returns a finished job's response: that of its only task, or a
// JSON list of all tasks' responses by rank.
func (e *Entry) onResponse(ctx context.Context, r *httpd.Request) {
	rec, _, err := e.findJob(ctx, r)
	if err != nil {
		r.Problem(err)
		return
	}
	if rec.State != spec.Done {
		r.Problem(noResponseFault(rec))
		return
	}
	responses := make([][]byte, rec.Spec.Tasks)
	for rank := range responses {
		kv, have, err := e.Store.Get(ctx, e.keys().answer(responseName(rec, rank)))
		if err == nil && !have {
			err = fault.New(fault.NotFound, "responses are kept for a day", "the response of task %d is no longer kept", rank).WithOutcome(fault.Done)
		}
		if err != nil {
			r.Problem(err)
			return
		}
		responses[rank] = kv.Value
	}
	if len(responses) == 1 {
		r.Send(http.StatusOK, "application/octet-stream", responses[0])
		return
	}
	r.JSON(http.StatusOK, responses)
}

func responseName(rec spec.JobRecord, rank int) string {
	return fmt.Sprintf("%s/%d.%d", rec.ID, rec.Attempt, rank)
}

func noResponseFault(rec spec.JobRecord) error {
	if !rec.State.Ended() {
		return fault.New(fault.Busy, "retry after the given time", "the job is %s", rec.State).WithRetry(retry.Jitter(2 * clock.Second))
	}
	kind := fault.Failed
	if rec.State == spec.InDoubt {
		kind = fault.InDoubt
	}
	if rec.State == spec.Cancelled {
		kind = fault.Cancelled
	}
	remedy := rec.Remedy
	if remedy == "" {
		remedy = "see /explain of the job"
	}
	return fault.New(kind, remedy, "the job ended as %s: %s", rec.State, rec.Reason).WithOutcome(rec.Outcome())
}

// onCancel requests the cancellation of a job. A queued job is cancelled at
// once.
func (e *Entry) onCancel(ctx context.Context, r *httpd.Request) {
	for range maxSends {
		rec, rev, err := e.findJob(ctx, r)
		if err != nil {
			r.Problem(err)
			return
		}
		if rec.State.Ended() || rec.CancelRequested {
			r.JSON(http.StatusOK, rec)
			return
		}
		next := rec
		next.CancelRequested = true
		if next.State == spec.Queued {
			next.State, _ = life.Jobs.Next(next.State, life.Cancel)
			next.EndedAt = e.Clock.Now()
			next.Reason = "cancelled by the caller before it started"
		}
		applied, err := e.putJob(ctx, rev, next)
		if err != nil {
			r.Problem(fault.Of(err).WithOutcome(fault.Unknown))
			return
		}
		if applied {
			e.events.Add(event.Event{Kind: "job_cancel_asked", Account: rec.Account, Job: rec.ID})
			r.JSON(http.StatusAccepted, next)
			return
		}
		sleep(ctx, claimPollInterval.Duration())
	}
	r.Problem(fault.New(fault.Conflict, "retry", "the job's record keeps changing"))
}

// putJob writes a job's record if it is still at rev.
func (e *Entry) putJob(ctx context.Context, rev int64, rec spec.JobRecord) (bool, error) {
	rec.Nonce = nonce()
	raw, err := json.Marshal(rec)
	if err != nil {
		return false, err
	}
	res, err := store.PutWithReadBack(ctx, e.Store, store.Put{Key: e.keys().job(rec.ID), Value: raw, IfRev: rev}, func(kv store.KV) bool {
		var current spec.JobRecord
		return json.Unmarshal(kv.Value, &current) == nil && current.Nonce == rec.Nonce
	})
	if err != nil || !res.Exists {
		return false, err
	}
	e.withControl(func(c *control, _ clock.Millis) {
		c.applyJob(rec.ID, store.Change{KV: res.Current})
	})
	return res.Applied, nil
}

// expired reports whether an ended record is past its retention.
func expired(kv store.KV, prefix string, k keys, now clock.Millis) bool {
	var at clock.Millis
	switch prefix {
	case k.claims():
		var c spec.Claim
		if json.Unmarshal(kv.Value, &c) == nil && c.State != spec.Claimed {
			at = c.At
		}
	case k.jobs():
		var rec spec.JobRecord
		if json.Unmarshal(kv.Value, &rec) == nil && rec.State.Ended() {
			at = rec.EndedAt
		}
	}
	return at > 0 && now-at > recordRetention
}
