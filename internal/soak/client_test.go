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
	"passtack/internal/testmember"
)

// method is a kind of request, as the driver's settings define it.
type method struct {
	name, effect string
	write        bool
}

var methods = []method{{"look", "safe", false}, {"own", "safe", false}, {"order", "keyed", true}, {"once", "unsafe", true}}

// behavior is how a client acts. Unless it says otherwise a client keeps its connection until the driver closes it.
type behavior uint8

const (
	steady   behavior = iota // sends a request, waits for the answer and sends the next one after a pause
	eager                    // the same without a pause, also after a rejection
	pipeline                 // keeps several requests in flight
	slow                     // writes its requests in pieces
	leaver                   // closes the connection during a request, and connects again
	canceler                 // cancels requests, over separate connections
	partial                  // sends part of a request and keeps the connection open
	silent                   // connects and sends no request
	behaviorCount
)

// clientGroup holds all clients of one driver.
type clientGroup struct {
	record    *record
	address   string
	deadlines []time.Duration
	stop      chan struct{}
	running   sync.WaitGroup
	lastID    atomic.Int64
	name      string

	mutex        sync.Mutex
	processIndex int
	accepting    bool // new connections are directed to the driver
}

// currentProcess returns the index of the driver's current process, and whether new connections are directed to it.
func (c *clientGroup) currentProcess() (processIndex int, accepting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processIndex, c.accepting
}

func (c *clientGroup) directTo(processIndex int, accepting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.processIndex, c.accepting = processIndex, accepting
}

func (c *clientGroup) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// pause waits for the given time, or until the run ends, and reports whether the run continues.
func (c *clientGroup) pause(span time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// add starts a client, which connects again and again until the run ends.
func (c *clientGroup) add(b behavior, rng *rand.Rand) {
	c.running.Go(func() {
		for !c.stopped() {
			processIndex, accepting := c.currentProcess()
			if !accepting {
				c.pause(20 * time.Millisecond)
				continue
			}
			l := &clientConnection{group: c, behavior: b, rng: rng, processIndex: processIndex, ended: make(chan struct{})}
			if err := l.open(); err != nil {
				c.pause(20 * time.Millisecond)
				continue
			}
			l.issueRequests()
			l.abandon()
			<-l.ended
			c.pause(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
	})
}

// clientConnection is one connection of a client.
type clientConnection struct {
	group        *clientGroup
	behavior     behavior
	rng          *rand.Rand
	processIndex int
	socket       net.Conn
	ended        chan struct{} // closed at the end of the input

	process, secret uint32
	mutex           sync.Mutex
	pending         []*request // requests without an answer, oldest first
	headSince       time.Time  // when the first pending request became the oldest
	answers         chan *request
	closedByClient  bool // the client has closed the connection
	readEnded       bool // the end of the input was reached
}

func (l *clientConnection) open() (err error) {
	if l.socket, err = net.DialTimeout("tcp", l.group.address, time.Second); err != nil {
		return err
	}
	l.answers = make(chan *request, 256)
	if _, err = l.socket.Write(pgwire.AppendStartup(nil, "app", "shop")); err != nil {
		l.socket.Close()
		return err
	}
	go l.read()
	return nil
}

// read reads the driver's messages until the connection ends.
func (l *clientConnection) read() {
	defer close(l.ended)
	in := bufio.NewReader(l.socket)
	answer := ""
	for {
		kind, err := in.ReadByte()
		var body []byte
		if err == nil {
			body, err = testmember.ReadBody(in)
		}
		if err != nil {
			l.handleEnd(err)
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

// answered records the answer to the oldest pending request.
func (l *clientConnection) answered(answer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.pending) == 0 {
		return
	}
	q := l.pending[0]
	l.pending, l.headSince = l.pending[1:], time.Now()
	l.group.record.finish(q, answered, answer, nil)
	select {
	case l.answers <- q:
	default:
	}
}

func (l *clientConnection) handleEnd(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, q := range l.pending {
		if l.closedByClient {
			l.group.record.finish(q, clientLeft, "", nil)
		} else {
			l.group.record.finish(q, connectionEnded, "", cause)
		}
	}
	l.pending, l.readEnded = nil, true
}

// abandon closes the connection, also with requests in flight.
func (l *clientConnection) abandon() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closedByClient = true
	for _, q := range l.pending {
		l.group.record.finish(q, clientLeft, "", nil)
	}
	l.socket.Close()
}

// send sends one request, split into the given number of pieces.
func (l *clientConnection) send(pieces int) (*request, error) {
	c := l.group
	method := methods[l.rng.IntN(len(methods))]
	id := fmt.Sprintf("%s-%d", c.name, c.lastID.Add(1))
	q := &request{id: id, method: method, processIndex: l.processIndex, deadline: c.deadlines[l.rng.IntN(len(c.deadlines))]}
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=0", id, method.name, q.deadline.Milliseconds())
	if method.effect == "keyed" {
		q.token = "t" + id
		text += ",k=" + q.token
	}
	key := l.rng.IntN(50)
	if method.write {
		text += fmt.Sprintf(" */ INSERT INTO items (id, doc) VALUES ('s%d', 'x') RETURNING doc", key)
	} else {
		text += fmt.Sprintf(" */ SELECT doc FROM items WHERE id = 's%d'", key)
	}
	message := append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
	l.mutex.Lock()
	if l.readEnded {
		l.mutex.Unlock()
		return q, errConnectionEnded
	}
	c.record.add(q)
	l.pending = append(l.pending, q)
	l.mutex.Unlock()
	for i := range pieces {
		part := message[len(message)*i/pieces : len(message)*(i+1)/pieces]
		if i == pieces-1 { // the deadline counts from the last byte
			c.record.mutex.Lock()
			q.sentAt = time.Now()
			c.record.mutex.Unlock()
		} else if i > 0 {
			time.Sleep(time.Duration(l.rng.IntN(60)) * time.Millisecond)
		}
		if _, err := l.socket.Write(part); err != nil {
			c.record.mutex.Lock()
			q.sentAt = time.Time{} // a request that was not sent completely is not checked
			c.record.mutex.Unlock()
			return q, err
		}
	}
	return q, nil
}

var errConnectionEnded = errors.New("the connection has ended")

// awaitAnswer waits for the answer to the oldest request, up to the time at which the request counts as lost. That time counts from the answer to
// the request before it, if that came after the request's own deadline.
func (l *clientConnection) awaitAnswer(q *request) error {
	l.mutex.Lock()
	due := q.sentAt.Add(q.deadline)
	if due.Before(l.headSince) {
		due = l.headSince
	}
	l.mutex.Unlock()
	timeout := time.NewTimer(time.Until(due.Add(answerSlack + 2*schedulingSlack)))
	defer timeout.Stop()
	for {
		select {
		case <-l.answers:
			l.mutex.Lock()
			isPending := slices.Contains(l.pending, q)
			l.mutex.Unlock()
			if !isPending {
				return nil
			}
		case <-l.ended:
			return errConnectionEnded
		case <-timeout.C:
			l.group.record.finish(q, clientTimedOut, "", nil)
			return errConnectionEnded
		}
	}
}

// issueRequests sends requests in the manner of the client's behavior until the connection ends.
func (l *clientConnection) issueRequests() {
	c := l.group
	switch l.behavior {
	case silent:
		select {
		case <-l.ended:
		case <-c.stop:
		}
		return
	case partial:
		text := "/* id=half,c=look,d=500,cluster=0 */ SELECT"
		l.socket.Write(append(pgwire.AppendHead(nil, 'Q', len(text)+40), text...))
		select {
		case <-l.ended:
		case <-c.stop:
		}
		return
	case pipeline:
		l.keepInFlight(4)
		return
	}
	for !c.stopped() {
		pieces := 1
		if l.behavior == slow {
			pieces = 4
		}
		q, err := l.send(pieces)
		if err != nil {
			<-l.ended // answers that have arrived are still read until then
			return
		}
		switch {
		case l.behavior == leaver && l.rng.IntN(3) == 0:
			time.Sleep(time.Duration(l.rng.IntN(30)) * time.Millisecond)
			l.abandon()
			return
		case l.behavior == canceler && l.rng.IntN(3) == 0:
			time.Sleep(time.Duration(l.rng.IntN(50)) * time.Millisecond)
			l.cancel()
		}
		if l.awaitAnswer(q) != nil {
			return
		}
		if l.behavior != eager && !c.pause(time.Duration(l.rng.IntN(40))*time.Millisecond) {
			return
		}
	}
}

// keepInFlight keeps the given number of requests in flight. The driver answers them in order.
func (l *clientConnection) keepInFlight(depth int) {
	var pending []*request
	for !l.group.stopped() {
		for len(pending) < depth {
			q, err := l.send(1)
			if err != nil {
				<-l.ended
				return
			}
			pending = append(pending, q)
		}
		if l.awaitAnswer(pending[0]) != nil {
			return
		}
		l.mutex.Lock()
		pending = slices.Clone(l.pending)
		l.mutex.Unlock()
	}
}

// cancel sends a CancelRequest for the connection.
func (l *clientConnection) cancel() {
	l.mutex.Lock()
	process, secret := l.process, l.secret
	l.mutex.Unlock()
	c, err := net.DialTimeout("tcp", l.group.address, time.Second)
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
