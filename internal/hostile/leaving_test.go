package hostile

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// leaver is a way in which a client writes many requests and leaves.
type leaver struct {
	name     string
	requests int
	reads    bool // the client reads its answers until it leaves
}

var leavers = []leaver{
	{"some requests, answers read", 200, true},
	{"some requests, answers unread", 200, false},
	{"more than all buffers hold, answers read", 200_000, true},
	{"more than all buffers hold, answers unread", 200_000, false},
}

const (
	leaveAfter   = 400 * time.Millisecond
	leavingWork  = 300 * time.Millisecond // of a member for each statement
	leavingGrace = 100 * time.Millisecond // after a close, in which an attempt may still begin
)

// Guards against requests of a client that are sent to members although it has closed its connection, with much of what it wrote still
// unread by the driver.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	for _, f := range fronts {
		for _, l := range leavers {
			t.Run(string(f)+"/"+l.name, func(t *testing.T) {
				d := deploy(t, limits{64, 512}, leavingWork)
				d.openMemberConnections(t)
				left := d.writeAndLeave(t, f, l)
				time.Sleep(time.Second)
				sent, late := 0, -leaveAfter
				for _, s := range d.statements() {
					if strings.HasPrefix(s.key, "left-") {
						sent++
						late = max(late, s.at.Sub(left))
					}
				}
				t.Logf("%d requests sent to members, the last one %v after the close", sent, late)
				if sent == 0 || late > leavingGrace {
					t.Errorf("%d requests were sent to members, the last one %v after the close; %v are allowed", sent, late, leavingGrace)
				}
			})
		}
	}
}

// openMemberConnections has several writes in service at once, so that the driver keeps several connections to the primary.
func (d *deployment) openMemberConnections(t *testing.T) {
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { dialPG(t, d.listen).query(statement("pay", 5000, fmt.Sprint("warm-", i))) })
	}
	clients.Wait()
}

// writeAndLeave writes the requests of a leaver, closes the connection after some time, and returns when.
func (d *deployment) writeAndLeave(t *testing.T, f front, l leaver) time.Time {
	c, err := dial(d.address(f), f)
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	for i := range l.requests {
		out = append(out, f.write(fmt.Sprint("left-", i), 30_000)...)
	}
	go c.Write(out)
	if l.reads {
		go io.Copy(io.Discard, c.in)
	}
	time.Sleep(leaveAfter)
	left := time.Now()
	c.Close()
	return left
}

// Guards against an id that runs twice because it comes again after its client has left.
func TestAnIDThatComesAgainDoesNotRunTwice(t *testing.T) {
	const work = 300 * time.Millisecond
	for _, f := range fronts {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprint(f, "/", after), func(t *testing.T) {
				d := deploy(t, limits{64, 512}, work)
				request := f.writeOnce("again")
				for i, wait := range []time.Duration{100 * time.Millisecond, time.Second} {
					c, err := dial(d.address(f), f)
					if err != nil {
						t.Fatal(err)
					}
					c.Write(request)
					c.SetDeadline(time.Now().Add(wait))
					a, err := c.answer()
					t.Logf("try %d: %v, %v", i, a, err)
					c.Close()
					time.Sleep(after)
				}
				if runs := d.runs("again"); runs != 1 {
					t.Errorf("it ran %d times", runs)
				}
			})
		}
	}
}
