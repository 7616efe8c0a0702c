package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/speed"
)

// fleet draws the runs of workers of three speeds.
type fleet struct {
	*rand.Rand
	model   speed.Model
	now     clock.Millis
	factors []float64
	runs    []int
}

func node(i int) string { return fmt.Sprintf("side-%02d", i) }

// observe records one run; a fault multiplies its duration.
func (f *fleet) observe(step, name string, workers []int, bias, fault float64) {
	slowest := 0.0
	var nodes []string
	for _, w := range workers {
		slowest = max(slowest, f.factors[w])
		nodes = append(nodes, node(w))
		f.runs[w]++
	}
	ratio := bias * slowest * fault * math.Exp(0.3*f.NormFloat64())
	f.model.Observe(f.now, speed.Run{Step: step, Queue: "q", Name: name, Workers: nodes, Ratio: ratio})
}

func newFleet(t *rapid.T, speeds []float64) *fleet {
	f := &fleet{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: 1000}
	for i := range 12 {
		f.factors = append(f.factors, speeds[i%len(speeds)])
	}
	f.runs = make([]int, len(f.factors))
	return f
}

// The load is Lonja Austral's: workers take 0.62, 1 or 1.67 times as long, the
// estimates of a step are off by 0.2 (logarithmic), tasks differ by 0.3, 3 of 100
// are 7 times as long, and workers turn 5 times slower for a while. After 40 runs,
// a worker's factor is known to within a fifth for at least 9 of 12 workers, and no
// slow one is taken for a fast one.
func TestFactorsConvergeUnderErrorsTailsAndPassingSlowness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, []float64{0.62, 1, 1.67})
		for step := 0; ; step++ {
			f.now += 500
			bias := math.Exp(0.2 * f.NormFloat64())
			passing := -1
			if f.IntN(5) == 0 {
				passing = f.IntN(12)
			}
			first := f.IntN(12)
			for i := range 16 {
				w, fault := (first+i/2)%12, 1.0
				if f.IntN(100) < 3 {
					fault = 7
				}
				if w == passing {
					fault *= 5
				}
				f.observe(fmt.Sprint("s", step), fmt.Sprint("t", i), []int{w}, bias, fault)
			}
			f.model.Solve(f.now)
			least := f.runs[0]
			for _, n := range f.runs {
				least = min(least, n)
			}
			if least >= 40 {
				break
			}
		}
		near := 0
		for i, want := range f.factors {
			got := f.model.Figure(node(i)).Factor
			if math.Abs(math.Log(got/want)) < math.Log(1.2) {
				near++
			}
			if want > 1.5 && got < 0.8 {
				t.Fatalf("worker %d has factor %.2f, learned as %.2f", i, want, got)
			}
		}
		if near < 9 {
			t.Fatalf("%d of 12 factors are known: %v", near, figures(f))
		}
		if !f.model.Uneven() {
			t.Fatalf("not known to be uneven: %v", figures(f))
		}
	})
}

func figures(f *fleet) (out []string) {
	for i, want := range f.factors {
		g := f.model.Figure(node(i))
		out = append(out, fmt.Sprintf("%.2f:%.2f±%.2f", want, g.Factor, g.Deviation()))
	}
	return out
}

// Workers that are alike are not taken to differ, whatever the errors.
func TestWorkersThatAreAlikeAreNotUneven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, []float64{1})
		for step := range 30 {
			f.now += 700
			bias := math.Exp(0.4 * f.NormFloat64())
			first := f.IntN(12)
			for i := range 12 {
				fault := 1.0
				if f.IntN(100) < 3 {
					fault = 7
				}
				f.observe(fmt.Sprint("s", step), fmt.Sprint("t", i), []int{(first + i/3) % 12}, bias, fault)
			}
			f.model.Solve(f.now)
			if f.model.Uneven() {
				t.Fatalf("uneven after step %d: %v", step, figures(f))
			}
		}
	})
}

// A gang tells of its slowest member only; the others keep their figures.
func TestAGangTellsOfItsSlowestMember(t *testing.T) {
	c := qt.New(t)
	m := &speed.Model{}
	for i, factor := range []float64{0.62, 1, 1.6} {
		m.Join(0, node(i), speed.Figure{Factor: factor, Weight: 60})
	}
	for i := range 6 {
		m.Observe(clock.Millis(i), speed.Run{Step: fmt.Sprint("s", i), Queue: "q", Name: "g", Workers: []string{node(0), node(1), node(2)}, Ratio: 1.7})
	}
	m.Solve(10)
	c.Check(m.Figure(node(0)).Factor < 0.72, qt.IsTrue)
	c.Check(m.Figure(node(2)).Factor > 1.5, qt.IsTrue)
}

// One run decides little, and what can't be a figure is ignored.
func TestOneRunAndMalformedFigures(t *testing.T) {
	c := qt.New(t)
	m := &speed.Model{}
	m.Observe(0, speed.Run{Step: "s", Queue: "q", Name: "t", Workers: []string{"a"}, Ratio: 3})
	m.Solve(1)
	c.Check(m.Figure("a").Factor < 1.7, qt.IsTrue, qt.Commentf("%v", m.Figure("a")))
	c.Check(m.Uneven(), qt.IsFalse)
	for _, bad := range []speed.Figure{{}, {Factor: -1, Weight: 5}, {Factor: 100, Weight: 5}, {Factor: math.NaN(), Weight: 5}, {Factor: 1, Weight: math.Inf(1)}} {
		m.Join(0, "b", bad)
		c.Check(m.Figure("b").Known(), qt.IsFalse)
	}
	m.Observe(0, speed.Run{Step: "s", Workers: []string{"c"}, Ratio: math.NaN()})
	c.Check(m.Figure("c").Known(), qt.IsFalse)
}

// BenchmarkSolve measures one inference over the steps that are kept, with 10,000
// tasks on 450 workers.
func BenchmarkSolve(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	m := &speed.Model{}
	for i := range 10_000 {
		m.Observe(0, speed.Run{Step: fmt.Sprint("s", i%128), Queue: "q", Name: fmt.Sprint(i), Workers: []string{node(i / 128 * 450 / 79 % 450)}, Ratio: math.Exp(0.3 * r.NormFloat64())})
	}
	for b.Loop() {
		m.Observe(0, speed.Run{Step: "s0", Queue: "q", Name: "0", Workers: []string{node(0)}, Ratio: 1})
		m.Solve(1)
	}
}
