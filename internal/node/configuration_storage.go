package node

import (
	"encoding/binary"
	"log/slog"
	"time"

	"passtack/internal/storage"
)

const (
	maxConfigurationBytes = 4 << 20                // size limit of the folder
	storeTimeout          = 500 * time.Millisecond // time after which a version is applied although it is not stored yet
	configurationRecord   = "configuration"        // name of the record: the version in 8 bytes, little endian, then the text
	versionBytes          = 8
)

// configurationStorage stores the version in force in a folder.
type configurationStorage struct {
	store          *storage.Store
	failureWarning logLimiter
}

// openConfigurationStorage returns nil if the folder cannot be used.
func (n *Node) openConfigurationStorage(folder string) *configurationStorage {
	store, _ := n.openDataDirectory(dataDirectory{
		path: folder, maxSize: maxConfigurationBytes,
		unusableEvent: "configuration folder unusable", damagedEvent: "configuration file corrupt", unusableCounter: counterFolderUnusable,
	})
	if store == nil {
		return nil
	}
	return &configurationStorage{store: store}
}

// read returns the stored version, if there is one.
func (s *configurationStorage) read() (version uint64, text []byte, found bool) {
	s.store.ForEach(func(name string, value []byte) {
		if name == configurationRecord && len(value) >= versionBytes {
			version, text, found = binary.LittleEndian.Uint64(value), value[versionBytes:], true
		}
	})
	return version, text, found
}

// write stores a version. It blocks, so only a worker may call it.
func (s *configurationStorage) write(version uint64, text []byte) error {
	value := append(binary.LittleEndian.AppendUint64(nil, version), text...)
	return s.store.Commit([]storage.Change{{Name: configurationRecord, Value: value}})
}

// logFailure logs a failed write, at most one in logLimitInterval.
func (s *configurationStorage) logFailure(version uint64, cause error, now time.Duration) {
	if s.failureWarning.allow(now) {
		slog.Warn("configuration version not stored", "version", version, "cause", cause)
	}
}

func (s *configurationStorage) close() { s.store.Close() }
