// Package due keeps values in the order of their due times; equal times keep the order they came in.
package due

import "time"

// Item is one value and its due time, as long as it is in the queue.
type Item[T any] struct {
	at    time.Duration
	order uint64
	place int // in the heap, from 1 on; 0 once it has left
	value T
}

// Queue is a binary heap, empty in its zero value.
type Queue[T any] struct {
	heap []*Item[T]
	next uint64
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := q.heap[i], q.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].place, q.heap[j].place = i+1, j+1
}

// Push gives the item back, by which the value can be taken out before it is due.
func (q *Queue[T]) Push(at time.Duration, value T) *Item[T] {
	item := &Item[T]{at: at, order: q.next, place: len(q.heap) + 1, value: value}
	q.heap = append(q.heap, item)
	q.next++
	q.rise(len(q.heap) - 1)
	return item
}

func (q *Queue[T]) rise(i int) {
	for ; i > 0 && q.less(i, (i-1)/2); i = (i - 1) / 2 {
		q.swap(i, (i-1)/2)
	}
}

func (q *Queue[T]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}

// First tells when the first value is due.
func (q *Queue[T]) First() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Pop takes the first value due at or before now.
func (q *Queue[T]) Pop(now time.Duration) (value T, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return value, false
	}
	value = q.heap[0].value
	q.Remove(q.heap[0])
	return value, true
}

// Remove takes an item out, if it has not left yet; nil is none.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item == nil || item.place == 0 {
		return
	}
	i, last := item.place-1, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if item.place = 0; i < last {
		q.sink(i)
		q.rise(i)
	}
}

// Count tells how many values wait.
func (q *Queue[T]) Count() int { return len(q.heap) }
