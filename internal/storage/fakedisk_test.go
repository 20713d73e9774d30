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

// paper is a disk of the tests. What was not synced is lost, torn, kept in part or out of order when it crashes.
type fakeDisk struct {
	random     *pcg.Source
	files      map[string]*fakeFile // as the program sees the folder
	durable    map[string]*fakeFile // as it is after a crash
	pending    []func(map[string]*fakeFile)
	operations int
	crashAt    int // the operation at which the machine goes down; 0: never
	failAt     int // the operation that fails
	failure    error
	freeBytes  int // bytes that still fit, under 0: without limit
	locked     bool
	down       bool
}

// sheet is the content of a file.
type fakeFile struct {
	content    []byte // as written
	synced     int    // so much of it is on the disk
	syncFailed bool   // a sync failed: what it had not brought to the disk is gone
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{random: pcg.New(seed), files: make(map[string]*fakeFile), durable: make(map[string]*fakeFile), freeBytes: -1}
}

// op counts an operation, and lets it fail or the machine go down.
func (p *fakeDisk) operation() error {
	if p.down {
		return errMachineDown
	}
	p.operations++
	if p.operations == p.crashAt {
		p.down = true
		return errMachineDown
	}
	if p.operations == p.failAt {
		return p.failure
	}
	return nil
}

// restart is the disk as the next start of the machine finds it.
func (p *fakeDisk) restart() *fakeDisk {
	next := newFakeDisk(uint64(p.random.Uint32()))
	found := maps.Clone(p.durable)
	for _, change := range p.pending { // each may have reached the disk or not
		if p.random.Below(2) == 0 {
			change(found)
		}
	}
	for name, s := range found {
		text := slices.Clone(s.content[:s.synced])
		if rest := s.content[s.synced:]; len(rest) > 0 && !s.syncFailed {
			switch kept := p.random.Below(len(rest) + 1); p.random.Below(3) {
			case 0: // a part of it
				text = append(text, rest[:kept]...)
			case 1: // its length, but not all that stood there
				text = append(append(text, rest[:kept]...), make([]byte, len(rest)-kept)...)
			}
		}
		next.files[name] = &fakeFile{content: text, synced: len(text)}
	}
	next.durable = maps.Clone(next.files)
	return next
}

func (p *fakeDisk) Lock() error {
	if p.locked {
		return ErrLocked
	}
	p.locked = true
	return nil
}

func (p *fakeDisk) Unlock() { p.locked = false }

func (p *fakeDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(p.files)), p.operation()
}

func (p *fakeDisk) Read(name string) ([]byte, error) {
	if err := p.operation(); err != nil {
		return nil, err
	}
	if s := p.files[name]; s != nil {
		return slices.Clone(s.content), nil
	}
	return nil, os.ErrNotExist
}

func (p *fakeDisk) Create(name string) (File, error) {
	if err := p.operation(); err != nil {
		return nil, err
	}
	s := new(fakeFile)
	p.files[name] = s
	p.pending = append(p.pending, func(on map[string]*fakeFile) { on[name] = s })
	return &fakeFileWriter{p, s}, nil
}

func (p *fakeDisk) Rename(from, to string) error {
	if err := p.operation(); err != nil {
		return err
	}
	s := p.files[from]
	if s == nil {
		return os.ErrNotExist
	}
	delete(p.files, from)
	p.files[to] = s
	p.pending = append(p.pending, func(on map[string]*fakeFile) {
		delete(on, from)
		on[to] = s
	})
	return nil
}

func (p *fakeDisk) Remove(name string) error {
	if err := p.operation(); err != nil {
		return err
	}
	delete(p.files, name)
	p.pending = append(p.pending, func(on map[string]*fakeFile) { delete(on, name) })
	return nil
}

func (p *fakeDisk) Sync() error {
	if err := p.operation(); err != nil {
		return err
	}
	for _, change := range p.pending {
		change(p.durable)
	}
	p.pending = nil
	return nil
}

// pen writes a sheet.
type fakeFileWriter struct {
	disk *fakeDisk
	file *fakeFile
}

func (n *fakeFileWriter) Write(text []byte) (int, error) {
	if err := n.disk.operation(); err != nil {
		half := len(text) / 2 // some of it may have got there all the same
		n.file.content = append(n.file.content, text[:half]...)
		return half, err
	}
	if n.disk.freeBytes >= 0 && len(text) > n.disk.freeBytes {
		n.file.content = append(n.file.content, text[:n.disk.freeBytes]...)
		return n.disk.freeBytes, errFull
	}
	if n.disk.freeBytes >= 0 {
		n.disk.freeBytes -= len(text)
	}
	n.file.content = append(n.file.content, text...)
	return len(text), nil
}

// Sync that fails loses what it should have brought to the disk, and the next one says nothing of that.
func (n *fakeFileWriter) Sync() error {
	if err := n.disk.operation(); err != nil {
		n.file.syncFailed = true
		return err
	}
	if !n.file.syncFailed {
		n.file.synced = len(n.file.content)
	}
	return nil
}

func (n *fakeFileWriter) Close() error { return nil }
