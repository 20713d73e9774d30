// Package rollout replicates the versions of a configuration that operators publish for a whole fleet. It decides which version is
// committed, which machine may write the next one, and which machine a driver polls. It does no I/O: it takes messages and times, and hands
// messages to a host.
//
// Three control machines store the newest version. One of them at a time is the writer, under the fencing token of a lease (package lease). A
// version is committed once a majority has it in storage. The protocol is Paxos's Synod with a single register whose values carry
// their version: a new writer first asks a majority what it has accepted, adopts the newest entry, and writes that again under its own ballot
// before anything else. docs/configuration.md has the argument.
package rollout

import "time"

// Bounds and periods that control machines and their clients share.
const (
	// MaxTextBytes bounds the text of a configuration.
	MaxTextBytes = 512 << 10
	// MaxNameBytes bounds the name of a driver or a machine.
	MaxNameBytes = 64
	// HeartbeatInterval is the time between two announcements of the writer, and between two attempts of a machine that waits for answers.
	HeartbeatInterval = 200 * time.Millisecond
	// FreshnessTimeout is how long a machine may claim to have the newest version after that was last confirmed.
	FreshnessTimeout = 700 * time.Millisecond
)

const (
	maxRecentPublications = 16      // written publications that an entry lists, to recognize a retry
	maxPendingPublishes   = 16      // requests that wait for the one being written
	maxVersionGap         = 1000000 // versions that a driver may be ahead of a machine; a larger gap is not of this fleet
)
