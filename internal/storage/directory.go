package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FileSystem is the access to a directory that a Store needs. Tests replace it to inject crashes and disk failures.
type FileSystem interface {
	// Lock locks the directory for exclusive use until Unlock. It returns ErrLocked if another process has locked it.
	Lock() error
	Unlock()
	// List returns the names of the regular files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates an empty file and replaces an existing file of that name.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes preceding creations, renames and removals durable.
	Sync() error
}

// File is a file that is written sequentially.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrLocked is returned if another process has locked the directory.
var ErrLocked = errors.New("directory is locked by another process")

// lockName is the name of the file whose lock protects the directory.
const lockName = "lock"

// Directory implements FileSystem with a directory of the operating system.
type Directory struct {
	path string
	lock *os.File
}

// OpenDirectory returns the existing directory at path without locking it.
func OpenDirectory(path string) (*Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", path)
	}
	return &Directory{path: path}, nil
}

// Lock acquires an advisory lock. The kernel releases it when the process ends, even if the process is killed.
func (d *Directory) Lock() error {
	lock, err := os.OpenFile(d.file(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if err == unix.EWOULDBLOCK {
			return fmt.Errorf("%s: %w", d.path, ErrLocked)
		}
		return fmt.Errorf("lock %s: %w", d.path, err)
	}
	d.lock = lock
	return nil
}

// Unlock releases the lock if it is held.
func (d *Directory) Unlock() {
	if d.lock != nil {
		d.lock.Close()
		d.lock = nil
	}
}

// List returns the names of the regular files except the lock file.
func (d *Directory) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read returns the content of a file.
func (d *Directory) Read(name string) ([]byte, error) { return os.ReadFile(d.file(name)) }

// Create creates an empty file that only the user of the process can read and write.
func (d *Directory) Create(name string) (File, error) {
	file, err := os.OpenFile(d.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename renames a file and replaces an existing file of the new name.
func (d *Directory) Rename(from, to string) error { return os.Rename(d.file(from), d.file(to)) }

// Remove deletes a file.
func (d *Directory) Remove(name string) error { return os.Remove(d.file(name)) }

// Sync makes preceding changes of the directory entries durable.
func (d *Directory) Sync() error {
	directory, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

func (d *Directory) file(name string) string { return filepath.Join(d.path, name) }
