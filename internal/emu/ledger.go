package emu

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Quantities that a ledger counts. Those of members and of discovery are counted when they occur, those of clients
// when the RPC began.
const (
	Connects            = "connects"    // connections that a member accepted
	RejectedConnections = "turned_away" // connections rejected over the limit
	Handshakes          = "handshakes"  // connections that a member let in
	MaxOpen             = "open"        // largest number of connections held at once
	Attempts            = "attempts"
	Probes              = "probes"
	ExploratoryWrites   = "scouts"     // writes at members that were never primary
	FormerPrimaryWrites = "stale"      // writes at members that were primary before
	LaggingReads        = "behind"     // reads rejected by members that are too far behind
	DrainedAttempts     = "drained"    // attempts at members that are draining
	QueueFull           = "full"       // attempts rejected because the queue was full
	Lists               = "lists"      // requests for the endpoint list or its changes
	RequestedUtility    = "worth"      // utility of RPCs, counted at the first try
	ServedUtility       = "got"        // utility of RPCs that were answered, by the second in which they began
	ColdLoad            = "cold"       // largest part of its cold capacity that a member was sent in a window; at 1 it crashes
	PushedBackTries     = "pushedback" // tries that were pushed back
	UnansweredTries     = "lost"       // tries without an answer
)

type ledgerKey struct{ quantity, place string }

// Ledger counts events by second and place.
type Ledger struct {
	from    time.Duration
	seconds []map[ledgerKey]float64
}

// NewLedger returns a ledger whose first second begins at the given time.
func NewLedger(from time.Duration) *Ledger { return &Ledger{from: from} }

func (l *Ledger) secondAt(when time.Duration) map[ledgerKey]float64 {
	n := max(int((when-l.from)/time.Second), 0)
	for len(l.seconds) <= n {
		l.seconds = append(l.seconds, make(map[ledgerKey]float64))
	}
	return l.seconds[n]
}

// Add adds to the count of a place.
func (l *Ledger) Add(what, where string, when time.Duration, n float64) {
	l.secondAt(when)[ledgerKey{what, where}] += n
}

// Max keeps the largest value within a second.
func (l *Ledger) Max(what, where string, when time.Duration, n float64) {
	in := l.secondAt(when)
	in[ledgerKey{what, where}] = max(in[ledgerKey{what, where}], n)
}

// Seconds returns the number of seconds with entries.
func (l *Ledger) Seconds() int { return len(l.seconds) }

// Second returns the sum over all places in one second.
func (l *Ledger) Second(what string, n int) (sum float64) {
	if n < 0 || n >= len(l.seconds) {
		return 0
	}
	for e, v := range l.seconds[n] {
		if e.quantity == what {
			sum += v
		}
	}
	return sum
}

// Peak returns the highest count of a single place in one second, from one second up to but not including another, and
// the name of that place. Ties go to the first name.
func (l *Ledger) Peak(what string, from, to int) (most float64, where string) {
	for n := max(from, 0); n < min(to, len(l.seconds)); n++ {
		for _, e := range slices.SortedFunc(maps.Keys(l.seconds[n]), byPlace) {
			if v := l.seconds[n][e]; e.quantity == what && v > most {
				most, where = v, e.place
			}
		}
	}
	return most, where
}

func byPlace(a, b ledgerKey) int {
	return strings.Compare(a.quantity+" "+a.place, b.quantity+" "+b.place)
}

// PeakTotal returns the highest sum over all places in one second.
func (l *Ledger) PeakTotal(what string, from, to int) (most float64) {
	for n := max(from, 0); n < min(to, len(l.seconds)); n++ {
		most = max(most, l.Second(what, n))
	}
	return most
}

// Sum returns the sum over all places in those seconds.
func (l *Ledger) Sum(what string, from, to int) (sum float64) {
	for n := max(from, 0); n < min(to, len(l.seconds)); n++ {
		sum += l.Second(what, n)
	}
	return sum
}

// SumAt returns the sum of one place in those seconds.
func (l *Ledger) SumAt(what, where string, from, to int) (sum float64) {
	for n := max(from, 0); n < min(to, len(l.seconds)); n++ {
		sum += l.seconds[n][ledgerKey{what, where}]
	}
	return sum
}
