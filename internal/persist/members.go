package persist

import (
	"encoding/binary"
	"math"
	"time"

	"passtack/driver"
)

const (
	numberSize = 8              // bytes of each stored number, which is little-endian
	memberSize = 4 * numberSize // bytes
)

func appendDuration(out []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(out, uint64(d))
}

// durationAt returns the stored number with index i, counted from 0.
func durationAt(in []byte, i int) time.Duration {
	return time.Duration(binary.LittleEndian.Uint64(in[numberSize*i:]))
}

func encodeMember(k driver.MemberSnapshot) []byte {
	out := make([]byte, 0, memberSize)
	out = appendDuration(out, k.Position)
	out = appendDuration(out, k.Replica)
	out = appendDuration(out, k.Timed)
	return binary.LittleEndian.AppendUint64(out, math.Float64bits(k.Ratio))
}

// decodeMember decodes the value of a member; ok is false if encodeMember cannot have written it.
func decodeMember(in []byte) (k driver.MemberSnapshot, ok bool) {
	if len(in) != memberSize {
		return k, false
	}
	k = driver.MemberSnapshot{
		Position: durationAt(in, 0),
		Replica:  durationAt(in, 1),
		Timed:    durationAt(in, 2),
		Ratio:    math.Float64frombits(binary.LittleEndian.Uint64(in[3*numberSize:])),
	}
	return k, k.Ratio > 0 && !math.IsInf(k.Ratio, 0)
}

// minProgress is the least advance of a position or time of a member that is saved.
const minProgress = 500 * time.Millisecond

func progressed(old, current driver.MemberSnapshot) bool {
	return current.Position-old.Position > minProgress ||
		current.Replica-old.Replica > minProgress ||
		current.Timed-old.Timed > minProgress
}

func encodeLatencies(latencies []time.Duration) (out []byte) {
	for _, d := range latencies {
		out = appendDuration(out, d)
	}
	return out
}

func decodeLatencies(in []byte) (latencies []time.Duration) {
	for i := range len(in) / numberSize {
		latencies = append(latencies, durationAt(in, i))
	}
	return latencies
}

// latenciesChanged reports whether a latency differs by more than a tenth from its stored value.
func latenciesChanged(stored []byte, latencies []time.Duration) bool {
	old := decodeLatencies(stored)
	for i, d := range latencies {
		if len(stored) != numberSize*len(latencies) || (old[i]-d).Abs() > d/10 {
			return true
		}
	}
	return false
}
