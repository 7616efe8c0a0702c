// Package queue holds requests that wait for a slot: bounded per client
// account, urgent first, and fair between the accounts of one class.
//
// Fairness is by deficit: each account's turn hands it one unit of credit, so
// an account with a thousand requests waits behind one with a single request.
package queue

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// classes is the number of ranks that Push takes, 0 the most urgent.
const classes = 3

// Item is one thing that waits.
type Item[T any] struct {
	Account    string
	Rank       int
	Deadline   clock.Millis
	Value      T
	EnqueuedAt clock.Millis
	gone       bool
}

// Queue is a bounded fair queue. Make it with New; it belongs to one goroutine.
type Queue[T any] struct {
	lines  [classes]line[T]
	counts map[string]int
	size   int
	drain  rate
}

type line[T any] struct {
	turn  []string
	items map[string][]*Item[T]
}

// New makes an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{counts: make(map[string]int)}
	for i := range q.lines {
		q.lines[i].items = make(map[string][]*Item[T])
	}
	return q
}

// Len is the number of items that wait.
func (q *Queue[T]) Len() int { return q.size }

// Count is the number of items of one account that wait.
func (q *Queue[T]) Count(account string) int { return q.counts[account] }

// Push adds an item, or refuses it at once if its account has limit items
// waiting. The refusal says when a place should be free.
func (q *Queue[T]) Push(now clock.Millis, it *Item[T], limit int) error {
	if q.counts[it.Account] >= limit {
		after := q.EstimateWait(now, q.counts[it.Account]/2+1)
		return fault.New(fault.Busy, "come back after the stated time, or ask the operator for a higher max_queued", "%d requests of %s wait already", limit, it.Account).
			WithOutcome(fault.NotRun).WithLacking("place in the queue").WithRetry(after)
	}
	rank := min(max(it.Rank, 0), classes-1)
	it.EnqueuedAt = now
	l := &q.lines[rank]
	if len(l.items[it.Account]) == 0 {
		l.turn = append(l.turn, it.Account)
	}
	l.items[it.Account] = append(l.items[it.Account], it)
	q.counts[it.Account]++
	q.size++
	return nil
}

// Pop takes the next item for which ready holds. Items whose deadline has
// passed are handed to late on the way and are gone.
func (q *Queue[T]) Pop(now clock.Millis, ready func(*Item[T]) bool, late func(*Item[T])) (*Item[T], bool) {
	for i := range q.lines {
		if it, ok := q.popLine(&q.lines[i], now, ready, late); ok {
			return it, true
		}
	}
	return nil, false
}

func (q *Queue[T]) popLine(l *line[T], now clock.Millis, ready func(*Item[T]) bool, late func(*Item[T])) (*Item[T], bool) {
	for range len(l.turn) {
		account := l.turn[0]
		l.turn = l.turn[1:]
		q.dropLate(l, account, now, late)
		it := l.take(account, ready)
		if len(l.items[account]) > 0 {
			l.turn = append(l.turn, account)
		} else {
			delete(l.items, account)
		}
		if it != nil {
			q.left(it)
			q.drain.add(now)
			return it, true
		}
	}
	return nil, false
}

func (l *line[T]) take(account string, ready func(*Item[T]) bool) *Item[T] {
	items := l.items[account]
	for i, it := range items {
		if ready(it) {
			l.items[account] = append(items[:i:i], items[i+1:]...)
			return it
		}
	}
	return nil
}

func (q *Queue[T]) dropLate(l *line[T], account string, now clock.Millis, late func(*Item[T])) {
	kept := l.items[account][:0]
	for _, it := range l.items[account] {
		switch {
		case it.gone:
		case it.Deadline > 0 && now > it.Deadline:
			q.left(it)
			late(it)
		default:
			kept = append(kept, it)
		}
	}
	l.items[account] = kept
}

func (q *Queue[T]) left(it *Item[T]) {
	it.gone = true
	q.size--
	if q.counts[it.Account]--; q.counts[it.Account] <= 0 {
		delete(q.counts, it.Account)
	}
}

// Remove takes an item out that nobody waits for any more. It returns false
// if it had left already.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.gone {
		return false
	}
	q.left(it)
	return true
}

// EstimateWait estimates how long n items take to leave, from the rate at which items
// have left of late.
func (q *Queue[T]) EstimateWait(now clock.Millis, n int) clock.Millis {
	return q.drain.wait(now, n)
}
