package persist

import (
	"encoding/binary"
	"strings"

	"passtack/internal/lease"
	"passtack/internal/storage"
)

const promiseSize = 12 // bytes: 8 for the fencing token, 4 for the version of the voter set

// PromiseChange returns the change that stores the promise of a voter for a lease.
func PromiseChange(name string, p lease.Promise) storage.Change {
	value := binary.LittleEndian.AppendUint64(make([]byte, 0, promiseSize), p.FencingToken)
	value = binary.LittleEndian.AppendUint32(value, p.VoterSetVersion)
	return storage.Change{Name: promisePrefix + name, Value: value}
}

// RestorePromises returns the stored promises by lease name.
func RestorePromises(s *storage.Store) map[string]lease.Promise {
	promises := make(map[string]lease.Promise)
	s.ForEach(func(name string, value []byte) {
		leaseName, found := strings.CutPrefix(name, promisePrefix)
		if !found || len(value) != promiseSize {
			return
		}
		promises[leaseName] = lease.Promise{
			FencingToken:    binary.LittleEndian.Uint64(value),
			VoterSetVersion: binary.LittleEndian.Uint32(value[8:]),
		}
	})
	return promises
}
