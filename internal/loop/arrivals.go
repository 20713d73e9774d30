package loop

import "time"

// arrivalLog records when the unread input of a stream arrived.
type arrivalLog struct {
	received     int64         // bytes read since the stream was opened
	entries      []arrival     // of the input that is not consumed, in order
	resolution   time.Duration // by how much an entry's time may be too early, since entries were merged
	delayedSince time.Duration // since when input may have waited in the kernel because reading was paused; 0 if none does
}

// arrival is the time at which the input up to an offset arrived.
type arrival struct {
	upTo int64 // offset from the start of the stream
	at   time.Duration
}

// maxArrivals is the most entries in the log of a stream. Beyond it, entries close to each other are merged and keep the
// earliest of their times.
const maxArrivals = 64

// recordArrival records when the n bytes arrived that were just read.
func (s *Stream) recordArrival(n int) {
	log := &s.arrivals
	log.received += int64(n)
	log.discard(log.received - int64(len(s.Unread())))
	// Without a time from the kernel: the previous iteration would have read anything that arrived before it.
	at := s.loop.previous
	if age, ok := s.loop.system.LastReceiveAge(s.fd); ok {
		at = s.loop.now - age
	}
	if log.delayedSince > 0 {
		at = min(at, log.delayedSince)
		if !s.loop.system.Pending(s.fd) { // the backlog has been read
			log.delayedSince = 0
		}
	}
	log.add(at)
}

// discard removes the entries of input that was consumed.
func (a *arrivalLog) discard(consumed int64) {
	for len(a.entries) > 0 && a.entries[0].upTo <= consumed {
		a.entries = append(a.entries[:0], a.entries[1:]...)
	}
}

// add records that the input received so far arrived no later than the given time.
func (a *arrivalLog) add(at time.Duration) {
	a.entries = mergeArrivals(append(a.entries, arrival{a.received, at}), a.resolution)
	for len(a.entries) > maxArrivals {
		a.resolution = max(2*a.resolution, time.Millisecond)
		a.entries = mergeArrivals(a.entries, a.resolution)
	}
}

// reset empties the log once all input is consumed.
func (a *arrivalLog) reset() {
	a.resolution = 0
	if a.entries = a.entries[:0]; cap(a.entries) > 4 {
		a.entries = nil
	}
}

// mergeArrivals merges, in place, entries that are at most resolution apart. A merged entry has the earliest time.
func mergeArrivals(entries []arrival, resolution time.Duration) []arrival {
	merged := entries[:1]
	for _, a := range entries[1:] {
		if last := &merged[len(merged)-1]; a.at <= last.at+resolution {
			last.upTo = a.upTo
		} else {
			merged = append(merged, a)
		}
	}
	return merged
}

// markReadPaused notes that reading is paused: input that is read later may have arrived at any time from now on.
func (s *Stream) markReadPaused() {
	if s.arrivals.delayedSince == 0 {
		s.arrivals.delayedSince = s.loop.now
	}
}

// ArrivedAt returns when the last of the first n bytes of Unread arrived in the kernel. For input that arrived while reading was
// paused it returns when the pause began. Only accepted streams record this; others get the time of this iteration.
func (s *Stream) ArrivedAt(n int) time.Duration {
	offset := s.arrivals.received - int64(len(s.Unread())-n)
	for _, a := range s.arrivals.entries {
		if offset <= a.upTo {
			return a.at
		}
	}
	return s.loop.now
}
