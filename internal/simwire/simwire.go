// Package simwire implements the simulator's binary protocol and hosts the instances of the module that the simulator starts.
// It makes no decisions: each event becomes a call of the module, each call of the host by the module becomes a record.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"passtack/driver"
	"passtack/internal/settings"
	"passtack/rules"
)

const (
	maxFrame    = 1 << 30 // bytes; a longer frame is treated as corrupt
	maxLists    = 16      // lists that a process keeps, numbered from 0
	entryLength = 28      // bytes of an entry in a list
	maxWake     = 71 * time.Minute
)

// Codes of the events, which the simulator sends.
const (
	evSpawn, evList, evIncoming, evAccepted, evEnded, evAbandoned = 10, 20, 30, 40, 50, 60
	evFired, evPong, evPeer, evDetach, evPool                     = 70, 80, 90, 100, 110
)

// Codes of the acts, which are sent to the simulator.
const (
	actCloseIdle, actFault, actTell, actLog, actWatch, actProbe  = 10, 20, 30, 40, 50, 60
	actWake, actFetch, actPushBack, actAbort, actCall, actCancel = 70, 80, 90, 100, 110, 120
)

var le = binary.LittleEndian

// reader decodes the fields of one record. If the record is too short, reads return zeros and truncated is set, so that a
// single check after the last field is enough.
type reader struct {
	rest      []byte
	truncated bool
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.rest) {
		r.truncated, r.rest = true, nil
		return make([]byte, min(max(n, 0), 64))
	}
	field := r.rest[:n]
	r.rest = r.rest[n:]
	return field
}

func (r *reader) u8() uint8                    { return r.bytes(1)[0] }
func (r *reader) u16() uint16                  { return le.Uint16(r.bytes(2)) }
func (r *reader) u32() uint32                  { return le.Uint32(r.bytes(4)) }
func (r *reader) u64() uint64                  { return le.Uint64(r.bytes(8)) }
func (r *reader) f32() float64                 { return float64(math.Float32frombits(r.u32())) }
func (r *reader) duration() time.Duration      { return time.Duration(r.u32()) * time.Microsecond }
func (r *reader) readText(n int) (part []byte) { return r.bytes(n) }

func (r *reader) member() driver.Member {
	b := r.bytes(6)
	return driver.Member(le.Uint32(b)) | driver.Member(le.Uint16(b[4:]))<<32
}

func (r *reader) report(into []float64) []float64 {
	into = into[:0]
	for n := r.u8(); n > 0 && !r.truncated; n-- {
		into = append(into, r.f32())
	}
	return into
}

// outcomes maps the codes of outcomes in the protocol to the outcomes of the module.
var outcomes = map[uint8]driver.Outcome{
	0: driver.OK, 13: driver.Failed, 8: driver.Full, 4: driver.TimedOut, 14: driver.NoConnection,
	10: driver.Broken, 1: driver.Cancelled, 9: driver.NotSent, 5: driver.Misdirected,
}

// instance is one instance of the module and implements its host.
type instance struct {
	table     *table
	id        uint32
	baseClock uint64 // value of the simulator's clock at which log positions start, in microseconds
	module    *rules.Router
}

// table holds the instances and the reply to the batch in progress.
type table struct {
	clock     uint64
	instances map[uint32]*instance
	lists     [maxLists][]byte
	reply     []byte
	actCount  uint32
	report    []float64
}

// Serve reads batches of events and writes a reply to each until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, 1<<16)
	t := &table{instances: make(map[uint32]*instance)}
	var head [20]byte
	var frame []byte
	for {
		if _, err := io.ReadFull(input, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch header cut short: %w", err)
		}
		t.clock = le.Uint64(head[:])
		size, batch := le.Uint32(head[8:]), le.Uint32(head[16:])
		if size < 8 || size > maxFrame {
			return fmt.Errorf("batch %d: impossible length %d", batch, size)
		}
		size -= 8
		if uint32(cap(frame)) < size {
			frame = make([]byte, size)
		}
		frame = frame[:size]
		if n, err := io.ReadFull(input, frame); err != nil {
			return fmt.Errorf("batch %d: %d of %d bytes came: %w", batch, n, size, err)
		}
		t.reply = append(t.reply[:0], make([]byte, 12)...)
		t.actCount = 0
		if err := t.batch(frame, le.Uint32(head[12:])); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		le.PutUint32(t.reply, uint32(len(t.reply)-4))
		le.PutUint32(t.reply[4:], t.actCount)
		le.PutUint32(t.reply[8:], batch)
		if _, err := out.Write(t.reply); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
	}
}

func (t *table) batch(frame []byte, records uint32) error {
	at := 0
	for n := uint32(0); n < records; n++ {
		if len(frame)-at < 5 {
			return fmt.Errorf("record %d at byte %d: header cut short", n, at)
		}
		code, size := frame[at], le.Uint32(frame[at+1:])
		if uint64(size) > uint64(len(frame)-at-5) {
			return fmt.Errorf("record %d at byte %d: %d bytes claimed, %d left", n, at, size, len(frame)-at-5)
		}
		if err := t.event(code, reader{rest: frame[at+5 : at+5+int(size)]}); err != nil {
			return fmt.Errorf("record %d at byte %d, code %d: %w", n, at, code, err)
		}
		at += 5 + int(size)
	}
	if at != len(frame) {
		return fmt.Errorf("%d bytes after the last record", len(frame)-at)
	}
	return nil
}

var errTruncated = errors.New("fields run past the record")

func (t *table) event(code uint8, r reader) error {
	if code == evPool {
		listNumber, entries := r.u16(), r.u32()
		if listNumber >= maxLists {
			return fmt.Errorf("list number %d is out of range", listNumber)
		}
		if r.truncated || uint64(entries)*entryLength != uint64(len(r.rest)) {
			return fmt.Errorf("%d entries do not fill %d bytes", entries, len(r.rest))
		}
		t.lists[listNumber] = append([]byte(nil), r.rest...)
		return nil
	}
	if code < evSpawn || code > evPool || code%10 != 0 {
		return nil // unknown code of a later protocol version, skipped by its length
	}
	id := r.u32()
	if r.truncated {
		return errTruncated
	}
	if code == evSpawn {
		seed, length := r.u64(), r.u32()
		text := r.readText(int(length))
		if r.truncated {
			return errTruncated
		}
		values := settings.ParseLines(string(text))
		i := &instance{table: t, id: id}
		i.baseClock, _ = strconv.ParseUint(values["family_info.base_time_us"], 10, 64)
		t.instances[id] = i
		i.module = rules.New(i, seed, values)
		return nil
	}
	i := t.instances[id]
	if i == nil {
		return fmt.Errorf("instance %d is unknown", id)
	}
	switch code {
	case evDetach:
		delete(t.instances, id)
	case evList:
		kind, _, listNumber := r.u8(), r.u32(), r.u16()
		if r.truncated {
			return errTruncated
		}
		if kind > 3 || kind < 3 && listNumber >= maxLists {
			return fmt.Errorf("list kind %d with list number %d, want a kind of at most 3 and a number below %d", kind, listNumber, maxLists)
		}
		i.list(driver.ListKind(kind), listNumber)
	case evIncoming:
		rpc, _ := driver.RPC(r.u32()), r.u32()
		tenant, method, group := driver.Tenant(r.u16()), driver.Method(r.u16()), driver.Group(r.f32())
		options, deadline, session, sinceWriteMS := r.u8(), r.u64(), driver.Session(r.u64()), r.f32()
		if r.truncated {
			return errTruncated
		}
		sinceWrite := time.Duration(sinceWriteMS * float64(time.Millisecond))
		i.module.Take(rules.Request{
			ID: rpc, Method: method, Group: group, Tenant: tenant, Session: session,
			ArrivedAt: i.Now(), Deadline: i.sinceBase(deadline), SinceWrite: sinceWrite, ClientRetry: options&2 != 0,
		})
	case evEnded:
		rpc, kind, attempt, took := driver.RPC(r.u32()), r.u8(), int(r.u16()), r.duration()
		complete, positionAndRole, m := r.u8() != 0, r.u32(), r.member()
		t.report = r.report(t.report)
		if r.truncated {
			return errTruncated
		}
		outcome, ok := outcomes[kind]
		if !ok {
			return fmt.Errorf("outcome %d is unknown", kind)
		}
		position := time.Duration(positionAndRole/4) * time.Millisecond
		i.module.AttemptEnded(rpc, attempt, m, outcome, took, complete, position, driver.Role(positionAndRole&3), t.report)
	case evAbandoned:
		rpc := driver.RPC(r.u32())
		if r.truncated {
			return errTruncated
		}
		i.module.ClientLeft(rpc)
	case evFired:
		i.module.Wake()
	case evPong:
		kind, m, took := r.u8(), r.member(), r.duration()
		t.report = r.report(t.report)
		if r.truncated {
			return errTruncated
		}
		i.module.HealthCheckEnded(m, kind == 0, took, t.report)
	case evPeer:
		from, length := driver.Peer(r.u32()), r.u16()
		text := r.readText(int(length))
		if r.truncated {
			return errTruncated
		}
		i.module.PeerMessage(from, text)
	case evAccepted: // ignored: no method streams its answer here
	}
	return nil
}

func (i *instance) list(kind driver.ListKind, listNumber uint16) {
	i.module.ListBegins(kind)
	if kind != driver.NoList {
		for r := (reader{rest: i.table.lists[listNumber]}); len(r.rest) > 0; {
			m, zone, _, group := r.member(), driver.Zone(r.u16()), r.u8(), driver.Group(r.u16())
			state, size, startedAt := driver.MemberState(r.u8()), r.f32(), r.u64()
			started := driver.LongAgo
			if startedAt != 0 {
				started = i.sinceBase(startedAt)
			}
			i.module.EndpointListed(m, zone, group, state, size, started, r.f32() == 1)
		}
	}
	i.module.ListEnds(kind)
}

// sinceBase converts a value of the simulator's clock to the time since baseClock.
func (i *instance) sinceBase(clock uint64) time.Duration {
	return time.Duration(int64(clock-i.baseClock)) * time.Microsecond
}

// beginAct starts a record and returns the offset of its length, which endAct fills in.
func (i *instance) beginAct(code uint8) int {
	t := i.table
	t.actCount++
	t.reply = append(t.reply, code, 0, 0, 0, 0)
	t.reply = le.AppendUint32(t.reply, i.id)
	return len(t.reply) - 8
}

func (i *instance) endAct(lengthOffset int) {
	le.PutUint32(i.table.reply[lengthOffset:], uint32(len(i.table.reply)-lengthOffset-4))
}

func (i *instance) put32(v uint32) { i.table.reply = le.AppendUint32(i.table.reply, v) }

func (i *instance) putMember(m driver.Member) {
	i.table.reply = le.AppendUint32(i.table.reply, uint32(m))
	i.table.reply = le.AppendUint16(i.table.reply, uint16(m>>32))
}

func (i *instance) putText(text []byte) {
	text = text[:min(len(text), math.MaxUint16)]
	i.table.reply = le.AppendUint16(i.table.reply, uint16(len(text)))
	i.table.reply = append(i.table.reply, text...)
}

// micros converts a duration for the wire, limited to maxWake.
func micros(d time.Duration) uint32 {
	return uint32(max(0, min(d, maxWake)) / time.Microsecond)
}

// Now implements driver.Host.
func (i *instance) Now() time.Duration { return i.sinceBase(i.table.clock) }

// Attempt implements driver.Host. It needs no write deadline: in this protocol an attempt is sent at once, and where repeats are
// concerned, an attempt that was sent has reached its member.
func (i *instance) Attempt(rpc driver.RPC, to driver.Member, _, timeout time.Duration) {
	lengthOffset := i.beginAct(actCall)
	i.put32(uint32(rpc))
	i.putMember(to)
	i.put32(micros(timeout))
	i.endAct(lengthOffset)
}

// Cancel implements driver.Host.
func (i *instance) Cancel(rpc driver.RPC, attempt int) {
	lengthOffset := i.beginAct(actCancel)
	i.put32(uint32(rpc))
	i.table.reply = le.AppendUint16(i.table.reply, uint16(attempt))
	i.endAct(lengthOffset)
}

// PushBack implements driver.Host.
func (i *instance) PushBack(rpc driver.RPC, retryAfter time.Duration) {
	lengthOffset := i.beginAct(actPushBack)
	i.put32(uint32(rpc))
	i.put32(micros(retryAfter))
	i.endAct(lengthOffset)
}

// Abort implements driver.Host.
func (i *instance) Abort(rpc driver.RPC) {
	lengthOffset := i.beginAct(actAbort)
	i.put32(uint32(rpc))
	i.endAct(lengthOffset)
}

// putMemberAct appends an act that consists of a member only.
func (i *instance) putMemberAct(code uint8, m driver.Member) {
	lengthOffset := i.beginAct(code)
	i.putMember(m)
	i.endAct(lengthOffset)
}

// Probe implements driver.Host.
func (i *instance) Probe(m driver.Member) { i.putMemberAct(actProbe, m) }

// CloseIdle implements driver.Host.
func (i *instance) CloseIdle(m driver.Member) { i.putMemberAct(actCloseIdle, m) }

// FetchList implements driver.Host.
func (i *instance) FetchList() { i.endAct(i.beginAct(actFetch)) }

// SetAvailable implements driver.Host. There is nothing to do, since the simulator keeps the connections.
func (i *instance) SetAvailable(driver.Member, bool) {}

// Forget implements driver.Host. There is nothing to do, since a member is identified by its address here.
func (i *instance) Forget(driver.Member) {}

// SessionWrote implements driver.Host. There is nothing to do, since no state outlives an instance.
func (i *instance) SessionWrote(driver.Session, time.Duration) {}

// Watch implements driver.Host.
func (i *instance) Watch(on bool) {
	lengthOffset := i.beginAct(actWatch)
	flag := byte(0)
	if on {
		flag = 1
	}
	i.table.reply = append(i.table.reply, flag)
	i.endAct(lengthOffset)
}

// Tell implements driver.Host.
func (i *instance) Tell(to driver.Peer, text []byte) {
	lengthOffset := i.beginAct(actTell)
	i.put32(uint32(to))
	i.putText(text)
	i.endAct(lengthOffset)
}

// WakeAfter implements driver.Host.
func (i *instance) WakeAfter(wait time.Duration) {
	lengthOffset := i.beginAct(actWake)
	i.put32(micros(wait))
	i.put32(0)
	i.endAct(lengthOffset)
}

func (i *instance) putLine(code uint8, line string) {
	lengthOffset := i.beginAct(code)
	i.putText([]byte(line))
	i.endAct(lengthOffset)
}

// Log implements driver.Host.
func (i *instance) Log(line string) { i.putLine(actLog, line) }

// Fault implements driver.Host.
func (i *instance) Fault(why string) { i.putLine(actFault, why) }
