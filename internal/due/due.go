// Package due keeps values in the order of their due times; equal times keep the order they came in.
package due

import "time"

type item[T any] struct {
	at    time.Duration
	order uint64
	value T
}

// Queue is a binary heap, empty in its zero value.
type Queue[T any] struct {
	heap []item[T]
	next uint64
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (q *Queue[T]) Push(at time.Duration, value T) {
	q.heap = append(q.heap, item[T]{at, q.next, value})
	q.next++
	for i := len(q.heap) - 1; i > 0 && q.less(i, (i-1)/2); i = (i - 1) / 2 {
		q.heap[i], q.heap[(i-1)/2] = q.heap[(i-1)/2], q.heap[i]
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
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = item[T]{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return value, true
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
