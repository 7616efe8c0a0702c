package plan_test

import (
	"fmt"
	"testing"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// bench is a planner with workers that start every task that they are ordered to.
type bench struct {
	p       *plan.Planner
	now     clock.Millis
	nodes   []plan.ReportMsg
	running map[string][]plan.RunningTask // by node
}

func (b *bench) send(msg any) {
	e := b.p.Update(plan.Instant{Monotonic: b.now, Wall: b.now}, msg)
	for e.Write != nil || len(e.Orders) > 0 {
		orders := e.Orders
		if w := e.Write; w != nil {
			e = b.p.Update(plan.Instant{Monotonic: b.now, Wall: b.now}, plan.WrittenMsg{Seq: w.Seq, Rev: int64(w.Seq)})
		} else {
			e = plan.Effects{}
		}
		for _, o := range orders {
			b.running[o.Node] = append(b.running[o.Node], plan.RunningTask{Task: o.Task, Run: o.Run, Percent: 1})
			r := plan.ResultMsg{Node: o.Node, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Run: o.Run, Outcome: plan.Accepted, AnswerSeq: 1}
			more := b.p.Update(plan.Instant{Monotonic: b.now, Wall: b.now}, r)
			e.Orders = append(e.Orders, more.Orders...)
			if more.Write != nil {
				e.Write = more.Write
			}
		}
	}
}

// newBench returns a bench whose workers run tasks that need no accelerator,
// while some gangs wait.
func newBench(workers, tasks, waiting int) *bench {
	b := &bench{p: &plan.Planner{Epoch: 1, Settings: plan.DefaultSettings()}, now: 1000, running: map[string][]plan.RunningTask{}}
	b.send(plan.ConfigMsg{Config: (&route.Config{Version: 1}).Prepare()})
	for i := range workers {
		incarnation := task.Incarnation{ID: fmt.Sprint("i-", i), StartedAt: 1}
		b.nodes = append(b.nodes, plan.ReportMsg{
			Node: fmt.Sprint("side-", i), Incarnation: incarnation, Service: "svc", Rack: fmt.Sprint("r", i/8), Epoch: 1, Clock: 1000,
			Capacity: task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8},
		})
		b.send(b.nodes[i])
		b.send(plan.LinkMsg{Node: fmt.Sprint("side-", i), Up: true})
	}
	for i := range tasks / 50 {
		b.send(plan.JobMsg{Job: &task.Job{ID: fmt.Sprint("run-", i), Service: "svc", Priority: 1, Stretch: 3, Steps: []task.Step{
			{Count: 50, Estimate: clock.Hour, Need: task.Resources{MilliCPU: 5000, MemoryMB: 4000}},
		}}})
	}
	for i := range waiting {
		b.send(plan.JobMsg{Job: &task.Job{ID: fmt.Sprint("wait-", i), Service: "svc", Priority: 1, Stretch: 3, Steps: []task.Step{
			{Count: 16, Estimate: clock.Hour, Gang: true, SameRack: true, Need: task.Resources{MilliCPU: 128000, MemoryMB: 200000, Accelerators: 8}},
		}}})
	}
	return b
}

// second simulates one second: ten ticks, and one report of each worker.
func (b *bench) second() {
	for i := range 10 {
		b.now += 100
		for n := i; n < len(b.nodes); n += 10 {
			r := b.nodes[n]
			r.Clock, r.Running = b.now, b.running[r.Node]
			b.send(r)
		}
		b.send(plan.TickMsg{})
	}
}

// BenchmarkSecond measures what one second costs the planner while tasks run and
// large jobs wait.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ workers, tasks, waiting int }{{11, 240, 5}, {59, 1300, 20}, {450, 10000, 20}} {
		b.Run(fmt.Sprintf("%d_workers_%d_tasks", size.workers, size.tasks), func(b *testing.B) {
			p := newBench(size.workers, size.tasks, size.waiting)
			b.ResetTimer()
			for b.Loop() {
				p.second()
			}
		})
	}
}
