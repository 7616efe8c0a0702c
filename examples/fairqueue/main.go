// Command fairqueue embeds the fair queue: an account with many requests does
// not delay an account with a single one.
package main

import (
	"fmt"

	"gypsumcrank/core/queue"
)

func main() {
	q := queue.New[string]()
	for i := range 3 {
		push(q, "busy", fmt.Sprintf("busy %d", i))
	}
	push(q, "quiet", "quiet 0")
	push(q, "busy", "one too many")
	for q.Len() > 0 {
		it, ok := q.Pop(0, func(*queue.Item[string]) bool { return true }, func(*queue.Item[string]) {})
		if ok {
			fmt.Println(it.Value)
		}
	}
}

func push(q *queue.Queue[string], account, value string) {
	if err := q.Push(0, &queue.Item[string]{Account: account, Class: 1, Value: value}, 3); err != nil {
		fmt.Println(err)
	}
}
