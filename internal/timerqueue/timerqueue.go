// Package timerqueue implements a timer queue: a priority queue of values ordered by the time at which they are due. Values with
// the same due time leave the queue in the order in which they were added. It is not safe for concurrent use.
package timerqueue

import "time"

// Item is a value and the time at which it is due.
type Item[T any] struct {
	dueAt        time.Duration // on the caller's clock
	sequence     uint64        // order of insertion, for items with the same due time
	heapPosition int           // index in the heap, counted from 1; 0 after removal
	value        T
}

// Queue is a binary min-heap of items. Its zero value is an empty queue.
type Queue[T any] struct {
	heap         []*Item[T]
	nextSequence uint64
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := q.heap[i], q.heap[j]
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.sequence < b.sequence
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].heapPosition, q.heap[j].heapPosition = i+1, j+1
}

// Push adds a value and returns its item, which can be passed to Remove.
func (q *Queue[T]) Push(dueAt time.Duration, value T) *Item[T] {
	item := &Item[T]{dueAt: dueAt, sequence: q.nextSequence, heapPosition: len(q.heap) + 1, value: value}
	q.heap = append(q.heap, item)
	q.nextSequence++
	q.siftUp(len(q.heap) - 1)
	return item
}

// siftUp restores the heap order after the item at index i was added or became smaller.
func (q *Queue[T]) siftUp(i int) {
	for ; i > 0 && q.less(i, (i-1)/2); i = (i - 1) / 2 {
		q.swap(i, (i-1)/2)
	}
}

// siftDown restores the heap order after the item at index i became larger.
func (q *Queue[T]) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		q.swap(i, smallest)
		i = smallest
	}
}

// NextDue returns the earliest due time; ok is false if the queue is empty.
func (q *Queue[T]) NextDue() (dueAt time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// PopDue removes and returns the earliest value if it is due at or before now.
func (q *Queue[T]) PopDue(now time.Duration) (value T, ok bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return value, false
	}
	value = q.heap[0].value
	q.Remove(q.heap[0])
	return value, true
}

// Remove removes an item. It does nothing if the item is nil or has already been removed.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item == nil || item.heapPosition == 0 {
		return
	}
	i, last := item.heapPosition-1, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if item.heapPosition = 0; i < last {
		q.siftDown(i)
		q.siftUp(i)
	}
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.heap) }
