package eventloop

import "time"

// arrivalLog records the arrival times of a stream's unread input.
type arrivalLog struct {
	received     int64         // bytes read since the stream was opened
	entries      []arrival     // arrivals of the input that is not consumed, in order
	resolution   time.Duration // maximum by which the time of an entry is too early because entries were merged
	delayedSince time.Duration // time since which input may have waited in the kernel because reading was paused; 0 if none waits
}

// arrival is the time at which the input up to an offset arrived in the kernel.
type arrival struct {
	endOffset int64 // offset from the start of the stream
	arrivedAt time.Duration
}

// maxArrivals is the maximum number of entries in the log of a stream. Beyond it, entries close to each other are merged
// and keep the earliest of their times.
const maxArrivals = 64

// recordArrival records the arrival time of the n bytes that were just read.
func (s *Stream) recordArrival(n int) {
	log := &s.arrivals
	log.received += int64(n)
	log.discard(log.received - int64(len(s.Unread())))
	// If the kernel gives no time, the start of the previous iteration is the earliest possible one: that iteration would
	// have read any input that arrived before it.
	arrivedAt := s.loop.previousNow
	if age, ok := s.loop.system.LastReceiveAge(s.fd); ok {
		arrivedAt = s.loop.now - age
	}
	if log.delayedSince > 0 {
		arrivedAt = min(arrivedAt, log.delayedSince)
		if !s.loop.system.Pending(s.fd) { // the backlog has been read
			log.delayedSince = 0
		}
	}
	log.add(arrivedAt)
}

// discard removes the entries of consumed input.
func (a *arrivalLog) discard(consumed int64) {
	for len(a.entries) > 0 && a.entries[0].endOffset <= consumed {
		a.entries = append(a.entries[:0], a.entries[1:]...)
	}
}

// add records that all input received so far arrived no later than the given time.
func (a *arrivalLog) add(arrivedAt time.Duration) {
	a.entries = mergeArrivals(append(a.entries, arrival{a.received, arrivedAt}), a.resolution)
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

// mergeArrivals merges, in place, entries whose times are at most resolution apart. A merged entry has the earliest time of
// its parts.
func mergeArrivals(entries []arrival, resolution time.Duration) []arrival {
	merged := entries[:1]
	for _, a := range entries[1:] {
		if last := &merged[len(merged)-1]; a.arrivedAt <= last.arrivedAt+resolution {
			last.endOffset = a.endOffset
		} else {
			merged = append(merged, a)
		}
	}
	return merged
}

// markReadPaused records that reading is paused: input that is read later may have arrived at any time from now on.
func (s *Stream) markReadPaused() {
	if s.arrivals.delayedSince == 0 {
		s.arrivals.delayedSince = s.loop.now
	}
}

// ArrivedAt returns the time at which the last of the first n bytes of Unread arrived in the kernel. For input that arrived
// while reading was paused it returns the start of the pause. Only accepted streams record arrivals; for others it returns
// the time of this iteration.
func (s *Stream) ArrivedAt(n int) time.Duration {
	offset := s.arrivals.received - int64(len(s.Unread())-n)
	for _, a := range s.arrivals.entries {
		if offset <= a.endOffset {
			return a.arrivedAt
		}
	}
	return s.loop.now
}
