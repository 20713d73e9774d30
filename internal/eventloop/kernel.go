package eventloop

import (
	"os"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slotmap"
)

// kernel implements System with the system calls of Linux, among them epoll.
type kernel struct {
	epollFD   int
	wakeFD    int           // eventfd, watched with handle 0
	started   time.Time     // time from which the monotonic clock is measured
	unixStart time.Duration // Unix time at started
	events    []unix.EpollEvent
}

func newKernel() (*kernel, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	k := &kernel{epollFD: epollFD, wakeFD: wakeFD, started: time.Now()}
	k.unixStart = time.Duration(k.started.UnixNano())
	event := unix.EpollEvent{Events: unix.EPOLLIN}
	return k, unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, wakeFD, &event)
}

// Clock implements System with the monotonic clock, shifted to Unix time at the start.
func (k *kernel) Clock() time.Duration { return k.unixStart + time.Since(k.started) }

// OpenDescriptors implements System by counting the entries of /proc/self/fd: descriptors of the Go runtime and inherited
// ones. The count includes the descriptor that reads the directory, which leaves a margin of one.
func (k *kernel) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	return len(entries), err
}

// Wait implements System with epoll_wait.
func (k *kernel) Wait(events []Event, maxWait time.Duration) (int, error) {
	timeoutMillis := -1
	if maxWait >= 0 {
		timeoutMillis = int(min((maxWait+time.Millisecond-1)/time.Millisecond, 60000))
	}
	if len(k.events) < len(events) {
		k.events = make([]unix.EpollEvent, len(events))
	}
	n, err := unix.EpollWait(k.epollFD, k.events[:len(events)], timeoutMillis)
	if err == unix.EINTR {
		err = nil
	}
	for i, e := range k.events[:max(n, 0)] {
		if events[i] = (Event{slotmap.Handle(e.Fd), e.Events}); e.Fd == 0 {
			var count [8]byte
			unix.Read(k.wakeFD, count[:])
		}
	}
	return max(n, 0), err
}

// Wake implements System with an eventfd.
func (k *kernel) Wake() {
	one := [8]byte{1}
	unix.Write(k.wakeFD, one[:])
}

// Watch implements System with epoll_ctl.
func (k *kernel) Watch(fd int, handle slotmap.Handle, events uint32, isNew bool) error {
	event, operation := unix.EpollEvent{Events: events, Fd: int32(handle)}, unix.EPOLL_CTL_MOD
	if isNew {
		operation = unix.EPOLL_CTL_ADD
	}
	return unix.EpollCtl(k.epollFD, operation, fd, &event)
}

// Release implements System.
func (k *kernel) Release() {
	unix.Close(k.epollFD)
	unix.Close(k.wakeFD)
}
