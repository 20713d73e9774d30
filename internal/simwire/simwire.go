// Package simwire is the codec of the simulator's wire and the table of the instances it hosts.
// It decides nothing: each event goes straight into a call of the module, each act into a record.
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
	mostFrame   = 1 << 30 // a longer frame is taken as damage
	pages       = 16
	entryLength = 28
	longestWake = 71 * time.Minute
)

// codes of the events
const (
	evSpawn, evList, evIncoming, evAccepted, evEnded, evAbandoned = 10, 20, 30, 40, 50, 60
	evFired, evPong, evPeer, evDetach, evPool                     = 70, 80, 90, 100, 110
)

// codes of the acts
const (
	actCloseIdle, actFault, actTell, actLog, actWatch, actProbe  = 10, 20, 30, 40, 50, 60
	actWake, actFetch, actPushBack, actAbort, actCall, actCancel = 70, 80, 90, 100, 110, 120
)

var le = binary.LittleEndian

// reader takes fields off one record; running out of bytes is kept until the record is checked.
type reader struct {
	rest  []byte
	short bool
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.rest) {
		r.short, r.rest = true, nil
		return make([]byte, min(max(n, 0), 64))
	}
	field := r.rest[:n]
	r.rest = r.rest[n:]
	return field
}

func (r *reader) u8() uint8                   { return r.bytes(1)[0] }
func (r *reader) u16() uint16                 { return le.Uint16(r.bytes(2)) }
func (r *reader) u32() uint32                 { return le.Uint32(r.bytes(4)) }
func (r *reader) u64() uint64                 { return le.Uint64(r.bytes(8)) }
func (r *reader) f32() float64                { return float64(math.Float32frombits(r.u32())) }
func (r *reader) span() time.Duration         { return time.Duration(r.u32()) * time.Microsecond }
func (r *reader) counted(n int) (part []byte) { return r.bytes(n) }

func (r *reader) member() driver.Member {
	b := r.bytes(6)
	return driver.Member(le.Uint32(b)) | driver.Member(le.Uint16(b[4:]))<<32
}

func (r *reader) report(into []float64) []float64 {
	into = into[:0]
	for n := r.u8(); n > 0 && !r.short; n-- {
		into = append(into, r.f32())
	}
	return into
}

var outcomes = map[uint8]driver.Outcome{
	0: driver.OK, 13: driver.Failed, 8: driver.Full, 4: driver.TimedOut, 14: driver.NoConnection,
	10: driver.Broken, 1: driver.Cancelled, 9: driver.NotSent, 5: driver.Misdirected,
}

// instance is the host of one module.
type instance struct {
	table  *table
	id     uint32
	zero   uint64 // the clock where log positions start
	module *rules.Router
}

type table struct {
	clock     uint64
	instances map[uint32]*instance
	pool      [pages][]byte
	reply     []byte
	acts      uint32
	report    []float64
}

// Serve answers batches until the input ends.
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
		if size < 8 || size > mostFrame {
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
		t.acts = 0
		if err := t.batch(frame, le.Uint32(head[12:])); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		le.PutUint32(t.reply, uint32(len(t.reply)-4))
		le.PutUint32(t.reply[4:], t.acts)
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

var errShort = errors.New("fields run past the record")

func (t *table) event(code uint8, r reader) error {
	if code == evPool {
		page, lines := r.u16(), r.u32()
		if page >= pages {
			return fmt.Errorf("list number %d is out of range", page)
		}
		if r.short || uint64(lines)*entryLength != uint64(len(r.rest)) {
			return fmt.Errorf("%d entries do not fill %d bytes", lines, len(r.rest))
		}
		t.pool[page] = append([]byte(nil), r.rest...)
		return nil
	}
	if code < evSpawn || code > evPool || code%10 != 0 {
		return nil // a code of a later wire; its length lets it be skipped
	}
	id := r.u32()
	if r.short {
		return errShort
	}
	if code == evSpawn {
		seed, length := r.u64(), r.u32()
		text := r.counted(int(length))
		if r.short {
			return errShort
		}
		values := settings.ParseLines(string(text))
		i := &instance{table: t, id: id}
		i.zero, _ = strconv.ParseUint(values["family_info.base_time_us"], 10, 64)
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
		how, _, page := r.u8(), r.u32(), r.u16()
		if r.short {
			return errShort
		}
		if how > 3 || how < 3 && page >= pages {
			return fmt.Errorf("list kind %d, number %d", how, page)
		}
		i.list(driver.ListKind(how), page)
	case evIncoming:
		rpc, _ := driver.RPC(r.u32()), r.u32()
		tenant, method, group := driver.Tenant(r.u16()), driver.Method(r.u16()), driver.Group(r.f32())
		options, until, session, ago := r.u8(), r.u64(), driver.Session(r.u64()), r.f32()
		if r.short {
			return errShort
		}
		wrote := time.Duration(ago * float64(time.Millisecond))
		i.module.Take(rules.Request{
			ID: rpc, Method: method, Group: group, Tenant: tenant, Session: session,
			ArrivedAt: i.Now(), Deadline: i.since(until), SinceWrite: wrote, ClientRetry: options&2 != 0,
		})
	case evEnded:
		rpc, how, attempt, took := driver.RPC(r.u32()), r.u8(), int(r.u16()), r.span()
		complete, note, m := r.u8() != 0, r.u32(), r.member()
		t.report = r.report(t.report)
		if r.short {
			return errShort
		}
		outcome, ok := outcomes[how]
		if !ok {
			return fmt.Errorf("outcome %d is unknown", how)
		}
		pos := time.Duration(note/4) * time.Millisecond
		i.module.AttemptEnded(rpc, attempt, m, outcome, took, complete, pos, driver.Role(note&3), t.report)
	case evAbandoned:
		rpc := driver.RPC(r.u32())
		if r.short {
			return errShort
		}
		i.module.ClientLeft(rpc)
	case evFired:
		i.module.Wake()
	case evPong:
		how, m, took := r.u8(), r.member(), r.span()
		t.report = r.report(t.report)
		if r.short {
			return errShort
		}
		i.module.HealthCheckEnded(m, how == 0, took, t.report)
	case evPeer:
		from, length := driver.Peer(r.u32()), r.u16()
		text := r.counted(int(length))
		if r.short {
			return errShort
		}
		i.module.PeerMessage(from, text)
	case evAccepted: // no method here streams its answer
	}
	return nil
}

func (i *instance) list(how driver.ListKind, page uint16) {
	i.module.ListBegins(how)
	if how != driver.NoList {
		for r := (reader{rest: i.table.pool[page]}); len(r.rest) > 0; {
			m, zone, _, group := r.member(), driver.Zone(r.u16()), r.u8(), driver.Group(r.u16())
			standing, size, since := driver.MemberState(r.u8()), r.f32(), r.u64()
			started := driver.LongAgo
			if since != 0 {
				started = i.since(since)
			}
			i.module.EndpointListed(m, zone, group, standing, size, started, r.f32() == 1)
		}
	}
	i.module.ListEnds(how)
}

func (i *instance) since(clock uint64) time.Duration {
	return time.Duration(int64(clock-i.zero)) * time.Microsecond
}

// act starts a record and returns the place of its length.
func (i *instance) act(code uint8) int {
	t := i.table
	t.acts++
	t.reply = append(t.reply, code, 0, 0, 0, 0)
	t.reply = le.AppendUint32(t.reply, i.id)
	return len(t.reply) - 8
}

func (i *instance) done(place int) {
	le.PutUint32(i.table.reply[place:], uint32(len(i.table.reply)-place-4))
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

func micros(d time.Duration) uint32 {
	return uint32(max(0, min(d, longestWake)) / time.Microsecond)
}

// Now implements driver.Host.
func (i *instance) Now() time.Duration { return i.since(i.table.clock) }

// Attempt sends at once: on this wire what is sent has reached its member, as far as repeats go.
func (i *instance) Attempt(rpc driver.RPC, to driver.Member, _, timeout time.Duration) {
	place := i.act(actCall)
	i.put32(uint32(rpc))
	i.putMember(to)
	i.put32(micros(timeout))
	i.done(place)
}

// Cancel implements driver.Host.
func (i *instance) Cancel(rpc driver.RPC, attempt int) {
	place := i.act(actCancel)
	i.put32(uint32(rpc))
	i.table.reply = le.AppendUint16(i.table.reply, uint16(attempt))
	i.done(place)
}

// PushBack implements driver.Host.
func (i *instance) PushBack(rpc driver.RPC, comeBack time.Duration) {
	place := i.act(actPushBack)
	i.put32(uint32(rpc))
	i.put32(micros(comeBack))
	i.done(place)
}

// Abort implements driver.Host.
func (i *instance) Abort(rpc driver.RPC) {
	place := i.act(actAbort)
	i.put32(uint32(rpc))
	i.done(place)
}

func (i *instance) about(code uint8, m driver.Member) {
	place := i.act(code)
	i.putMember(m)
	i.done(place)
}

// Probe implements driver.Host.
func (i *instance) Probe(m driver.Member) { i.about(actProbe, m) }

// CloseIdle implements driver.Host.
func (i *instance) CloseIdle(m driver.Member) { i.about(actCloseIdle, m) }

// FetchList implements driver.Host.
func (i *instance) FetchList() { i.done(i.act(actFetch)) }

// Forget implements driver.Host; it does nothing, as a member's address is its name here.
func (i *instance) Forget(driver.Member) {} // its address is its name

// SessionWrote has nothing to do: nothing outlasts an instance.
func (i *instance) SessionWrote(driver.Session, time.Duration) {}

// Watch implements driver.Host.
func (i *instance) Watch(on bool) {
	place := i.act(actWatch)
	flag := byte(0)
	if on {
		flag = 1
	}
	i.table.reply = append(i.table.reply, flag)
	i.done(place)
}

// Tell implements driver.Host.
func (i *instance) Tell(to driver.Peer, text []byte) {
	place := i.act(actTell)
	i.put32(uint32(to))
	i.putText(text)
	i.done(place)
}

// WakeAfter implements driver.Host.
func (i *instance) WakeAfter(wait time.Duration) {
	place := i.act(actWake)
	i.put32(micros(wait))
	i.put32(0)
	i.done(place)
}

func (i *instance) say(code uint8, line string) {
	place := i.act(code)
	i.putText([]byte(line))
	i.done(place)
}

// Log implements driver.Host.
func (i *instance) Log(line string) { i.say(actLog, line) }

// Fault implements driver.Host.
func (i *instance) Fault(why string) { i.say(actFault, why) }
