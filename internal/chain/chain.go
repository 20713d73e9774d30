// Package chain is an intrusive doubly linked list. A link is embedded in the element that it holds, so adding and removing
// elements allocates nothing and takes constant time. It is not safe for concurrent use.
package chain

// Link is an element of a chain. Its zero value is in no chain.
type Link[T any] struct {
	Value      T // set by the owner of the link
	prev, next *Link[T]
	owner      *Chain[T]
}

// Chain is a doubly linked list. Its zero value is empty.
type Chain[T any] struct {
	first, last *Link[T]
	count       int
}

// Push appends a link, which it first removes from the chain that it is in.
func (c *Chain[T]) Push(l *Link[T]) {
	l.Leave()
	if l.prev, l.owner = c.last, c; c.last == nil {
		c.first = l
	} else {
		c.last.next = l
	}
	c.last = l
	c.count++
}

// Leave removes the link from its chain, if it is in one.
func (l *Link[T]) Leave() {
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

// In reports whether the link is in chain c.
func (l *Link[T]) In(c *Chain[T]) bool { return l.owner == c }

// First returns the first link, nil if the chain is empty.
func (c *Chain[T]) First() *Link[T] { return c.first }

// Next returns the link after this one, nil at the end of the chain.
func (l *Link[T]) Next() *Link[T] { return l.next }

// Count returns the number of links in the chain.
func (c *Chain[T]) Count() int { return c.count }
