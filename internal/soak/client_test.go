package soak

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"passtack/internal/pgwire"
)

// class is a kind of request, as the settings name it.
type class struct {
	name, effect string
	write        bool
}

var classes = []class{{"look", "safe", false}, {"own", "safe", false}, {"order", "keyed", true}, {"once", "unsafe", true}}

// habit is how a client behaves. Each keeps its connection until the driver ends it.
type habit uint8

const (
	steady   habit = iota // asks, waits for the answer and asks again
	eager                 // the same without any pause, also when it was refused
	pipeline              // has several requests under way at any time
	slow                  // writes its requests in pieces
	leaver                // closes the connection in the middle of a request, and comes again
	canceler              // cancels requests by a connection of its own
	halfway               // stops in the middle of a request and stays
	silent                // connects and says nothing
	habits
)

// crowd is all clients of one driver.
type crowd struct {
	record  *record
	address string
	limits  []time.Duration
	stop    chan struct{}
	done    sync.WaitGroup
	next    atomic.Int64
	name    string

	mutex sync.Mutex
	life  int
	comes bool // new connections are dealt to the driver
}

// admits tells whether new connections go to the driver now, and which process of it that is.
func (c *crowd) admits() (life int, comes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.life, c.comes
}

func (c *crowd) deal(life int, comes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life, c.comes = life, comes
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// pause waits, and tells whether the run goes on.
func (c *crowd) pause(span time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// add lets a client come and come again until the run ends.
func (c *crowd) add(how habit, chance *rand.Rand) {
	c.done.Go(func() {
		for !c.stopped() {
			life, comes := c.admits()
			if !comes {
				c.pause(20 * time.Millisecond)
				continue
			}
			l := &line{crowd: c, habit: how, chance: chance, life: life, over: make(chan struct{})}
			if err := l.open(); err != nil {
				c.pause(20 * time.Millisecond)
				continue
			}
			l.use()
			l.leave()
			<-l.over
			c.pause(time.Duration(chance.IntN(30)) * time.Millisecond)
		}
	})
}

// line is one connection of a client.
type line struct {
	crowd  *crowd
	habit  habit
	chance *rand.Rand
	life   int
	socket net.Conn
	over   chan struct{} // closed once nothing more can be read

	process, secret uint32
	mutex           sync.Mutex
	waits           []*request // in their order
	headSince       time.Time  // since when nothing is waited for before the first of them
	came            chan *request
	left            bool // this side has closed it
	finished        bool // nothing more can be read
}

func (l *line) open() (err error) {
	if l.socket, err = net.DialTimeout("tcp", l.crowd.address, time.Second); err != nil {
		return err
	}
	l.came = make(chan *request, 256)
	if _, err = l.socket.Write(pgwire.AppendStartup(nil, "app", "shop")); err != nil {
		l.socket.Close()
		return err
	}
	go l.read()
	return nil
}

// read takes what the driver says until the connection ends.
func (l *line) read() {
	defer close(l.over)
	in := bufio.NewReader(l.socket)
	answer := ""
	for {
		kind, err := in.ReadByte()
		var body []byte
		if err == nil {
			body, err = readMessage(in)
		}
		if err != nil {
			l.ends(err)
			return
		}
		switch kind {
		case 'K':
			l.mutex.Lock()
			l.process, l.secret = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
			l.mutex.Unlock()
		case 'D':
			answer = "ok"
		case 'E':
			fatal := false
			pgwire.Fields(body, func(code byte, value []byte) {
				if code == 'C' {
					answer = string(value)
				}
				fatal = fatal || code == 'S' && string(value) == "FATAL"
			})
			if fatal {
				l.answered(answer)
				answer = ""
			}
		case 'Z':
			if answer != "" {
				l.answered(answer)
			}
			answer = ""
		}
	}
}

func (l *line) answered(answer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.waits) == 0 {
		return
	}
	q := l.waits[0]
	l.waits, l.headSince = l.waits[1:], time.Now()
	l.crowd.record.end(q, answered, answer, nil)
	select {
	case l.came <- q:
	default:
	}
}

func (l *line) ends(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, q := range l.waits {
		if l.left {
			l.crowd.record.end(q, clientLeft, "", nil)
		} else {
			l.crowd.record.end(q, connectionAt, "", cause)
		}
	}
	l.waits, l.finished = nil, true
}

// leave closes the connection with whatever is under way.
func (l *line) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.left = true
	for _, q := range l.waits {
		l.crowd.record.end(q, clientLeft, "", nil)
	}
	l.socket.Close()
}

// ask sends one request, in so many pieces.
func (l *line) ask(pieces int) (*request, error) {
	c := l.crowd
	what := classes[l.chance.IntN(len(classes))]
	id := fmt.Sprintf("%s-%d", c.name, c.next.Add(1))
	q := &request{id: id, class: what, life: l.life, limit: c.limits[l.chance.IntN(len(c.limits))]}
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=0", id, what.name, q.limit.Milliseconds())
	if what.effect == "keyed" {
		q.token = "t" + id
		text += ",k=" + q.token
	}
	key := l.chance.IntN(50)
	if what.write {
		text += fmt.Sprintf(" */ INSERT INTO items (id, doc) VALUES ('s%d', 'x') RETURNING doc", key)
	} else {
		text += fmt.Sprintf(" */ SELECT doc FROM items WHERE id = 's%d'", key)
	}
	message := append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
	l.mutex.Lock()
	if l.finished {
		l.mutex.Unlock()
		return q, errOver
	}
	c.record.asked(q)
	l.waits = append(l.waits, q)
	l.mutex.Unlock()
	for i := range pieces {
		part := message[len(message)*i/pieces : len(message)*(i+1)/pieces]
		if i == pieces-1 { // its time counts from the last byte
			c.record.mutex.Lock()
			q.sent = time.Now()
			c.record.mutex.Unlock()
		} else if i > 0 {
			time.Sleep(time.Duration(l.chance.IntN(60)) * time.Millisecond)
		}
		if _, err := l.socket.Write(part); err != nil {
			c.record.mutex.Lock()
			q.sent = time.Time{} // it was never whole
			c.record.mutex.Unlock()
			return q, err
		}
	}
	return q, nil
}

var errOver = errors.New("the connection is over")

// wait waits for the answer of the oldest request, until it is lost. The time that it waits for those before it does not count.
func (l *line) wait(q *request) error {
	l.mutex.Lock()
	due := q.sent.Add(q.limit)
	if due.Before(l.headSince) {
		due = l.headSince
	}
	l.mutex.Unlock()
	patience := time.NewTimer(time.Until(due.Add(afterDeadline + 2*scheduling)))
	defer patience.Stop()
	for {
		select {
		case <-l.came:
			l.mutex.Lock()
			waits := slices.Contains(l.waits, q)
			l.mutex.Unlock()
			if !waits {
				return nil
			}
		case <-l.over:
			return errOver
		case <-patience.C:
			l.crowd.record.end(q, outOfTime, "", nil)
			return errOver
		}
	}
}

// use lets the client ask until the connection is over.
func (l *line) use() {
	c := l.crowd
	switch l.habit {
	case silent:
		select {
		case <-l.over:
		case <-c.stop:
		}
		return
	case halfway:
		text := "/* id=half,c=look,d=500,cluster=0 */ SELECT"
		l.socket.Write(append(pgwire.AppendHead(nil, 'Q', len(text)+40), text...))
		select {
		case <-l.over:
		case <-c.stop:
		}
		return
	case pipeline:
		l.stream(4)
		return
	}
	for !c.stopped() {
		pieces := 1
		if l.habit == slow {
			pieces = 4
		}
		q, err := l.ask(pieces)
		if err != nil {
			<-l.over // what has been answered meanwhile still counts
			return
		}
		switch {
		case l.habit == leaver && l.chance.IntN(3) == 0:
			time.Sleep(time.Duration(l.chance.IntN(30)) * time.Millisecond)
			l.leave()
			return
		case l.habit == canceler && l.chance.IntN(3) == 0:
			time.Sleep(time.Duration(l.chance.IntN(50)) * time.Millisecond)
			l.cancel()
		}
		if l.wait(q) != nil {
			return
		}
		if l.habit != eager && !c.pause(time.Duration(l.chance.IntN(40))*time.Millisecond) {
			return
		}
	}
}

// stream keeps so many requests under way. Each waits for those before it.
func (l *line) stream(depth int) {
	var under []*request
	for !l.crowd.stopped() {
		for len(under) < depth {
			q, err := l.ask(1)
			if err != nil {
				<-l.over
				return
			}
			under = append(under, q)
		}
		if l.wait(under[0]) != nil {
			return
		}
		l.mutex.Lock()
		under = slices.Clone(l.waits)
		l.mutex.Unlock()
	}
}

// cancel asks for the end of what is served.
func (l *line) cancel() {
	l.mutex.Lock()
	process, secret := l.process, l.secret
	l.mutex.Unlock()
	c, err := net.DialTimeout("tcp", l.crowd.address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	out := binary.BigEndian.AppendUint32(nil, 16)
	out = binary.BigEndian.AppendUint32(out, 80877102)
	out = binary.BigEndian.AppendUint32(out, process)
	c.Write(binary.BigEndian.AppendUint32(out, secret))
	c.SetReadDeadline(time.Now().Add(time.Second))
	io.Copy(io.Discard, c)
}
