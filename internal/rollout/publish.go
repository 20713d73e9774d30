package rollout

import "slices"

// Outcome is the result of a PublishRequest.
type Outcome string

// The outcomes of a publication.
const (
	Published Outcome = "published" // a majority has it
	Outdated  Outcome = "outdated"  // a version other than BaseVersion is committed
	NotWriter Outcome = "elsewhere" // this machine is not the writer; nothing was written
	Unknown   Outcome = "unknown"   // it may still be written; a retry with the same PublicationID tells
	Busy      Outcome = "busy"      // too many requests are pending
	Exhausted Outcome = "exhausted" // there is no higher version number
)

// PublishRequest asks to make a text the next version.
type PublishRequest struct {
	RequestID     uint64 // chosen by the host, passed to Host.PublishDone
	PublicationID uint64 // chosen by the publisher, the same for each retry
	BaseVersion   uint64 // the version that the text was made from
	Text          string
}

// Publish handles a request. Its outcome is reported by Host.PublishDone, during the call or later.
func (m *Machine) Publish(request PublishRequest) {
	switch {
	case !m.IsWriter():
		m.host.PublishDone(request.RequestID, NotWriter, 0)
	case len(m.term.pendingPublishes) >= maxPendingPublishes:
		m.host.PublishDone(request.RequestID, Busy, 0)
	default:
		m.term.pendingPublishes = append(m.term.pendingPublishes, request)
		m.publishNext()
	}
}

// publishNext handles pending requests until one of them is being written. Where a driver has reported a newer version than any that the
// machines know, because these have lost their storage, the committed text is first written again with a version above that: otherwise
// that driver would never take over a new one.
func (m *Machine) publishNext() {
	for m.IsWriter() && m.term.proposal == nil {
		committed := m.state.Committed
		if committed.Version > 0 && m.state.Floor > committed.Version {
			m.propose(Entry{Version: m.nextVersion(), Text: committed.Text, Recent: committed.Recent})
			return
		}
		if len(m.term.pendingPublishes) == 0 {
			return
		}
		request := m.term.pendingPublishes[0]
		m.term.pendingPublishes = m.term.pendingPublishes[1:]
		m.decide(request)
	}
}

// nextVersion returns the version above all that are known, or 0 if the numbers are used up.
func (m *Machine) nextVersion() uint64 {
	return max(m.state.Committed.Version, m.state.Floor) + 1
}

// decide answers a request, or proposes its text.
func (m *Machine) decide(request PublishRequest) {
	committed, next := m.state.Committed, m.nextVersion()
	if version := committed.publishedVersion(request.PublicationID); version > 0 {
		m.host.PublishDone(request.RequestID, Published, version)
		return
	}
	if request.BaseVersion != committed.Version {
		m.host.PublishDone(request.RequestID, Outdated, committed.Version)
		return
	}
	if next == 0 {
		m.host.PublishDone(request.RequestID, Exhausted, 0)
		return
	}
	recent := append(slices.Clone(committed.Recent), Publication{request.PublicationID, next})
	recent = recent[max(0, len(recent)-maxRecentPublications):]
	m.term.activePublish = &request
	m.propose(Entry{Version: next, Text: request.Text, Recent: recent})
}
