// Package linkedlist implements an intrusive doubly linked list. The list element is a field of the value that it links, so adding
// and removing elements allocates no memory and takes constant time. It is not safe for concurrent use.
package linkedlist

// Element is an element of a list. Its zero value belongs to no list.
type Element[T any] struct {
	Value      T // set by the owner of the element
	prev, next *Element[T]
	owner      *List[T]
}

// List is a doubly linked list. Its zero value is an empty list.
type List[T any] struct {
	first, last *Element[T]
	count       int
}

// PushBack appends an element to the list, after removing it from the list that holds it, if any.
func (l *List[T]) PushBack(element *Element[T]) {
	element.Remove()
	if element.prev, element.owner = l.last, l; l.last == nil {
		l.first = element
	} else {
		l.last.next = element
	}
	l.last = element
	l.count++
}

// Remove removes the element from its list. It does nothing if the element is in no list.
func (e *Element[T]) Remove() {
	list := e.owner
	if list == nil {
		return
	}
	if e.prev == nil {
		list.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		list.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.owner = nil, nil, nil
	list.count--
}

// InList reports whether the element is in the given list.
func (e *Element[T]) InList(list *List[T]) bool { return e.owner == list }

// Front returns the first element, or nil if the list is empty.
func (l *List[T]) Front() *Element[T] { return l.first }

// Next returns the following element, or nil at the end of the list.
func (e *Element[T]) Next() *Element[T] { return e.next }

// Len returns the number of elements in the list.
func (l *List[T]) Len() int { return l.count }
