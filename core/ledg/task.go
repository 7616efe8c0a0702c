package ledg

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// TaskKey identifies one attempt at one task of a job.
type TaskKey struct {
	Job     string
	Attempt int
	Rank    int
}

// ID returns the key as text, as it is used at the worker.
func (k TaskKey) ID() string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Attempt, k.Rank) }

// gangFenceID is the fence ID shared by all tasks of one attempt of a gang.
func (k TaskKey) gangFenceID() string { return fmt.Sprintf("%s.%d", k.Job, k.Attempt) }

// Task is a reservation and the state of the task that was started from it.
type Task struct {
	key        TaskKey
	account    string
	gang       int
	cell       spec.Cell
	state      proto.TaskState
	heldUntil  clock.Millis
	resolving  bool
	starting   bool
	confirmed  bool
	confirmBy  clock.Millis
	startedAt  clock.Millis
	endedAt    clock.Millis
	detail     string
	checkpoint string
	usedMB     int
}

// Key identifies the task and its attempt.
func (t *Task) Key() TaskKey { return t.key }

func (t *Task) State() proto.TaskState { return t.state }

// Checkpoint returns the checkpoint that was taken when the task was stopped.
func (t *Task) Checkpoint() string { return t.checkpoint }

// Cell returns the accelerators reserved for the task.
func (t *Task) Cell() spec.Cell { return t.cell }

func (t *Task) live() bool { return t.state == proto.TaskHeld || t.state == proto.TaskRunning }

func (t *Task) report() proto.Task {
	return proto.Task{
		Job: t.key.Job, Attempt: t.key.Attempt, Rank: t.key.Rank, Account: t.account,
		Cell: t.cell, State: t.state, Detail: t.detail, UsedMB: t.usedMB, Checkpoint: t.checkpoint,
	}
}

func (l *Ledger) sortedTasks() []TaskKey {
	keys := make([]TaskKey, 0, len(l.tasks))
	for k := range l.tasks {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].ID() < keys[j].ID() })
	return keys
}

// Find returns the task with the key.
func (l *Ledger) Find(key TaskKey) (*Task, bool) {
	t, ok := l.tasks[key]
	return t, ok
}

// Reserve holds a cell for a task until the task is started, stopped or
// resolved.
func (l *Ledger) Reserve(now clock.Millis, m proto.ReserveMsg) error {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return err
	}
	if err := l.checkFresh(now, m.IssuedAt, "reservation for "+m.Job); err != nil {
		return err
	}
	if err := l.checkEpoch(m.Epoch); err != nil {
		return err
	}
	key := TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}
	if _, ok := l.tasks[key]; ok {
		return nil
	}
	if l.fenced(key.gangFenceID()) {
		return fault.New(fault.Fenced, "plan the job again", "attempt %d of job %s was ended", m.Attempt, m.Job).WithOutcome(fault.NotRun)
	}
	if err := l.checkReady(); err != nil {
		return err
	}
	if err := l.checkCell(m.Cell); err != nil {
		return err
	}
	l.tasks[key] = &Task{key: key, account: m.Account, gang: m.Gang, cell: m.Cell, state: proto.TaskHeld, heldUntil: now + m.Hold}
	l.seq++
	return nil
}

func (l *Ledger) checkCell(c spec.Cell) error {
	aligned := c.Size > 0 && c.Size&(c.Size-1) == 0 && c.First >= 0 && c.First%c.Size == 0
	if !aligned || c.First+c.Size > max(l.worker.Accelerators, 1) {
		return fault.New(fault.Invalid, "plan with the sizes that the worker announced", "cell %d+%d is not a valid cell of worker %s", c.First, c.Size, l.worker.Worker).WithOutcome(fault.NotRun)
	}
	for _, t := range l.tasks {
		if t.live() && t.cell.Overlaps(c) {
			return fault.New(fault.Busy, "plan with a newer report", "cell %d+%d of %s is reserved for job %s", c.First, c.Size, l.agent, t.key.Job).WithOutcome(fault.NotRun).WithLacking("accelerators")
		}
	}
	return nil
}

// Start moves a reserved task to running. It returns false if the task was
// started before. Otherwise the caller starts the task at the worker and
// reports the result with Started.
func (l *Ledger) Start(now clock.Millis, m proto.StartMsg) (*Task, bool, error) {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return nil, false, err
	}
	if err := l.checkEpoch(m.Epoch); err != nil {
		return nil, false, err
	}
	key := TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}
	t, ok := l.tasks[key]
	if !ok {
		return nil, false, fault.New(fault.Fenced, "plan the job again", "no reservation for attempt %d of job %s", m.Attempt, m.Job).WithOutcome(fault.NotRun)
	}
	return l.start(now, t)
}

func (l *Ledger) start(now clock.Millis, t *Task) (*Task, bool, error) {
	switch t.state {
	case proto.TaskHeld:
		t.state = proto.TaskRunning
		t.starting = true
		t.confirmed = t.gang <= 1
		t.confirmBy = now + proto.ConfirmWindow
		l.seq++
		return t, true, nil
	case proto.TaskRunning, proto.TaskDone:
		return t, false, nil
	default:
		return t, false, fault.New(fault.Fenced, "plan the job again", "attempt %d of job %s has already ended: %s", t.key.Attempt, t.key.Job, t.detail)
	}
}

// Started records the result of starting the task at the worker.
func (l *Ledger) Started(now clock.Millis, key TaskKey, err error) {
	t, ok := l.tasks[key]
	if !ok {
		return
	}
	t.starting = false
	t.startedAt = now
	if err != nil {
		l.end(now, t, proto.TaskFailed, fault.Of(err).Detail)
	}
}

// Confirm records that the whole gang has started.
func (l *Ledger) Confirm(m proto.ConfirmMsg) error {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return err
	}
	if err := l.checkEpoch(m.Epoch); err != nil {
		return err
	}
	if t, ok := l.tasks[TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}]; ok {
		t.confirmed = true
	}
	return nil
}

// Unconfirmed returns the running tasks whose gang was not confirmed in time.
// The caller has to stop them; each is returned only once.
func (l *Ledger) Unconfirmed(now clock.Millis) []TaskKey {
	var out []TaskKey
	for _, k := range l.Running() {
		t := l.tasks[k]
		if !t.confirmed && now > t.confirmBy {
			t.confirmed = true
			out = append(out, k)
		}
	}
	return out
}

func (l *Ledger) end(now clock.Millis, t *Task, state proto.TaskState, detail string) {
	if !t.live() {
		return
	}
	t.state = state
	t.detail = detail
	t.endedAt = now
	l.putFence(now, t.key.gangFenceID(), true)
	l.seq++
}

// Stop handles a StopMsg and fences the attempt. run is set if the worker runs
// the task: the caller then stops it there and calls Stopped.
func (l *Ledger) Stop(now clock.Millis, m proto.StopMsg) (run bool, out proto.StoppedMsg, err error) {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return false, out, err
	}
	if err := l.checkEpoch(m.Epoch); err != nil {
		return false, out, err
	}
	key := TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}
	t, ok := l.tasks[key]
	if !ok && !l.announced {
		return false, out, fault.New(fault.Busy, "retry shortly", "agent %s does not know yet which tasks its worker runs", l.agent)
	}
	l.putFence(now, key.gangFenceID(), ok && t.state != proto.TaskHeld)
	if !ok {
		return false, proto.StoppedMsg{State: proto.TaskStopped}, nil
	}
	switch t.state {
	case proto.TaskHeld:
		l.release(key)
		return false, proto.StoppedMsg{State: proto.TaskStopped}, nil
	case proto.TaskRunning:
		return true, proto.StoppedMsg{Started: true}, nil
	default:
		return false, proto.StoppedMsg{Started: true, State: t.state, Checkpoint: t.checkpoint}, nil
	}
}

func (l *Ledger) release(key TaskKey) {
	delete(l.tasks, key)
	l.seq++
}

// Stopped records that the worker has stopped a task.
func (l *Ledger) Stopped(now clock.Millis, key TaskKey, checkpoint string) {
	if t, ok := l.tasks[key]; ok {
		t.checkpoint = checkpoint
		l.end(now, t, proto.TaskStopped, "stopped")
	}
}

// Observe records the state that the worker reported for a task. asked is the
// time of the query; a report on a query sent before the task started is
// ignored.
func (l *Ledger) Observe(now, asked clock.Millis, key TaskKey, state proto.TaskState, detail string, usedMB int) {
	t, ok := l.tasks[key]
	if !ok || t.starting || t.state != proto.TaskRunning || asked <= t.startedAt {
		return
	}
	t.usedMB = usedMB
	if state != proto.TaskRunning {
		l.end(now, t, state, detail)
	}
}

// memoryShareMB returns the part of the worker's memory that goes with a cell.
func (l *Ledger) memoryShareMB(c spec.Cell) int {
	return l.worker.MemoryMB * c.Size / max(1, l.worker.Accelerators)
}

// OverMemory returns the running tasks that use more memory than the share of
// their cell, whatever they declared, so that they don't starve other tasks of
// the worker.
func (l *Ledger) OverMemory() []TaskKey {
	var out []TaskKey
	for _, k := range l.Running() {
		if t := l.tasks[k]; t.usedMB > l.memoryShareMB(t.cell) {
			out = append(out, k)
		}
	}
	return out
}

// Running returns the tasks that the worker should be running.
func (l *Ledger) Running() []TaskKey {
	var out []TaskKey
	for _, k := range l.sortedTasks() {
		if l.tasks[k].state == proto.TaskRunning {
			out = append(out, k)
		}
	}
	return out
}

// Adopt adds a task that the worker ran before this incarnation of the agent.
func (l *Ledger) Adopt(now clock.Millis, key TaskKey, account string, gang int, cell spec.Cell, state proto.TaskState, detail string) {
	t := &Task{key: key, account: account, gang: gang, cell: cell, state: state, detail: detail, confirmed: true}
	if !t.live() {
		t.endedAt = now
	}
	l.tasks[key] = t
	l.seq++
}

// Collect removes an ended task.
func (l *Ledger) Collect(key TaskKey) {
	if t, ok := l.tasks[key]; ok && !t.live() {
		l.release(key)
	}
}

// Renewals returns the running tasks whose lease at the worker is to be
// renewed. Tasks of a gang over several workers are left out once no entry has
// been heard from for ContactWindow: the rest of the gang may have been
// stopped.
func (l *Ledger) Renewals(now, contact clock.Millis) []string {
	var out []string
	for _, k := range l.sortedTasks() {
		t := l.tasks[k]
		cutOff := t.gang > 1 && now-contact > ContactWindow
		if t.state == proto.TaskRunning && !cutOff {
			out = append(out, k.ID())
		}
	}
	return out
}

// ExpiredReservations returns the reserved tasks whose hold has run out. Each
// is returned once, until Resolved is called for it.
func (l *Ledger) ExpiredReservations(now clock.Millis) []TaskKey {
	var out []TaskKey
	for _, k := range l.sortedTasks() {
		t := l.tasks[k]
		if t.state == proto.TaskHeld && !t.resolving && now > t.heldUntil {
			t.resolving = true
			out = append(out, k)
		}
	}
	return out
}

// resolveRetryInterval is how long an expired reservation is kept after a
// failed query of the gang's record, before the next one.
const resolveRetryInterval = clock.Second

// Resolved applies what the gang's record says about an expired reservation. If
// the attempt is committed, start is set and the caller starts the task; if it
// is aborted, the reservation is released. On an error it stays held and is
// resolved again.
func (l *Ledger) Resolved(now clock.Millis, key TaskKey, reply proto.ResolvedMsg, err error) (start bool) {
	t, ok := l.tasks[key]
	if !ok || t.state != proto.TaskHeld {
		return false
	}
	t.resolving = false
	if err != nil {
		t.heldUntil = now + resolveRetryInterval
		return false
	}
	if !reply.Committed {
		l.putFence(now, key.gangFenceID(), false)
		l.release(key)
		return false
	}
	_, start, _ = l.start(now, t)
	return start
}

// endedTaskRetention is how long an ended task is kept for collection.
const endedTaskRetention = clock.Hour

func (l *Ledger) sweepTasks(now clock.Millis) {
	for k, t := range l.tasks {
		if !t.live() && now-t.endedAt > endedTaskRetention {
			l.release(k)
		}
	}
}

// Account returns the client account that the task belongs to.
func (t *Task) Account() string { return t.account }

// Gang returns the number of workers that the task's gang runs on.
func (t *Task) Gang() int { return t.gang }
