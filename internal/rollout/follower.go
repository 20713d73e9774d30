package rollout

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/pcg"
)

// A driver that has the newest version asks a machine to tell the next one; the machine holds the answer back for Hold. What is not
// answered Slack later is given up, and another machine asked. So a driver whose machine falls silent at the worst moment, and the one that it
// asks then as well, hears of a version 2 x (Hold + Slack) + the pauses between = 2.8 s after it counts at the latest, of 4 s.
const (
	LongPollWait  = 800 * time.Millisecond
	LongPollSlack = 500 * time.Millisecond

	maxFailoverDelay = 100 * time.Millisecond // at most, before another machine is asked: all that one had come apart by that
	maxRetryDelay    = 500 * time.Millisecond // at most and half of it at least, where all have failed in a row
	minReturnDelay   = 10 * time.Second       // until a driver goes back to the machine that is its own, which doubles while that fails
	maxReturnDelay   = 2 * time.Minute
)

// Follower decides which machine a driver asks, and when.
type MachineSelector struct {
	order       []int // machines by number, the driver's own first
	random      *pcg.Source
	position    int // in order
	failures    int // calls in a row
	returnAt    time.Duration
	returnDelay time.Duration
}

// NewFollower ranks the machines for a driver by rendezvous hashing, so that drivers share them evenly.
func NewMachineSelector(driver string, machines []string, seed uint64) *MachineSelector {
	f := &MachineSelector{random: pcg.New(seed), returnDelay: minReturnDelay}
	weight := make([]uint64, len(machines))
	for i, name := range machines {
		f.order = append(f.order, i)
		weight[i] = xxh3.Hash(binary.LittleEndian.AppendUint64([]byte(name), xxh3.HashString(driver)))
	}
	slices.SortFunc(f.order, func(a, b int) int { return cmp.Compare(weight[a], weight[b]) })
	return f
}

// Asks is the number of the machine to ask next.
func (f *MachineSelector) Current() int { return f.order[f.position] }

// Answered tells of a good answer. After a while with another machine the driver's own is tried again.
func (f *MachineSelector) Succeeded(now time.Duration) {
	if f.failures = 0; f.position == 0 {
		f.returnDelay = minReturnDelay
	} else if now >= f.returnAt {
		f.position = 0
	}
}

// Failed tells of a call that brought nothing, or of a machine that cannot tell whether it has the newest version. It gives how long to
// wait before the next machine is asked.
func (f *MachineSelector) Failed(now time.Duration) time.Duration {
	if f.position == 0 {
		f.returnAt = now + f.returnDelay + time.Duration(f.random.Float()*float64(f.returnDelay))
		f.returnDelay = min(2*f.returnDelay, maxReturnDelay)
	}
	f.position = (f.position + 1) % len(f.order)
	if f.failures++; f.failures < len(f.order) {
		return time.Duration(f.random.Float() * float64(maxFailoverDelay))
	}
	return maxRetryDelay/2 + time.Duration(f.random.Float()*float64(maxRetryDelay/2))
}
