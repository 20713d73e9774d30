package eventloop

import (
	"log/slog"
	"time"

	"passtack/internal/slotmap"
)

// descriptorLimits limits the number of descriptors that the loop has open.
type descriptorLimits struct {
	inherited int      // number of descriptors that were open before the loop was created
	max       int      // maximum number that the loop may have open
	peak      int      // highest number that the loop has had open
	reserved  int      // part of max that only DialReserved may use
	onFreed   []func() // callbacks to run once, after the next descriptor is closed
}

// watchRetryDelay is the delay after which the loop repeats a Watch that failed for lack of kernel memory.
const watchRetryDelay = 10 * time.Millisecond

// SetLimits replaces the limits that were passed to New. Descriptors and buffers beyond the new limits are kept until they
// are closed or released.
func (l *Loop) SetLimits(maxDescriptors, maxExtraBytes int) {
	l.descriptors.max, l.memory.maxExtraBytes = max(maxDescriptors-l.descriptors.inherited, 1), maxExtraBytes
	l.descriptors.reserved = min(2, l.descriptors.max/16)
	if size := max(512, l.descriptors.max+1); len(l.events) < size {
		l.events = make([]Event, size)
	}
}

// MaxDescriptors returns the maximum number of descriptors that the loop may have open.
func (l *Loop) MaxDescriptors() int { return l.descriptors.max }

// hasCapacity reports whether one more descriptor may be opened while the given number stays reserved. If none is free, it
// first tries to close an idle connection.
func (l *Loop) hasCapacity(reserved int) bool {
	return l.sources.Len() < l.descriptors.max-reserved || l.EvictIdle() && l.sources.Len() < l.descriptors.max-reserved
}

// DescriptorCounts returns the number of descriptors that the process has open, and the highest number so far.
func (l *Loop) DescriptorCounts() (open, peak int) {
	return l.sources.Len() + l.descriptors.inherited, l.descriptors.peak + l.descriptors.inherited
}

// register adds a descriptor to the loop and starts to watch it for the given events.
func (l *Loop) register(fd int, s source, events uint32) (slotmap.Handle, error) {
	h := l.sources.Insert(s)
	l.descriptors.peak = max(l.descriptors.peak, l.sources.Len())
	if err := l.system.Watch(fd, h, events, true); err != nil {
		l.sources.Remove(h)
		return 0, err
	}
	return h, nil
}

// modify changes the events that a descriptor is watched for. It retries after a failure, which is caused by a lack of kernel
// memory: without a retry the descriptor would never be served again.
func (l *Loop) modify(fd int, h slotmap.Handle, events uint32) {
	err := l.system.Watch(fd, h, events, false)
	if err == nil {
		return
	}
	slog.Warn("poll_change_failed", "cause", err)
	l.At(l.now+watchRetryDelay, func() {
		if s := l.sources.Get(h); s != nil {
			s.updateInterest()
		}
	})
}

// unregister closes a descriptor with closeFD and resumes the listeners that wait for a free descriptor.
func (l *Loop) unregister(fd int, h slotmap.Handle, closeFD func(fd int)) {
	l.sources.Remove(h)
	closeFD(fd)
	waiting := l.descriptors.onFreed
	l.descriptors.onFreed = nil
	for _, resume := range waiting {
		l.Defer(resume)
	}
}
