package rollout

import "slices"

// Outcome is the result of a PublishRequest.
type Outcome string

// The outcomes of a publication.
const (
	Published Outcome = "published" // a majority has the version in storage
	Outdated  Outcome = "outdated"  // BaseVersion is not the committed version
	NotWriter Outcome = "elsewhere" // this machine is not the writer, and wrote nothing
	Unknown   Outcome = "unknown"   // the version may still be written; a retry with the same PublicationID shows whether it was
	Busy      Outcome = "busy"      // too many requests are pending
	Exhausted Outcome = "exhausted" // no higher version number is left
)

// PublishRequest asks the writer to publish a text as the next version.
type PublishRequest struct {
	RequestID     uint64 // chosen by the host and passed to Host.PublishDone
	PublicationID uint64 // chosen by the publisher, the same for each retry
	BaseVersion   uint64 // the version that the text is based on
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

// publishNext processes pending requests until an entry has been proposed. After the machines have lost their storage, a driver may have
// reported a newer version than the committed one. In that case the committed text is first proposed again with a version number above the
// reported one; otherwise the driver would never apply a newly published version.
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
		m.processPublish(request)
	}
}

// nextVersion returns the number after the highest known version, or 0 if the version numbers are used up.
func (m *Machine) nextVersion() uint64 {
	return max(m.state.Committed.Version, m.state.Floor) + 1
}

// processPublish answers a request, or proposes its text.
func (m *Machine) processPublish(request PublishRequest) {
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
