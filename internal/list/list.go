// Package list is the side of the driver that asks discovery for the list of members.
package list

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/loop"
)

// Host is told what the list says, as the module is.
type Host interface {
	ListBegins(how driver.Listing)
	Listed(uid string, at netip.AddrPort, zone string, group driver.Group, state driver.Standing,
		size float64, started time.Duration, primary bool)
	ListEnds(how driver.Listing)
	Count(what string)
}

// A change counts as told 6 s after discovery had it, whatever befell the calls meanwhile. At worst it came just behind the
// last answer and the watch opened then fell silent: hold + slack until it is given up, at most rules.ListPause until the
// next call, which is answered at once or within slack: 2.5 + 1 + 0.5 + 1 = 5 s. If that call fails too, the one after it
// is answered no later than 5.5 s when answers come at once. The grace is left to what has been sent already.
const (
	hold   = 2500 * time.Millisecond // of a watch
	slack  = time.Second             // more than an answer may take
	mostOf = 4 << 20                 // bytes of a list
	list   = "/discovery/hosts"
)

// Discovery is the connection to discovery.
type Discovery struct {
	loop     *loop.Loop
	host     Host
	at       netip.AddrPort
	stream   *loop.Stream
	rev      int64
	asked    uint64 // number of the call that is out, 0: none
	calls    uint64
	watching bool     // calls follow each other
	whole    bool     // the whole list is asked for next
	wanted   bool     // the call that is out, or the latest, is for the whole list
	patience loop.Due // with the call that is out
	atOnce   bool     // the next call waits for no change: the latest one failed, or somebody else watches

	rests   bool          // somebody else watches, and tells
	heardAt time.Duration // latest answer

	// Keep is told what a list says, where it is to outlast the driver: its revision, whether it is whole, and its entries.
	Keep func(rev int64, whole bool, entries map[string][]byte) // of those that are gone nil
}

// New makes a side that has asked nothing yet.
func New(l *loop.Loop, host Host, at netip.AddrPort) *Discovery {
	return &Discovery{loop: l, host: host, at: at}
}

// Know takes the list as this driver last had it.
func (d *Discovery) Know(body []byte) error { return d.tell(body, true) }

// Rest lets another watch: no call goes out but for the whole list, until it is taken back.
func (d *Discovery) Rest(on bool) {
	if d.rests = on; !on {
		d.ask()
	}
}

// Catch asks for what has changed, though another watches.
func (d *Discovery) Catch() {
	d.atOnce = true
	d.ask()
}

// Longest is the most that a watch takes until its answer is here or it is given up.
const Longest = hold + slack

// Fresh tells whether discovery has answered within a watch and what that may take longer.
func (d *Discovery) Fresh() bool { return d.heardAt > 0 && d.loop.Now()-d.heardAt < Longest }

// Rev is the revision of the list that it has.
func (d *Discovery) Rev() int64 { return d.rev }

// Watch goes on asking for changes, or stops.
func (d *Discovery) Watch(on bool) {
	if d.watching = on; on {
		d.ask()
	}
}

// Fetch asks for the whole list once.
func (d *Discovery) Fetch() {
	d.whole = true
	d.ask()
}

// Move asks at another address from now on, for the whole list first. What the old one was asked is let go.
func (d *Discovery) Move(at netip.AddrPort) {
	d.drop()
	d.at, d.asked = at, 0
	d.Fetch()
}

func (d *Discovery) ask() {
	if d.asked != 0 || !d.whole && (!d.watching || d.rests && !d.atOnce) {
		return
	}
	path, wait, watch := list, slack, hold
	if d.atOnce {
		watch = 0
	}
	whole := d.whole
	if !whole {
		path = fmt.Sprintf("%s?from=%d&hold_ms=%d", list, d.rev, watch/time.Millisecond)
		wait += watch
	}
	if d.stream != nil && !d.stream.Alive() { // it was closed between two calls
		d.drop()
	}
	if d.stream == nil {
		var err error
		if d.stream, err = d.loop.DialKept(d.at, d, mostOf); err != nil {
			d.loop.Later(func() { d.failed(err) })
			return
		}
	}
	d.whole, d.wanted = false, whole
	d.calls++
	d.asked = d.calls
	number := d.asked
	d.stream.Send(httpwire.AppendGet(nil, d.at.String(), path))
	d.host.Count("list_calls")
	d.patience = d.loop.At(d.loop.Now()+wait, func() {
		if d.asked == number {
			d.failed(errors.New("no answer in time"))
		}
	})
}

// Opened implements loop.Handler.
func (d *Discovery) Opened() {}

// Input implements loop.Handler: it reads answers and pushed lists.
func (d *Discovery) Input(in []byte) int {
	if d.asked == 0 {
		return len(in)
	}
	status, body, size, last, err := httpwire.Answer(in, false)
	if err != nil || len(in) >= mostOf && size == 0 {
		d.failed(errors.Join(httpwire.ErrAnswer, err))
		return 0
	}
	if size == 0 {
		return 0
	}
	d.answered(status, body, last)
	return size
}

func (d *Discovery) answered(status int, body []byte, last bool) {
	if status != 200 {
		d.failed(fmt.Errorf("status %d", status))
		return
	}
	if err := d.tell(body, false); err != nil {
		d.failed(err)
		return
	}
	d.loop.Forget(d.patience)
	d.asked, d.heardAt, d.atOnce = 0, d.loop.Now(), false
	if last {
		d.drop()
	}
	d.ask()
}

// Closed implements loop.Handler.
func (d *Discovery) Closed(cause error) {
	in := d.stream.Unread()
	d.stream = nil
	if d.asked == 0 {
		return
	}
	if status, body, size, _, err := httpwire.Answer(in, true); cause == io.EOF && err == nil && size > 0 {
		d.answered(status, body, true)
		return
	}
	d.failed(cause)
}

// Panicked implements loop.Handler.
func (d *Discovery) Panicked(cause error) { d.failed(cause) }

func (d *Discovery) drop() {
	if d.stream != nil {
		d.stream.Close()
		d.stream = nil
	}
}

// failed tells that a call brought nothing: the last list holds, and whoever wanted more asks again, for the whole list
// if that was what it did not get.
func (d *Discovery) failed(cause error) {
	slog.Warn("list_failed", "rev", d.rev, "cause", cause)
	d.drop()
	d.whole = d.whole || d.asked != 0 && d.wanted
	d.asked, d.watching, d.atOnce = 0, false, true
	d.host.Count("list_failures")
	d.host.ListBegins(driver.NoList)
	d.host.ListEnds(driver.NoList)
}

var standings = map[string]driver.Standing{
	"in_service": driver.Ready, "terminating": driver.Draining, "terminated": driver.Gone,
}

// tell checks a whole body before it passes anything on.
func (d *Discovery) tell(body []byte, known bool) error {
	var told struct {
		Rev     *int64
		All     bool
		Targets []struct {
			UID      string
			Endpoint string
			Zone     string       `json:"az"`
			Group    driver.Group `json:"pod_group"`
			State    string
			Size     float64 `json:"capacity_hint"`
			Started  float64 `json:"boot_ms"`
			Role     string
		}
	}
	if err := json.Unmarshal(body, &told); err != nil {
		return fmt.Errorf("broken list: %w", err)
	}
	if told.Rev == nil {
		return errors.New("broken list: it has no version")
	}
	places := make([]netip.AddrPort, len(told.Targets))
	for i, t := range told.Targets {
		var err error
		places[i], err = netip.ParseAddrPort(t.Endpoint)
		if _, ok := standings[t.State]; !ok || t.UID == "" || err != nil && t.State != "terminated" {
			return fmt.Errorf("broken list: entry %d, uid %q, state %q, endpoint %q", i, t.UID, t.State, t.Endpoint)
		}
	}
	how := driver.Changes
	if known {
		how = driver.Cached
	} else if told.All {
		how = driver.Whole
	}
	d.rev = *told.Rev
	if d.Keep != nil {
		entries := make(map[string][]byte, len(told.Targets))
		for _, t := range told.Targets {
			entries[t.UID] = nil
			if text, err := json.Marshal(t); err == nil && standings[t.State] != driver.Gone {
				entries[t.UID] = text
			}
		}
		d.Keep(d.rev, told.All, entries)
	}
	d.host.ListBegins(how)
	for i, t := range told.Targets {
		started := driver.LongAgo
		if t.Started > 0 {
			started = time.Duration(t.Started) * time.Millisecond
		}
		d.host.Listed(t.UID, places[i], t.Zone, t.Group, standings[t.State], t.Size, started, t.Role == "leader")
	}
	d.host.ListEnds(how)
	return nil
}
