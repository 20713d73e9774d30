package node

import (
	"fmt"
	"strings"

	"passtack/internal/config"
	"passtack/internal/settings"
)

// localConfiguration holds the values of the driver's own files, over which a published version is merged.
type localConfiguration struct {
	settings     map[string]string
	operatorFile *config.File
	memoryBytes  int64
	descriptors  int
}

func newLocalConfiguration(site *Site, file *config.File) localConfiguration {
	return localConfiguration{settings: site.Settings, operatorFile: file, memoryBytes: site.Memory, descriptors: site.Descriptors}
}

// checkedVersion is a published version that the driver can use, merged over its own files.
type checkedVersion struct {
	version      uint64
	text         []byte
	settings     map[string]string
	operatorFile *config.File
	limits       publishedLimits
}

// check parses and validates a published version and merges it over the local values. It modifies neither, so that a worker may call it.
func (l localConfiguration) check(version uint64, text []byte) (*checkedVersion, error) {
	published, err := settings.ParsePublished(text)
	if err != nil {
		return nil, err
	}
	merged, err := published.MergeOver(l.settings)
	if err != nil {
		return nil, err
	}
	file, err := l.operatorFile.Recheck(methodsOf(merged))
	if err != nil {
		firstLine, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("the operator's file does not go with it: %s", firstLine)
	}
	return &checkedVersion{
		version:      version,
		text:         text,
		settings:     merged,
		operatorFile: file,
		limits:       publishedLimits{memoryBytes: published.MemoryMB << 20, sockets: published.Sockets},
	}, nil
}

// CheckPublished returns an error if a driver with these files could not use a published configuration.
func CheckPublished(site *Site, file *config.File, text []byte) error {
	_, err := newLocalConfiguration(site, file).check(0, text)
	return err
}
