package rollout

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/pcg"
)

// Timing of a driver's long polls. A machine without a newer version answers after LongPollWait. A poll that is still unanswered LongPollSlack
// later has failed. If the polled machine and the next one stop answering at the worst moment, the driver learns of a committed version after
// at most 2.8 s: 2 x (LongPollWait + LongPollSlack) plus the delays between the polls.
const (
	LongPollWait  = 800 * time.Millisecond
	LongPollSlack = 500 * time.Millisecond
)

const (
	maxFailoverDelay = 100 * time.Millisecond // maximum delay before the next machine is polled; random, to spread the drivers of a failed machine
	maxRetryDelay    = 500 * time.Millisecond // maximum delay once all machines have failed in a row; the minimum is half of it
	minReturnDelay   = 10 * time.Second       // before a driver returns to its preferred machine; doubles while that machine fails
	maxReturnDelay   = 2 * time.Minute
)

// MachineSelector decides which control machine a driver polls, and when.
type MachineSelector struct {
	order       []int // indexes of the machines, the preferred one first
	random      *pcg.Source
	current     int           // index in order of the machine that is polled
	failures    int           // number of consecutive failed polls
	returnAt    time.Duration // when the preferred machine is polled again
	returnDelay time.Duration // delay before the next return to the preferred machine
}

// NewMachineSelector returns a selector that ranks the machines for a driver by rendezvous hashing, which spreads drivers evenly.
func NewMachineSelector(driver string, machines []string, seed uint64) *MachineSelector {
	s := &MachineSelector{random: pcg.New(seed), returnDelay: minReturnDelay}
	weights := make([]uint64, len(machines))
	for i, name := range machines {
		s.order = append(s.order, i)
		weights[i] = xxh3.Hash(binary.LittleEndian.AppendUint64([]byte(name), xxh3.HashString(driver)))
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return s
}

// Current returns the index of the machine to poll.
func (s *MachineSelector) Current() int { return s.order[s.current] }

// Succeeded records a successful poll. It returns to the preferred machine once the return delay has passed.
func (s *MachineSelector) Succeeded(now time.Duration) {
	s.failures = 0
	if s.current == 0 {
		s.returnDelay = minReturnDelay
	} else if now >= s.returnAt {
		s.current = 0
	}
}

// Failed records a failed poll, or the answer of a machine that is not fresh. It selects the next machine, and returns the delay before that
// one is polled.
func (s *MachineSelector) Failed(now time.Duration) time.Duration {
	if s.current == 0 {
		s.returnAt = now + s.returnDelay + s.jitter(s.returnDelay)
		s.returnDelay = min(2*s.returnDelay, maxReturnDelay)
	}
	s.current = (s.current + 1) % len(s.order)
	s.failures++
	if s.failures < len(s.order) {
		return s.jitter(maxFailoverDelay)
	}
	return maxRetryDelay/2 + s.jitter(maxRetryDelay/2)
}

// jitter returns a random duration below the limit.
func (s *MachineSelector) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float() * float64(limit))
}
