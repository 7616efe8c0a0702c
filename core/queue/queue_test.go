package queue_test

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/queue"
)

// A fixed seed generates the same operations in every run; -rapid.seed=0
// generates new ones.
func init() { _ = flag.Set("rapid.seed", "20261203") }

func always(*queue.Item[int]) bool { return true }
func ignore(*queue.Item[int])      {}

// An account with one request does not wait behind an account with many.
func ExampleQueue() {
	q := queue.New[int]()
	for i := range 3 {
		_ = q.Push(0, &queue.Item[int]{Account: "many", Class: 1, Value: i}, 10)
	}
	_ = q.Push(0, &queue.Item[int]{Account: "one", Class: 1, Value: 100}, 10)
	for q.Len() > 0 {
		it, _ := q.Pop(0, always, ignore)
		fmt.Print(it.Account, it.Value, " ")
	}
	// Output: many0 one100 many1 many2
}

func TestLimitExpiryAndRankOrder(t *testing.T) {
	c := qt.New(t)
	q := queue.New[int]()
	for i := range 2 {
		c.Assert(q.Push(0, &queue.Item[int]{Account: "a", Class: 2, Deadline: 10, Value: i}, 2), qt.IsNil)
	}
	err := q.Push(0, &queue.Item[int]{Account: "a", Class: 0}, 2)
	c.Assert(fault.Is(err, fault.Busy), qt.IsTrue)
	c.Assert(fault.Of(err).RetryAfter > 0, qt.IsTrue)
	c.Assert(q.Push(0, &queue.Item[int]{Account: "b", Class: 0, Value: 7}, 2), qt.IsNil)
	it, ok := q.Pop(20, always, ignore)
	c.Assert(ok && it.Value == 7, qt.IsTrue)
	expired := 0
	_, ok = q.Pop(20, always, func(*queue.Item[int]) { expired++ })
	c.Assert(ok, qt.IsFalse)
	c.Assert(expired, qt.Equals, 2)
	c.Assert(q.Len(), qt.Equals, 0)
}

// Every pushed item leaves exactly once: popped, expired or removed.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		left := map[int]int{}
		var pushed []*queue.Item[int]
		now := clock.Millis(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 5).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := &queue.Item[int]{Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), Class: rapid.IntRange(0, 2).Draw(t, "rank"), Value: i}
				if rapid.Bool().Draw(t, "has deadline") {
					it.Deadline = now + 3
				}
				if q.Push(now, it, 5) == nil {
					pushed = append(pushed, it)
				}
			case 2:
				if it, ok := q.Pop(now, always, func(it *queue.Item[int]) { left[it.Value]++ }); ok {
					left[it.Value]++
				}
			case 3:
				if len(pushed) > 0 {
					it := rapid.SampledFrom(pushed).Draw(t, "item")
					if q.Remove(it) {
						left[it.Value]++
					}
				}
			}
		}
		for q.Len() > 0 {
			if it, ok := q.Pop(now, always, func(it *queue.Item[int]) { left[it.Value]++ }); ok {
				left[it.Value]++
			}
		}
		for _, it := range pushed {
			if left[it.Value] != 1 {
				t.Fatalf("item %d left %d times", it.Value, left[it.Value])
			}
		}
	})
}
