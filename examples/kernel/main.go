// Command kernel embeds the micro-kernel: it starts two services in order, one of
// which finds the other by name, and stops them in reverse order.
package main

import (
	"context"
	"fmt"
	"log/slog"

	"gypsumcrank/core/kern"
)

type counter struct{ n int }

func (c *counter) Start(context.Context, *kern.Kernel) error { return nil }

func (c *counter) Stop(context.Context) error {
	fmt.Println("counted", c.n)
	return nil
}

type worker struct{ done context.CancelFunc }

func (w *worker) Start(_ context.Context, k *kern.Kernel) error {
	c, err := kern.Find[*counter](k, "counter")
	if err != nil {
		return err
	}
	c.n++
	w.done()
	return nil
}

func (w *worker) Stop(context.Context) error { return nil }

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	k := &kern.Kernel{Log: slog.New(slog.DiscardHandler)}
	k.Add("counter", &counter{})
	k.Add("worker", &worker{done: cancel})
	if err := k.Run(ctx); err != nil {
		fmt.Println(err)
	}
}
