// Package keep stores small values by name in a folder, so that a crash at any moment leaves a whole older or a whole newer
// state, never a mixture. It is used by one goroutine at a time, and blocks: whoever serves RPCs lets a worker call it.
package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Disk is what a store needs of a folder.
type FileSystem interface {
	Lock() error // until Unlock; fails where another process has it
	Unlock()
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // empty; what had the name is gone
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // what was created, renamed and removed
}

// File is one that is written from its start to its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrHeld tells that another process uses the folder.
var ErrLocked = errors.New("another process holds the folder")

// Folder is a folder of this machine.
type Directory struct {
	path string
	lock *os.File
}

// OpenFolder takes a folder that is there.
func OpenDirectory(path string) (*Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is no folder", path)
	}
	return &Directory{path: path}, nil
}

const lockName = "lock"

// Lock is given up by the kernel when the process ends, however it ends.
func (f *Directory) Lock() error {
	lock, err := os.OpenFile(filepath.Join(f.path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if err == unix.EWOULDBLOCK {
			return fmt.Errorf("%s: %w", f.path, ErrLocked)
		}
		return fmt.Errorf("%s: lock: %w", f.path, err)
	}
	f.lock = lock
	return nil
}

// Unlock lets others use the folder.
func (f *Directory) Unlock() {
	if f.lock != nil {
		f.lock.Close()
		f.lock = nil
	}
}

// List names the files.
func (f *Directory) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read gives the whole file.
func (f *Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create makes an empty file.
func (f *Directory) Create(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename puts a file in the place of another, or of none.
func (f *Directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove takes a file away.
func (f *Directory) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// Sync brings the folder's own entries to the disk.
func (f *Directory) Sync() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
