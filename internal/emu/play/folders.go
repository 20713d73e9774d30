package play

import (
	"fmt"
	"os"
	"path/filepath"

	"passtack/internal/pcg"
)

// Folders are those in which the drivers of a script keep what they learn, one each.
type Folders struct {
	root   string
	chance *pcg.Source
}

// NewFolders makes empty ones under a folder.
func NewFolders(root string, drivers int, seed uint64) (*Folders, error) {
	f := &Folders{root, pcg.New(seed)}
	for i := range drivers {
		if err := os.MkdirAll(f.Path(i), 0o700); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Path is where a driver keeps what it learns.
func (f *Folders) Path(driver int) string { return filepath.Join(f.root, Driver(driver)+"-state") }

func (f *Folders) copyPath(driver int) string {
	return filepath.Join(f.root, Driver(driver)+"-copy")
}

// how a folder is found by the next start.
const (
	keptFolder    = "kept"
	emptiedFolder = "emptied"
	olderFolder   = "older"   // as the driver found it when it started last
	flippedFolder = "flipped" // one bit of one file
)

// Treat does to a folder what the script says, before its driver starts again.
func (f *Folders) Treat(driver int, how string) error {
	path := f.Path(driver)
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
		return copyFolder(f.copyPath(driver), path)
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
	}
	return nil
}

// Starts keeps a copy of what a driver finds, to be put back later.
func (f *Folders) Starts(driver int) error {
	if err := os.RemoveAll(f.copyPath(driver)); err != nil {
		return err
	}
	return copyFolder(f.Path(driver), f.copyPath(driver))
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

// Operator is the operator's file of a driver that has a folder: what the script gives all of them, and the folder.
func (f *Folders) Operator(s *Script, driver int) ([]byte, error) {
	var text []byte
	if s.Operator != "" {
		var err error
		if text, err = os.ReadFile(s.Operator); err != nil {
			return nil, err
		}
	}
	return fmt.Appendf(text, "\nstate {\n  folder = %q\n  every  = %q\n}\n", f.Path(driver), s.SaveEvery), nil
}
