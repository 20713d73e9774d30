package keep

import (
	"errors"
	"maps"
	"os"
	"slices"

	"passtack/internal/pcg"
)

var (
	errIO   = errors.New("input/output error")
	errFull = errors.New("no space left on device")
	errDead = errors.New("the machine is down")
)

// paper is a disk of the tests. What was not synced is lost, torn, kept in part or out of order when it crashes.
type paper struct {
	chance  *pcg.Source
	names   map[string]*sheet // as the program sees the folder
	durable map[string]*sheet // as it is after a crash
	pending []func(map[string]*sheet)
	ops     int
	crashAt int // the operation at which the machine goes down; 0: never
	failAt  int // the operation that fails
	failure error
	room    int // bytes that still fit, under 0: without limit
	held    bool
	down    bool
}

// sheet is the content of a file.
type sheet struct {
	text   []byte // as written
	synced int    // so much of it is on the disk
	spoilt bool   // a sync failed: what it had not brought to the disk is gone
}

func newPaper(seed uint64) *paper {
	return &paper{chance: pcg.New(seed), names: make(map[string]*sheet), durable: make(map[string]*sheet), room: -1}
}

// op counts an operation, and lets it fail or the machine go down.
func (p *paper) op() error {
	if p.down {
		return errDead
	}
	p.ops++
	if p.ops == p.crashAt {
		p.down = true
		return errDead
	}
	if p.ops == p.failAt {
		return p.failure
	}
	return nil
}

// restart is the disk as the next start of the machine finds it.
func (p *paper) restart() *paper {
	next := newPaper(uint64(p.chance.Uint32()))
	found := maps.Clone(p.durable)
	for _, change := range p.pending { // each may have reached the disk or not
		if p.chance.Below(2) == 0 {
			change(found)
		}
	}
	for name, s := range found {
		text := slices.Clone(s.text[:s.synced])
		if rest := s.text[s.synced:]; len(rest) > 0 && !s.spoilt {
			switch kept := p.chance.Below(len(rest) + 1); p.chance.Below(3) {
			case 0: // a part of it
				text = append(text, rest[:kept]...)
			case 1: // its length, but not all that stood there
				text = append(append(text, rest[:kept]...), make([]byte, len(rest)-kept)...)
			}
		}
		next.names[name] = &sheet{text: text, synced: len(text)}
	}
	next.durable = maps.Clone(next.names)
	return next
}

func (p *paper) Lock() error {
	if p.held {
		return ErrHeld
	}
	p.held = true
	return nil
}

func (p *paper) Unlock() { p.held = false }

func (p *paper) List() ([]string, error) {
	return slices.Sorted(maps.Keys(p.names)), p.op()
}

func (p *paper) Read(name string) ([]byte, error) {
	if err := p.op(); err != nil {
		return nil, err
	}
	if s := p.names[name]; s != nil {
		return slices.Clone(s.text), nil
	}
	return nil, os.ErrNotExist
}

func (p *paper) Create(name string) (File, error) {
	if err := p.op(); err != nil {
		return nil, err
	}
	s := new(sheet)
	p.names[name] = s
	p.pending = append(p.pending, func(on map[string]*sheet) { on[name] = s })
	return &pen{p, s}, nil
}

func (p *paper) Rename(from, to string) error {
	if err := p.op(); err != nil {
		return err
	}
	s := p.names[from]
	if s == nil {
		return os.ErrNotExist
	}
	delete(p.names, from)
	p.names[to] = s
	p.pending = append(p.pending, func(on map[string]*sheet) {
		delete(on, from)
		on[to] = s
	})
	return nil
}

func (p *paper) Remove(name string) error {
	if err := p.op(); err != nil {
		return err
	}
	delete(p.names, name)
	p.pending = append(p.pending, func(on map[string]*sheet) { delete(on, name) })
	return nil
}

func (p *paper) Sync() error {
	if err := p.op(); err != nil {
		return err
	}
	for _, change := range p.pending {
		change(p.durable)
	}
	p.pending = nil
	return nil
}

// pen writes a sheet.
type pen struct {
	paper *paper
	sheet *sheet
}

func (n *pen) Write(text []byte) (int, error) {
	if err := n.paper.op(); err != nil {
		half := len(text) / 2 // some of it may have got there all the same
		n.sheet.text = append(n.sheet.text, text[:half]...)
		return half, err
	}
	if n.paper.room >= 0 && len(text) > n.paper.room {
		n.sheet.text = append(n.sheet.text, text[:n.paper.room]...)
		return n.paper.room, errFull
	}
	if n.paper.room >= 0 {
		n.paper.room -= len(text)
	}
	n.sheet.text = append(n.sheet.text, text...)
	return len(text), nil
}

// Sync that fails loses what it should have brought to the disk, and the next one says nothing of that.
func (n *pen) Sync() error {
	if err := n.paper.op(); err != nil {
		n.sheet.spoilt = true
		return err
	}
	if !n.sheet.spoilt {
		n.sheet.synced = len(n.sheet.text)
	}
	return nil
}

func (n *pen) Close() error { return nil }
