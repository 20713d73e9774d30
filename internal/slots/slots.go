// Package slots is a table of values with reused slots and generation-checked handles: a handle that is used after its value
// was removed never reaches the next value in that slot. It is not safe for concurrent use.
package slots

// Handle identifies a value in a table: the index of its slot in the lower 16 bits and the slot's generation in the upper
// ones. 0 identifies none.
type Handle uint32

const generationShift = 16 // bits

func newHandle(index, generation uint16) Handle {
	return Handle(index) | Handle(generation)<<generationShift
}

func (h Handle) index() uint16 { return uint16(h) }

func (h Handle) generation() uint16 { return uint16(h >> generationShift) }

// maxSlots is the number of slots that the index of a handle can name.
const maxSlots = 1<<16 - 1

// slot holds one value. Its generation changes with each value and is never 0 while it is occupied.
type slot[T any] struct {
	value      T
	generation uint16
	occupied   bool
}

// Map holds values by handle. Its zero value is empty.
type Map[T any] struct {
	slots []slot[T]
	free  []uint16 // indices
}

// Insert adds a value and returns its handle, or 0 if the table is full.
func (t *Map[T]) Insert(value T) Handle {
	if len(t.free) == 0 {
		if len(t.slots) == maxSlots {
			return 0
		}
		t.free = append(t.free, uint16(len(t.slots)))
		t.slots = append(t.slots, slot[T]{})
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := &t.slots[index]
	s.value, s.occupied = value, true
	if s.generation++; s.generation == 0 {
		s.generation = 1
	}
	return newHandle(index, s.generation)
}

// Get returns the value of a handle, or the zero value if it was removed.
func (t *Map[T]) Get(handle Handle) (value T) {
	if s := t.lookup(handle); s != nil {
		value = s.value
	}
	return value
}

// Remove removes the value of a handle. It does nothing if the value was removed already.
func (t *Map[T]) Remove(handle Handle) {
	if s := t.lookup(handle); s != nil {
		var zero T
		s.value, s.occupied = zero, false
		t.free = append(t.free, handle.index())
	}
}

// lookup returns the slot of a handle, or nil if its value was removed.
func (t *Map[T]) lookup(handle Handle) *slot[T] {
	index, generation := int(handle.index()), handle.generation()
	if index >= len(t.slots) || !t.slots[index].occupied || t.slots[index].generation != generation {
		return nil
	}
	return &t.slots[index]
}

// Len returns the number of values.
func (t *Map[T]) Len() int { return len(t.slots) - len(t.free) }

// ForEach calls visit for each value. visit may remove values; values that it adds may be visited or not.
func (t *Map[T]) ForEach(visit func(Handle, T)) {
	for i := range t.slots {
		if s := t.slots[i]; s.occupied {
			visit(newHandle(uint16(i), s.generation), s.value)
		}
	}
}
