package kern

import "sync"

// group is a set of concurrent calls.
type group[T any] struct {
	f  func(i int, item T)
	wg sync.WaitGroup
}

// Each calls f for all items concurrently and waits until all calls have
// returned.
func Each[T any](items []T, f func(i int, item T)) {
	g := &group[T]{f: f}
	for i, item := range items {
		g.wg.Add(1)
		go g.run(i, item)
	}
	g.wg.Wait()
}

func (g *group[T]) run(i int, item T) {
	defer g.wg.Done()
	g.f(i, item)
}
