// Package queue holds requests that wait for a slot. It is bounded per client
// account, serves urgent requests first, and is fair between the accounts of
// one priority class.
//
// Fairness is round-robin: the accounts of a class take turns of one item each,
// and an account without a ready item is passed over. So an account with a
// single request does not wait behind the thousand requests of another.
package queue

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// classes is the number of priority classes; class 0 is the most urgent.
const classes = 3

// Item is a queued value. The caller sets its exported fields, except
// EnqueuedAt, which Push sets.
type Item[T any] struct {
	Account    string
	Class      int          // priority class; a value out of range counts as the nearest class
	Deadline   clock.Millis // time after which the item expires, 0 if it never does
	Value      T
	EnqueuedAt clock.Millis
	removed    bool
}

// Queue is a bounded fair queue. Create it with New; it is not safe for
// concurrent use.
type Queue[T any] struct {
	byClass [classes]classQueue[T]
	counts  map[string]int
	size    int
	pops    rate
}

// classQueue holds the items of one class by account. Accounts are served in
// the order of rotation.
type classQueue[T any] struct {
	rotation []string
	items    map[string][]*Item[T]
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{counts: make(map[string]int)}
	for i := range q.byClass {
		q.byClass[i].items = make(map[string][]*Item[T])
	}
	return q
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.size }

// Count returns the number of queued items of one account.
func (q *Queue[T]) Count(account string) int { return q.counts[account] }

// Push adds an item, or refuses it at once if its account has limit items in
// all classes together. The refusal says when a place should be free.
func (q *Queue[T]) Push(now clock.Millis, it *Item[T], limit int) error {
	if q.counts[it.Account] >= limit {
		after := q.EstimateWait(now, q.counts[it.Account]/2+1)
		return fault.New(fault.Busy, "retry after the given time, or ask the operator for a higher max_queued", "limit of %d queued requests reached for account %s", limit, it.Account).
			WithOutcome(fault.NotRun).WithLacking("place in the queue").WithRetry(after)
	}
	class := min(max(it.Class, 0), classes-1)
	it.EnqueuedAt = now
	c := &q.byClass[class]
	if len(c.items[it.Account]) == 0 {
		c.rotation = append(c.rotation, it.Account)
	}
	c.items[it.Account] = append(c.items[it.Account], it)
	q.counts[it.Account]++
	q.size++
	return nil
}

// Pop removes and returns the first item, in the order of service, for which
// ready returns true; it does not call ready again after that. Items that it
// finds past their deadline are removed and passed to onExpired.
func (q *Queue[T]) Pop(now clock.Millis, ready func(*Item[T]) bool, onExpired func(*Item[T])) (*Item[T], bool) {
	for i := range q.byClass {
		if it, ok := q.popClass(&q.byClass[i], now, ready, onExpired); ok {
			return it, true
		}
	}
	return nil, false
}

func (q *Queue[T]) popClass(c *classQueue[T], now clock.Millis, ready func(*Item[T]) bool, onExpired func(*Item[T])) (*Item[T], bool) {
	for range len(c.rotation) {
		account := c.rotation[0]
		c.rotation = c.rotation[1:]
		q.dropExpired(c, account, now, onExpired)
		it := c.take(account, ready)
		if len(c.items[account]) > 0 {
			c.rotation = append(c.rotation, account)
		} else {
			delete(c.items, account)
		}
		if it != nil {
			q.markRemoved(it)
			q.pops.add(now)
			return it, true
		}
	}
	return nil, false
}

func (c *classQueue[T]) take(account string, ready func(*Item[T]) bool) *Item[T] {
	items := c.items[account]
	for i, it := range items {
		if ready(it) {
			c.items[account] = append(items[:i:i], items[i+1:]...)
			return it
		}
	}
	return nil
}

// dropExpired drops the account's items that were removed, and removes those
// past their deadline.
func (q *Queue[T]) dropExpired(c *classQueue[T], account string, now clock.Millis, onExpired func(*Item[T])) {
	kept := c.items[account][:0]
	for _, it := range c.items[account] {
		switch {
		case it.removed:
		case it.Deadline > 0 && now > it.Deadline:
			q.markRemoved(it)
			onExpired(it)
		default:
			kept = append(kept, it)
		}
	}
	c.items[account] = kept
}

func (q *Queue[T]) markRemoved(it *Item[T]) {
	it.removed = true
	q.size--
	if q.counts[it.Account]--; q.counts[it.Account] <= 0 {
		delete(q.counts, it.Account)
	}
}

// Remove removes an item that nobody waits for any more. It returns false if
// the item had left the queue already.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.removed {
		return false
	}
	q.markRemoved(it)
	return true
}

// EstimateWait estimates how long it takes until n items are popped, from the
// pops of the last 10 s; without any, the estimate is 2 s. It is kept between
// 0.5 s and 60 s.
func (q *Queue[T]) EstimateWait(now clock.Millis, n int) clock.Millis {
	return q.pops.wait(now, n)
}
