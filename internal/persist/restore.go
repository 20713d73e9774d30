// Package persist saves the learned state of a driver in a directory and restores it at the next start. A Saver decides which values
// have to be written and prepares the commits, which a worker then executes. The decision module decides how far restored values are
// still valid.
package persist

import (
	"encoding/json"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/storage"
)

// LearnedState is the state that an earlier process of a driver saved. Times are those of the driver's clock.
type LearnedState struct {
	SavedAt        time.Duration                    // time of the last commit; 0: there was none
	Members        map[string]driver.MemberSnapshot // by uid
	SessionWrites  int                              // number of stored writes, several of which may belong to one session
	UsualLatencies []time.Duration                  // by method
	ListVersion    ListVersion
	Endpoints      [][]byte            // entries of the endpoint list, as JSON
	Requests       map[string][][]byte // encoded idempotent requests, by front
}

// Restore returns the learned state in a store. It skips values that cannot be decoded: their checksums are correct, so another version
// of the program wrote them.
func Restore(s *storage.Store) *LearnedState {
	l := &LearnedState{
		Members:  make(map[string]driver.MemberSnapshot),
		Requests: make(map[string][][]byte),
	}
	ForEachSessionWrite(s, func(driver.Session, time.Duration) { l.SessionWrites++ })
	s.ForEach(l.restore)
	return l
}

func (l *LearnedState) restore(name string, value []byte) {
	switch name {
	case usualLatenciesName:
		l.UsualLatencies = decodeLatencies(value)
		return
	case savedAtName:
		if len(value) == numberSize {
			l.SavedAt = durationAt(value, 0)
		}
		return
	case listVersionName:
		l.ListVersion = decodeListVersion(value)
		return
	}
	if uid, found := strings.CutPrefix(name, memberPrefix); found {
		if k, ok := decodeMember(value); ok {
			l.Members[uid] = k
		}
	} else if strings.HasPrefix(name, endpointPrefix) {
		if json.Valid(value) {
			l.Endpoints = append(l.Endpoints, value)
		}
	} else if rest, found := strings.CutPrefix(name, requestPrefix); found {
		front, _, _ := strings.Cut(rest, "/")
		l.Requests[front] = append(l.Requests[front], value)
	}
}
