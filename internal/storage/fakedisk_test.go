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

// fakeDisk is a FileSystem in memory. In a simulated crash, unsynced content is lost, truncated or partly replaced by zeros, and each
// unsynced change of the directory is applied or lost.
type fakeDisk struct {
	random     *pcg.Source
	files      map[string]*fakeFile         // as seen by the running program
	durable    map[string]*fakeFile         // the synced directory entries
	pending    []func(map[string]*fakeFile) // unsynced changes of directory entries
	operations int
	crashAt    int // number of the operation at which the machine crashes; 0: never
	failAt     int // number of the operation that fails with failure; 0: none
	failure    error
	freeBytes  int // negative: unlimited
	locked     bool
	down       bool
}

// fakeFile is the content of a file.
type fakeFile struct {
	content    []byte // as written
	synced     int    // number of durable bytes
	syncFailed bool   // a sync has failed: the bytes that were not durable before it are lost
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{random: pcg.New(seed), files: make(map[string]*fakeFile), durable: make(map[string]*fakeFile), freeBytes: -1}
}

// operation counts an operation and returns an error if it fails or the machine crashes or is down.
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

// restart returns the disk as a new process finds it after a crash.
func (d *fakeDisk) restart() *fakeDisk {
	next := newFakeDisk(uint64(d.random.Uint32()))
	found := maps.Clone(d.durable)
	for _, change := range d.pending { // each may or may not be durable
		if d.random.Below(2) == 0 {
			change(found)
		}
	}
	for name, file := range found {
		content := slices.Clone(file.content[:file.synced])
		if rest := file.content[file.synced:]; len(rest) > 0 && !file.syncFailed {
			switch prefix := d.random.Below(len(rest) + 1); d.random.Below(3) {
			case 0: // a prefix of the unsynced content
				content = append(content, rest[:prefix]...)
			case 1: // a prefix of the unsynced content, then zeros up to its length
				content = append(append(content, rest[:prefix]...), make([]byte, len(rest)-prefix)...)
			}
		}
		next.files[name] = &fakeFile{content: content, synced: len(content)}
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
	if file := d.files[name]; file != nil {
		return slices.Clone(file.content), nil
	}
	return nil, os.ErrNotExist
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.operation(); err != nil {
		return nil, err
	}
	file := new(fakeFile)
	d.files[name] = file
	d.pending = append(d.pending, func(files map[string]*fakeFile) { files[name] = file })
	return &fakeFileWriter{d, file}, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.operation(); err != nil {
		return err
	}
	file := d.files[from]
	if file == nil {
		return os.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = file
	d.pending = append(d.pending, func(files map[string]*fakeFile) {
		delete(files, from)
		files[to] = file
	})
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.operation(); err != nil {
		return err
	}
	delete(d.files, name)
	d.pending = append(d.pending, func(files map[string]*fakeFile) { delete(files, name) })
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

// fakeFileWriter implements File for a fakeFile.
type fakeFileWriter struct {
	disk *fakeDisk
	file *fakeFile
}

func (w *fakeFileWriter) Write(content []byte) (int, error) {
	if err := w.disk.operation(); err != nil {
		half := len(content) / 2 // a failed write may have written a part
		w.file.content = append(w.file.content, content[:half]...)
		return half, err
	}
	if w.disk.freeBytes >= 0 && len(content) > w.disk.freeBytes {
		w.file.content = append(w.file.content, content[:w.disk.freeBytes]...)
		return w.disk.freeBytes, errFull
	}
	if w.disk.freeBytes >= 0 {
		w.disk.freeBytes -= len(content)
	}
	w.file.content = append(w.file.content, content...)
	return len(content), nil
}

// Sync loses the unsynced content if it fails, and later calls do not report the loss, as on Linux.
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
