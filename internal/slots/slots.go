// Package slots keeps things under numbers that are used again. A handle holds the slot's number and its
// generation, so that what comes late for one owner never meets the next.
package slots

// Handle names one owner of a slot; 0 names none.
type Handle uint32

const most = 1<<16 - 1 // slots; half of a handle is the generation

type row[T any] struct {
	value      T
	generation uint16
	taken      bool
}

// Table is empty in its zero value.
type Table[T any] struct {
	rows []row[T]
	free []uint16
}

// Put finds a slot; it gives 0 where all are taken.
func (t *Table[T]) Put(value T) Handle {
	if len(t.free) == 0 {
		if len(t.rows) == most {
			return 0
		}
		t.free = append(t.free, uint16(len(t.rows)))
		t.rows = append(t.rows, row[T]{})
	}
	i := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	r := &t.rows[i]
	r.value, r.taken = value, true
	if r.generation++; r.generation == 0 {
		r.generation = 1
	}
	return Handle(i) | Handle(r.generation)<<16
}

// Get gives the zero value for a handle whose owner is gone.
func (t *Table[T]) Get(h Handle) (value T) {
	if r := t.row(h); r != nil {
		value = r.value
	}
	return value
}

// Drop frees the row of a handle; it does nothing where the owner is gone already.
func (t *Table[T]) Drop(h Handle) {
	if r := t.row(h); r != nil {
		var none T
		r.value, r.taken = none, false
		t.free = append(t.free, uint16(h))
	}
}

func (t *Table[T]) row(h Handle) *row[T] {
	i, generation := int(uint16(h)), uint16(h>>16)
	if i >= len(t.rows) || !t.rows[i].taken || t.rows[i].generation != generation {
		return nil
	}
	return &t.rows[i]
}

// Count tells how many slots are taken.
func (t *Table[T]) Count() int { return len(t.rows) - len(t.free) }

// Each calls for every owner at the start of the round; it may drop them.
func (t *Table[T]) Each(call func(Handle, T)) {
	for i := range t.rows {
		if r := t.rows[i]; r.taken {
			call(Handle(i)|Handle(r.generation)<<16, r.value)
		}
	}
}
