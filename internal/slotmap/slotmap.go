// Package slotmap implements a map of values that are identified by generation-checked handles. Its slots are reused, but a
// handle whose value was removed does not identify the next value in the same slot. It is not safe for concurrent use.
package slotmap

// Handle identifies a value in a map: it holds the index of the slot in the lower 16 bits and the slot's generation in the
// upper 16. The zero handle identifies no value.
type Handle uint32

const generationShift = 16 // position of the generation in a handle, in bits

func newHandle(index, generation uint16) Handle {
	return Handle(index) | Handle(generation)<<generationShift
}

// Slot returns the number of the handle's slot, counted from 1. A value that is inserted after another was removed may get the same slot.
func (h Handle) Slot() uint32 { return uint32(h.index()) + 1 }

func (h Handle) index() uint16 { return uint16(h) }

func (h Handle) generation() uint16 { return uint16(h >> generationShift) }

// maxSlots is the maximum number of slots. It fits the 16-bit index of a handle.
const maxSlots = 1<<16 - 1

// slot holds one value. Its generation changes with each value that it gets and is never 0 while the slot is occupied.
type slot[T any] struct {
	value      T
	generation uint16
	occupied   bool
}

// Map holds values by handle. Its zero value is an empty map.
type Map[T any] struct {
	slots []slot[T]
	free  []uint16 // indices of the unoccupied slots
}

// Insert adds a value and returns its handle, or 0 if the map is full.
func (m *Map[T]) Insert(value T) Handle {
	if len(m.free) == 0 {
		if len(m.slots) == maxSlots {
			return 0
		}
		m.free = append(m.free, uint16(len(m.slots)))
		m.slots = append(m.slots, slot[T]{})
	}
	index := m.free[len(m.free)-1]
	m.free = m.free[:len(m.free)-1]
	s := &m.slots[index]
	s.value, s.occupied = value, true
	if s.generation++; s.generation == 0 {
		s.generation = 1
	}
	return newHandle(index, s.generation)
}

// Get returns the value of a handle, or the zero value of T if it was removed.
func (m *Map[T]) Get(handle Handle) (value T) {
	if s := m.lookup(handle); s != nil {
		value = s.value
	}
	return value
}

// Remove removes the value of a handle. It does nothing if the value has already been removed.
func (m *Map[T]) Remove(handle Handle) {
	if s := m.lookup(handle); s != nil {
		var zero T
		s.value, s.occupied = zero, false
		m.free = append(m.free, handle.index())
	}
}

// lookup returns the slot of a handle, or nil if its value was removed.
func (m *Map[T]) lookup(handle Handle) *slot[T] {
	index, generation := int(handle.index()), handle.generation()
	if index >= len(m.slots) || !m.slots[index].occupied || m.slots[index].generation != generation {
		return nil
	}
	return &m.slots[index]
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return len(m.slots) - len(m.free) }

// ForEach calls visit for each value. visit may remove values. Values that it adds may or may not be visited.
func (m *Map[T]) ForEach(visit func(Handle, T)) {
	for i := range m.slots {
		if s := m.slots[i]; s.occupied {
			visit(newHandle(uint16(i), s.generation), s.value)
		}
	}
}
