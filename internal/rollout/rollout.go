// Package rollout replicates the versions of a configuration that operators publish for a whole fleet. It decides which version is
// committed, which machine may write the next one, and which machine a driver polls. It does no I/O: it receives messages and the current
// time as arguments, and passes outgoing messages to a host.
//
// Three control machines store the newest version. One of them at a time is the writer, under the fencing token of a lease (package lease). A
// version is committed once a majority has it in storage. The protocol is single-decree Paxos (Synod) over one register whose values carry
// their version number: a new writer first asks a majority for the entries they have accepted, adopts the newest one, and writes it again under
// its own ballot before it writes anything else. docs/configuration.md explains why this is safe.
package rollout

import "time"

// Limits and intervals shared by control machines and their clients.
const (
	// MaxTextBytes is the maximum size of the text of a configuration.
	MaxTextBytes = 512 << 10
	// MaxNameBytes is the maximum length of the name of a driver.
	MaxNameBytes = 64
	// HeartbeatInterval is the time between two heartbeats of the writer, and between two attempts of a machine that waits for answers.
	HeartbeatInterval = 200 * time.Millisecond
	// FreshnessTimeout is how long a machine may claim to have the newest version after this was last confirmed.
	FreshnessTimeout = 700 * time.Millisecond
)

const (
	maxRecentPublications = 16      // publications listed in an entry, to recognize a retry
	maxPendingPublishes   = 16      // requests that wait while another one is being written
	maxVersionGap         = 1000000 // number of versions that a driver may be ahead of a machine; a higher version belongs to another fleet
)
