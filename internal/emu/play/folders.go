package play

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/pcg"
)

// Folders manages the folders in which the drivers of a script store what they learn and their lease promises: two for
// each driver.
type Folders struct {
	root string
	rng  *pcg.Source
}

// NewFolders creates empty folders below root.
func NewFolders(root string, drivers int, seed uint64) (*Folders, error) {
	f := &Folders{root, pcg.New(seed)}
	for i := range drivers {
		for _, path := range f.paths(i) {
			if err := os.MkdirAll(path, 0o700); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// Path returns the folder for what a driver learns.
func (f *Folders) Path(driver int) string { return filepath.Join(f.root, Driver(driver)+"-state") }

// VotesPath returns the folder for a driver's lease promises.
func (f *Folders) VotesPath(driver int) string { return filepath.Join(f.root, Driver(driver)+"-votes") }

func (f *Folders) paths(driver int) []string { return []string{f.Path(driver), f.VotesPath(driver)} }

// ConfigurationPath returns the folder in which every other driver stores the version in force; the rest have none.
// Faults never alter it.
func (f *Folders) ConfigurationPath(driver int) (path string, err error) {
	if driver%2 == 1 {
		return "", nil
	}
	path = filepath.Join(f.root, Driver(driver)+"-configuration")
	return path, os.MkdirAll(path, 0o700)
}

// ControlPath returns the folder of a control machine.
func (f *Folders) ControlPath(control int) string {
	return filepath.Join(f.root, Control(control)+"-folder")
}

// PrepareControl alters the folder of a control machine as the script says, before the machine starts.
func (f *Folders) PrepareControl(control int, state string) error {
	path := f.ControlPath(control)
	return errors.Join(f.prepare(path, state), os.MkdirAll(path, 0o700))
}

func copyPath(path string) string { return path + "-copy" }

// Values of a fault's folder key: the state of the folder at the next start.
const (
	keptFolder    = "kept"
	emptiedFolder = "emptied"
	olderFolder   = "older"   // as it was at the driver's last start
	flippedFolder = "flipped" // one bit of one file is flipped
	stalledFolder = "stalled" // the disk does not answer for stallDuration
)

// Prepare alters a driver's folders as the script says, before the driver starts again.
func (f *Folders) Prepare(driver int, state string) (err error) {
	for _, path := range f.paths(driver) {
		err = errors.Join(err, f.prepare(path, state))
	}
	return err
}

func (f *Folders) prepare(path, state string) error {
	switch state {
	case emptiedFolder:
		if err := os.RemoveAll(path); err != nil {
			return err
		}
		return os.MkdirAll(path, 0o700)
	case olderFolder:
		if err := os.RemoveAll(path); err != nil {
			return err
		}
		return copyFolder(copyPath(path), path)
	case flippedFolder:
		names, err := filepath.Glob(filepath.Join(path, "*-*"))
		if err != nil || len(names) == 0 {
			return err
		}
		name := names[f.rng.Below(len(names))]
		text, err := os.ReadFile(name)
		if err != nil || len(text) == 0 {
			return err
		}
		text[f.rng.Below(len(text))] ^= 1 << f.rng.Below(8)
		return os.WriteFile(name, text, 0o600)
	case stalledFolder:
		return stallDisk(path)
	}
	return nil
}

// stallDisk creates a named pipe in place of the next snapshot file. Opening it for writing blocks until a reader opens
// it, as on a disk that does not answer, and then fails.
func stallDisk(path string) error {
	names, err := filepath.Glob(filepath.Join(path, "state-*"))
	if err != nil {
		return err
	}
	next := uint64(1)
	for _, name := range names {
		if n, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), "state-"), ".new"), 16, 64); err == nil {
			next = max(next, n+1)
		}
	}
	pipe := filepath.Join(path, fmt.Sprintf("state-%016x.new", next))
	if err := unix.Mkfifo(pipe, 0o600); err != nil {
		return err
	}
	time.AfterFunc(stallDuration, func() {
		if f, err := os.OpenFile(pipe, os.O_RDONLY|unix.O_NONBLOCK, 0); err == nil {
			io.Copy(io.Discard, f)
			f.Close()
		}
	})
	return nil
}

// stallDuration is how long a stalled disk does not answer.
const stallDuration = 5 * time.Second

// SaveCopies copies a driver's folders as they are at its start, so that a fault can restore them.
func (f *Folders) SaveCopies(driver int) (err error) {
	for _, path := range f.paths(driver) {
		if err = errors.Join(err, os.RemoveAll(copyPath(path))); err == nil {
			err = copyFolder(path, copyPath(path))
		}
	}
	return err
}

func copyFolder(from, to string) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	entries, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, e.Name()), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
