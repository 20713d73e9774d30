package rollout

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/pcg"
)

// Timing of a driver's long polls. A machine holds its answer back for LongPollWait; a poll without an answer LongPollSlack later has failed.
// If a driver's machine and the next one fall silent at the worst moment, the driver learns of a committed version after at most
// 2 x (LongPollWait + LongPollSlack) and the delays between, 2.8 s.
const (
	LongPollWait  = 800 * time.Millisecond
	LongPollSlack = 500 * time.Millisecond
)

const (
	maxFailoverDelay = 100 * time.Millisecond // before the next machine is polled; random, to spread the drivers of a failed machine
	maxRetryDelay    = 500 * time.Millisecond // the same once all machines have failed in a row; at least half of it
	minReturnDelay   = 10 * time.Second       // until a driver returns to its own machine; doubles while that fails
	maxReturnDelay   = 2 * time.Minute
)

// MachineSelector decides which control machine a driver polls, and when.
type MachineSelector struct {
	order       []int // indexes of the machines, the driver's own first
	random      *pcg.Source
	position    int           // in order, of the machine polled now
	failures    int           // in a row
	returnAt    time.Duration // when the driver's own machine is polled again
	returnDelay time.Duration // the next delay until that
}

// NewMachineSelector ranks the machines for a driver by rendezvous hashing, which spreads drivers evenly.
func NewMachineSelector(driver string, machines []string, seed uint64) *MachineSelector {
	s := &MachineSelector{random: pcg.New(seed), returnDelay: minReturnDelay}
	weight := make([]uint64, len(machines))
	for i, name := range machines {
		s.order = append(s.order, i)
		weight[i] = xxh3.Hash(binary.LittleEndian.AppendUint64([]byte(name), xxh3.HashString(driver)))
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(weight[a], weight[b]) })
	return s
}

// Current returns the index of the machine to poll.
func (s *MachineSelector) Current() int { return s.order[s.position] }

// Succeeded records a good answer. It returns to the driver's own machine once the delay for that has passed.
func (s *MachineSelector) Succeeded(now time.Duration) {
	s.failures = 0
	if s.position == 0 {
		s.returnDelay = minReturnDelay
	} else if now >= s.returnAt {
		s.position = 0
	}
}

// Failed records a failed poll, or the answer of a machine that cannot tell whether it has the newest version. It selects the next
// machine, and returns how long to wait before polling that.
func (s *MachineSelector) Failed(now time.Duration) time.Duration {
	if s.position == 0 {
		s.returnAt = now + s.returnDelay + s.jitter(s.returnDelay)
		s.returnDelay = min(2*s.returnDelay, maxReturnDelay)
	}
	s.position = (s.position + 1) % len(s.order)
	s.failures++
	if s.failures < len(s.order) {
		return s.jitter(maxFailoverDelay)
	}
	return maxRetryDelay/2 + s.jitter(maxRetryDelay/2)
}

// jitter returns a random duration below the given one.
func (s *MachineSelector) jitter(below time.Duration) time.Duration {
	return time.Duration(s.random.Float() * float64(below))
}
