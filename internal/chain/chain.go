// Package chain keeps things in the order in which they came, each of which can leave at any time. A link is part
// of what it stands for, so that nothing is allocated and leaving costs the same however many there are.
package chain

// Link is one place in a chain, in none in its zero value.
type Link[T any] struct {
	Value      T
	prev, next *Link[T]
	chain      *Chain[T]
}

// Chain is empty in its zero value.
type Chain[T any] struct {
	first, last *Link[T]
	count       int
}

// Push puts the link behind the others; it leaves where it stood before.
func (c *Chain[T]) Push(l *Link[T]) {
	l.Leave()
	if l.prev, l.chain = c.last, c; c.last == nil {
		c.first = l
	} else {
		c.last.next = l
	}
	c.last = l
	c.count++
}

// Leave takes the link out of its chain, if it stands in one.
func (l *Link[T]) Leave() {
	c := l.chain
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
	l.prev, l.next, l.chain = nil, nil, nil
	c.count--
}

// In tells whether the link stands in the chain.
func (l *Link[T]) In(c *Chain[T]) bool { return l.chain == c }

// First is the one that came first, nil where there is none; Next is the one behind.
func (c *Chain[T]) First() *Link[T] { return c.first }

// Next returns the link behind this one, nil at the end of the chain.
func (l *Link[T]) Next() *Link[T] { return l.next }

// Count tells how many stand in the chain.
func (c *Chain[T]) Count() int { return c.count }
