// Package chain is an intrusive doubly linked list. A list element is embedded in the element that it holds, so adding and removing
// elements allocates nothing and takes constant time. It is not safe for concurrent use.
package chain

// Element is an element of a list. Its zero value is in no list.
type Element[T any] struct {
	Value      T // set by the owner of the element
	prev, next *Element[T]
	owner      *List[T]
}

// List is a doubly linked list. Its zero value is empty.
type List[T any] struct {
	first, last *Element[T]
	count       int
}

// PushBack appends an element, which it first removes from the list that it is in.
func (c *List[T]) PushBack(link *Element[T]) {
	link.Remove()
	if link.prev, link.owner = c.last, c; c.last == nil {
		c.first = link
	} else {
		c.last.next = link
	}
	c.last = link
	c.count++
}

// Remove removes the element from its list, if it is in one.
func (l *Element[T]) Remove() {
	c := l.owner
	if c == nil {
		return
	}
	if l.prev == nil {
		c.first = l.next
	} else {
		l.prev.next = l.next
	}
	if l.next == nil {
		c.last = l.prev
	} else {
		l.next.prev = l.prev
	}
	l.prev, l.next, l.owner = nil, nil, nil
	c.count--
}

// InList reports whether the element is in list c.
func (l *Element[T]) InList(c *List[T]) bool { return l.owner == c }

// Front returns the first element, nil if the list is empty.
func (c *List[T]) Front() *Element[T] { return c.first }

// Next returns the element after this one, nil at the end of the list.
func (l *Element[T]) Next() *Element[T] { return l.next }

// Len returns the number of elements in the list.
func (c *List[T]) Len() int { return c.count }
