package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"passtack/driver"
)

// Drain is a member, by a number of its uid, that drains in the life that began then.
type Drain struct {
	Member  uint64
	Started time.Duration
}

// Member is what a list says of one, as far as drains are about it.
type Member struct {
	Group    driver.Group
	Started  time.Duration
	Standing driver.Standing
}

// Drains knows which members drain, from lists and from other drivers, and what of that is to be passed on. What another driver says only
// keeps from sending; the next list goes over it.
type Drains struct {
	members map[uint64]Member
	passed  map[uint64]time.Duration // started, of the life whose drain was passed on
}

// NewDrains knows none.
func NewDrains() *Drains {
	return &Drains{members: make(map[uint64]Member), passed: make(map[uint64]time.Duration)}
}

// Listed takes what a list says. True: it is news that others may not have; a list that is perhaps out of date has none.
func (d *Drains) Listed(number uint64, m Member, fresh bool) (news bool) {
	if m.Standing == driver.Gone {
		delete(d.members, number)
		delete(d.passed, number)
		return false
	}
	d.members[number] = m
	return m.Standing == driver.Draining && fresh && d.pass(number, m.Started)
}

// pass tells whether a drain was not passed on yet.
func (d *Drains) pass(number uint64, started time.Duration) bool {
	if at, was := d.passed[number]; was && at >= started {
		return false
	}
	d.passed[number] = started
	return true
}

// Heard takes what another driver says. Act: nothing new is to be sent to the member, which was thought ready; pass: others are to be told. It is
// not believed of a member that is not known, of another life of it, nor of the last one of its group that is ready.
func (d *Drains) Heard(h Drain) (act, pass bool) {
	m, known := d.members[h.Member]
	if !known || m.Started != h.Started {
		return false, false
	}
	if m.Standing == driver.Ready {
		others := 0
		for number, o := range d.members {
			if number != h.Member && o.Group == m.Group && o.Standing == driver.Ready {
				others++
			}
		}
		if others == 0 {
			return false, false
		}
		m.Standing = driver.Draining
		d.members[h.Member] = m
		act = true
	}
	return act, d.pass(h.Member, h.Started)
}

// MostDrains is how many go into one message.
const MostDrains = Most / 16

// AppendDrains writes them: 8 the member's number, 8 the start of its life in nanoseconds, each.
func AppendDrains(out []byte, all []Drain) []byte {
	for _, h := range all[:min(len(all), MostDrains)] {
		out = binary.LittleEndian.AppendUint64(out, h.Member)
		out = binary.LittleEndian.AppendUint64(out, uint64(h.Started))
	}
	return out
}

// ReadDrains reads what AppendDrains writes; false: it is nothing of that.
func ReadDrains(in []byte) (all []Drain, ok bool) {
	if len(in) == 0 || len(in)%16 != 0 || len(in)/16 > MostDrains {
		return nil, false
	}
	for ; len(in) > 0; in = in[16:] {
		all = append(all, Drain{binary.LittleEndian.Uint64(in), time.Duration(binary.LittleEndian.Uint64(in[8:]))})
	}
	return all, true
}

// Some gives addresses of drivers that are alive, drawn anew, no more than so many.
func (v *View) Some(most int) (at []driver.Peer) {
	for _, k := range v.all {
		if k != v.self && k.Status == Alive && k.reachable {
			at = append(at, k.at)
		}
	}
	for i := range at {
		j := v.chance.Below(i + 1)
		at[i], at[j] = at[j], at[i]
	}
	return slices.Clip(at[:min(most, len(at))])
}
