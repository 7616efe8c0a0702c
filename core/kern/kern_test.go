package kern_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gypsumcrank/core/kern"
)

type testService struct {
	name  string
	trace *[]string
	fails bool
}

func (s testService) Start(context.Context, *kern.Kernel) error {
	if s.fails {
		return errors.New("no")
	}
	*s.trace = append(*s.trace, "start "+s.name)
	return nil
}

func (s testService) Stop(context.Context) error {
	*s.trace = append(*s.trace, "stop "+s.name)
	return nil
}

func TestStopsStartedServicesInReverse(t *testing.T) {
	c := qt.New(t)
	var trace []string
	k := &kern.Kernel{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	k.Add("a", testService{name: "a", trace: &trace})
	k.Add("b", testService{name: "b", trace: &trace})
	k.Add("c", testService{name: "c", trace: &trace, fails: true})
	err := k.Run(context.Background())
	c.Assert(err, qt.ErrorMatches, "start c: no")
	c.Assert(trace, qt.DeepEquals, []string{"start a", "start b", "stop b", "stop a"})
	_, err = kern.Find[testService](k, "a")
	c.Assert(err, qt.IsNil)
	_, err = kern.Find[testService](k, "x")
	c.Assert(errors.Is(err, kern.ErrNotFound), qt.IsTrue)
}

type counter struct{ total int }

type addMsg int

func (m *counter) Update(msg kern.Msg) []kern.Cmd {
	n := msg.(addMsg)
	m.total += int(n)
	if n <= 1 {
		return nil
	}
	return []kern.Cmd{func(context.Context) kern.Msg { return n - 1 }}
}

// A loop applies messages one at a time; commands return new ones.
func ExampleLoop() {
	m := &counter{}
	l := &kern.Loop{Model: m}
	l.Start()
	l.Send(addMsg(3))
	for total := 0; total < 6; {
		l.Do(func() { total = m.total })
	}
	l.Stop()
	fmt.Println(m.total)
	// Output: 6
}

// Guards against a service that fails to start and then waits for ever to stop its loop.
func TestALoopThatWasNeverStartedStops(t *testing.T) {
	l := &kern.Loop{Model: &counter{}}
	stopped := make(chan bool)
	go func() {
		l.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Fatal("Stop waits for a loop that was never started")
	}
	qt.Check(t, l.Send(addMsg(1)), qt.IsFalse)
}
