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
	Hold  = 800 * time.Millisecond
	Slack = 500 * time.Millisecond

	pause      = 100 * time.Millisecond // at most, before another machine is asked: all that one had come apart by that
	longPause  = 500 * time.Millisecond // at most and half of it at least, where all have failed in a row
	firstBack  = 10 * time.Second       // until a driver goes back to the machine that is its own, which doubles while that fails
	longerBack = 2 * time.Minute
)

// Follower decides which machine a driver asks, and when.
type Follower struct {
	order  []int // machines by number, the driver's own first
	chance *pcg.Source
	at     int // in order
	failed int // calls in a row
	backAt time.Duration
	back   time.Duration
}

// NewFollower ranks the machines for a driver by rendezvous hashing, so that drivers share them evenly.
func NewFollower(driver string, machines []string, seed uint64) *Follower {
	f := &Follower{chance: pcg.New(seed), back: firstBack}
	weight := make([]uint64, len(machines))
	for i, name := range machines {
		f.order = append(f.order, i)
		weight[i] = xxh3.Hash(binary.LittleEndian.AppendUint64([]byte(name), xxh3.HashString(driver)))
	}
	slices.SortFunc(f.order, func(a, b int) int { return cmp.Compare(weight[a], weight[b]) })
	return f
}

// Asks is the number of the machine to ask next.
func (f *Follower) Asks() int { return f.order[f.at] }

// Answered tells of a good answer. After a while with another machine the driver's own is tried again.
func (f *Follower) Answered(now time.Duration) {
	if f.failed = 0; f.at == 0 {
		f.back = firstBack
	} else if now >= f.backAt {
		f.at = 0
	}
}

// Failed tells of a call that brought nothing, or of a machine that cannot tell whether it has the newest version. It gives how long to
// wait before the next machine is asked.
func (f *Follower) Failed(now time.Duration) time.Duration {
	if f.at == 0 {
		f.backAt = now + f.back + time.Duration(f.chance.Float()*float64(f.back))
		f.back = min(2*f.back, longerBack)
	}
	f.at = (f.at + 1) % len(f.order)
	if f.failed++; f.failed < len(f.order) {
		return time.Duration(f.chance.Float() * float64(pause))
	}
	return longPause/2 + time.Duration(f.chance.Float()*float64(longPause/2))
}
