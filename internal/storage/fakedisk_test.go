package storage

import (
	"errors"
	"maps"
	"os"
	"slices"

	"passtack/internal/pcg"
)

var (
	errIO          = errors.New("input/output error")
	errFull        = errors.New("no space left on device")
	errMachineDown = errors.New("the machine is down")
)

// fakeDisk is a FileSystem in memory. At a crash, what was not synced is lost, torn, partly written or reordered.
type fakeDisk struct {
	random     *pcg.Source
	files      map[string]*fakeFile // as the program sees them
	durable    map[string]*fakeFile // as they are after a crash
	pending    []func(map[string]*fakeFile)
	operations int
	crashAt    int // the operation at which the machine crashes; 0: never
	failAt     int // the operation that fails
	failure    error
	freeBytes  int // below 0: unlimited
	locked     bool
	down       bool
}

// fakeFile is the content of a file.
type fakeFile struct {
	content    []byte // as written
	synced     int    // this many bytes are durable
	syncFailed bool   // a sync failed: what was not durable by then is lost
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{random: pcg.New(seed), files: make(map[string]*fakeFile), durable: make(map[string]*fakeFile), freeBytes: -1}
}

// operation counts an operation, and lets it fail or the machine crash.
func (d *fakeDisk) operation() error {
	if d.down {
		return errMachineDown
	}
	d.operations++
	if d.operations == d.crashAt {
		d.down = true
		return errMachineDown
	}
	if d.operations == d.failAt {
		return d.failure
	}
	return nil
}

// restart returns the disk as it is found after a crash.
func (d *fakeDisk) restart() *fakeDisk {
	next := newFakeDisk(uint64(d.random.Uint32()))
	found := maps.Clone(d.durable)
	for _, change := range d.pending { // each may be durable or not
		if d.random.Below(2) == 0 {
			change(found)
		}
	}
	for name, s := range found {
		text := slices.Clone(s.content[:s.synced])
		if rest := s.content[s.synced:]; len(rest) > 0 && !s.syncFailed {
			switch prefix := d.random.Below(len(rest) + 1); d.random.Below(3) {
			case 0: // a prefix of it
				text = append(text, rest[:prefix]...)
			case 1: // its length, but only a prefix of the content
				text = append(append(text, rest[:prefix]...), make([]byte, len(rest)-prefix)...)
			}
		}
		next.files[name] = &fakeFile{content: text, synced: len(text)}
	}
	next.durable = maps.Clone(next.files)
	return next
}

func (d *fakeDisk) Lock() error {
	if d.locked {
		return ErrLocked
	}
	d.locked = true
	return nil
}

func (d *fakeDisk) Unlock() { d.locked = false }

func (d *fakeDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), d.operation()
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	if err := d.operation(); err != nil {
		return nil, err
	}
	if s := d.files[name]; s != nil {
		return slices.Clone(s.content), nil
	}
	return nil, os.ErrNotExist
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.operation(); err != nil {
		return nil, err
	}
	s := new(fakeFile)
	d.files[name] = s
	d.pending = append(d.pending, func(on map[string]*fakeFile) { on[name] = s })
	return &fakeFileWriter{d, s}, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.operation(); err != nil {
		return err
	}
	s := d.files[from]
	if s == nil {
		return os.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = s
	d.pending = append(d.pending, func(on map[string]*fakeFile) {
		delete(on, from)
		on[to] = s
	})
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.operation(); err != nil {
		return err
	}
	delete(d.files, name)
	d.pending = append(d.pending, func(on map[string]*fakeFile) { delete(on, name) })
	return nil
}

func (d *fakeDisk) Sync() error {
	if err := d.operation(); err != nil {
		return err
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

// fakeFileWriter writes a fakeFile.
type fakeFileWriter struct {
	disk *fakeDisk
	file *fakeFile
}

func (w *fakeFileWriter) Write(text []byte) (int, error) {
	if err := w.disk.operation(); err != nil {
		half := len(text) / 2 // a part may have been written nevertheless
		w.file.content = append(w.file.content, text[:half]...)
		return half, err
	}
	if w.disk.freeBytes >= 0 && len(text) > w.disk.freeBytes {
		w.file.content = append(w.file.content, text[:w.disk.freeBytes]...)
		return w.disk.freeBytes, errFull
	}
	if w.disk.freeBytes >= 0 {
		w.disk.freeBytes -= len(text)
	}
	w.file.content = append(w.file.content, text...)
	return len(text), nil
}

// Sync loses the unsynced content if it fails, and later calls do not report that, as Linux does.
func (w *fakeFileWriter) Sync() error {
	if err := w.disk.operation(); err != nil {
		w.file.syncFailed = true
		return err
	}
	if !w.file.syncFailed {
		w.file.synced = len(w.file.content)
	}
	return nil
}

func (w *fakeFileWriter) Close() error { return nil }
