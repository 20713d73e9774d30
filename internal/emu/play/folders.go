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

// Folders are those in which the drivers of a script keep what they learn and what they promise, two each.
type Folders struct {
	root   string
	chance *pcg.Source
}

// NewFolders makes empty ones under a folder.
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

// Path is where a driver keeps what it learns.
func (f *Folders) Path(driver int) string { return filepath.Join(f.root, Driver(driver)+"-state") }

// VotesPath is where it keeps what it promises.
func (f *Folders) VotesPath(driver int) string { return filepath.Join(f.root, Driver(driver)+"-votes") }

func (f *Folders) paths(driver int) []string { return []string{f.Path(driver), f.VotesPath(driver)} }

// ConfigurationPath is where every other driver keeps the version in force. It is never treated.
func (f *Folders) ConfigurationPath(driver int) (path string, err error) {
	if driver%2 == 1 {
		return "", nil
	}
	path = filepath.Join(f.root, Driver(driver)+"-configuration")
	return path, os.MkdirAll(path, 0o700)
}

// ControlPath is a control machine's folder.
func (f *Folders) ControlPath(control int) string {
	return filepath.Join(f.root, Control(control)+"-folder")
}

// TreatControl does to it what the script says, before the machine starts.
func (f *Folders) TreatControl(control int, how string) error {
	path := f.ControlPath(control)
	return errors.Join(f.treat(path, how), os.MkdirAll(path, 0o700))
}

func copyOf(path string) string { return path + "-copy" }

// how a folder is found by the next start.
const (
	keptFolder    = "kept"
	emptiedFolder = "emptied"
	olderFolder   = "older"   // as the driver found it when it started last
	flippedFolder = "flipped" // one bit of one file
	stalledFolder = "stalled" // the disk does not answer for some seconds
)

// Treat does to a driver's folders what the script says, before it starts again.
func (f *Folders) Treat(driver int, how string) (err error) {
	for _, path := range f.paths(driver) {
		err = errors.Join(err, f.treat(path, how))
	}
	return err
}

func (f *Folders) treat(path, how string) error {
	switch how {
	case emptiedFolder:
		if err := os.RemoveAll(path); err != nil {
			return err
		}
		return os.MkdirAll(path, 0o700)
	case olderFolder:
		if err := os.RemoveAll(path); err != nil {
			return err
		}
		return copyFolder(copyOf(path), path)
	case flippedFolder:
		names, err := filepath.Glob(filepath.Join(path, "*-*"))
		if err != nil || len(names) == 0 {
			return err
		}
		name := names[f.chance.Below(len(names))]
		text, err := os.ReadFile(name)
		if err != nil || len(text) == 0 {
			return err
		}
		text[f.chance.Below(len(text))] ^= 1 << f.chance.Below(8)
		return os.WriteFile(name, text, 0o600)
	case stalledFolder:
		return stall(path)
	}
	return nil
}

// stall puts a pipe where the next snapshot is to be written: who opens it waits for a reader, as on a disk that does not answer, and is told
// of an error once one has come.
func stall(path string) error {
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
	time.AfterFunc(stalls, func() {
		if f, err := os.OpenFile(pipe, os.O_RDONLY|unix.O_NONBLOCK, 0); err == nil {
			io.Copy(io.Discard, f)
			f.Close()
		}
	})
	return nil
}

// stalls is how long a disk does not answer.
const stalls = 5 * time.Second

// Starts keeps a copy of what a driver finds, to be put back later.
func (f *Folders) Starts(driver int) (err error) {
	for _, path := range f.paths(driver) {
		if err = errors.Join(err, os.RemoveAll(copyOf(path))); err == nil {
			err = copyFolder(path, copyOf(path))
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
