// Package comeback decides how a driver comes back after a start: how many connections it opens at once, and in which stage
// it is. Whom an RPC goes to stays with the module. It knows neither sockets nor clocks: whoever uses it tells what happens
// and when.
package comeback

import "time"

const (
	firstOpens = 8   // connections that a driver opens at once before any has come up
	mostOpens  = 256 // at most, however well it goes
	slowPart   = 0.2 // of the time in which a connection must be up: slower shows that too many are asked for
	back       = 0.7 // of what may be opened at once is left when that shows
)

// Opens is how many connections to members a driver may have coming up at once. It begins with few, so that many drivers that
// start together do not ask more handshakes of the members than they can do. Each that comes up quickly allows one more,
// which doubles them every handshake; slow ones and failures allow fewer.
type Opens struct {
	window  float64
	opening int
	slow    time.Duration
	backAt  time.Duration // when it was last made smaller
	each    int           // connections at one member at most; 0: as many as it takes
}

// Door is one member as connections to it go: how many are coming up, and how many it has let in. At most as many come up as
// it has let in, and one at least; one only while it lets in slowly.
type Door struct {
	comingUp, letIn int
	slow            bool // its latest was slow or failed
}

// NewOpens makes the window of a driver that has just started, whose connections must be up within that time.
func NewOpens(limit time.Duration) Opens {
	o := Opens{window: firstOpens}
	o.Within(limit)
	return o
}

// Within changes the time in which connections must be up.
func (o *Opens) Within(limit time.Duration) {
	o.slow = max(time.Duration(slowPart*float64(limit)), time.Millisecond)
}

// Limit bounds the connections at one member, coming up and let in. What is open beyond that is over it.
func (o *Opens) Limit(each int) { o.each = each }

// Over tells how many more are open there than may be.
func (o *Opens) Over(d *Door) int {
	if o.each == 0 {
		return 0
	}
	return max(d.comingUp+d.letIn-o.each, 0)
}

// Full tells whether no more may be open there.
func (o *Opens) Full(d *Door) bool { return o.each > 0 && d.comingUp+d.letIn >= o.each }

// May tells whether one more may be opened there.
func (o *Opens) May(d *Door) bool {
	if o.Full(d) {
		return false
	}
	most := 1
	if !d.slow {
		most = max(d.letIn, 1)
	}
	return d.comingUp < most && o.opening < int(o.window)
}

// Opening counts one that is opened; Up or Failed ends it.
func (o *Opens) Opening(d *Door) {
	o.opening++
	d.comingUp++
}

// Up tells that one was let in, so long after it was opened. It counts as let in until Gone.
func (o *Opens) Up(d *Door, took, now time.Duration) {
	o.opening--
	d.comingUp--
	d.letIn++
	if d.slow = took > o.slow; d.slow {
		o.smaller(took, now)
		return
	}
	o.window = min(o.window+1, mostOpens)
}

// Failed tells that one did not come up, for whatever reason.
func (o *Opens) Failed(d *Door, took, now time.Duration) {
	o.opening--
	d.comingUp--
	d.slow = true
	o.smaller(took, now)
}

// Gone tells that one which was let in has ended.
func (o *Opens) Gone(d *Door) { d.letIn-- }

// Shut tells whether nobody is let in there nor about to be: one that failed speaks for all that wait.
func (d *Door) Shut() bool { return d.letIn == 0 && d.comingUp == 0 }

// smaller makes room for others, once for all that were asked for at one time.
func (o *Opens) smaller(took, now time.Duration) {
	if now-took >= o.backAt {
		o.window, o.backAt = max(o.window*back, 1), now
	}
}
