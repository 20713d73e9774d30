package hostile

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// front is one of the driver's listeners, as clients see it.
type front string

const (
	platform front = "platform"
	odata    front = "odata"
)

var fronts = []front{platform, odata}

// address returns the address of a front.
func (d *deployment) address(f front) string {
	if f == odata {
		return d.odata
	}
	return d.listen
}

// answer is an answer to a request, by the code of the error or the status.
type answer struct {
	code  string // empty if the request was served
	value string
}

// refused reports whether the request was refused without having run.
func (a answer) refused() bool { return a.code == "53300" || a.code == "503" }

// client is one connection of a client. Requests and answers are written and read separately.
type client struct {
	net.Conn
	front front
	in    *bufio.Reader
}

// dial connects to a front and, at the platform's, begins a session.
func dial(address string, f front) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	client := &client{c, f, bufio.NewReader(c)}
	if f == odata {
		return client, nil
	}
	c.Write(pgwire.AppendStartup(nil, "app", "shop"))
	if _, err := client.answer(); err != nil {
		c.Close()
		return nil, err
	}
	return client, nil
}

func dialPG(t *testing.T, address string) *client {
	t.Helper()
	c, err := dial(address, platform)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var lastID atomic.Int64

// newID returns an id that no request had.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// statement returns a statement of a class with a deadline in milliseconds.
func statement(class string, deadline int, key string) string {
	return statementWithID(newID(), class, deadline, key)
}

func statementWithID(id, class string, deadline int, key string) string {
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=0", id, class, deadline)
	switch class {
	case "order":
		return fmt.Sprintf("%s,k=%s */ INSERT INTO items (id, doc) VALUES ('%s', 'x') RETURNING doc", head, id, key)
	case "pay":
		return fmt.Sprintf("%s */ INSERT INTO items (id, doc) VALUES ('%s', 'x') RETURNING doc", head, key)
	}
	return fmt.Sprintf("%s */ SELECT doc FROM items WHERE id = '%s'", head, key)
}

func message(text string) []byte {
	return append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
}

// read returns the bytes of a read of a key.
func (f front) read(key string) []byte {
	if f == odata {
		return fmt.Appendf(nil, "GET /odata/Applications('%s') HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 1000\r\n\r\n", key)
	}
	return message(statement("look", 1000, key))
}

// write returns the bytes of a write that must not run twice.
func (f front) write(key string, deadline int) []byte {
	if f == odata {
		body := fmt.Sprintf(`{"Id":%q}`, key)
		return fmt.Appendf(nil, "POST /odata/Applications HTTP/1.1\r\nHost: x\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", deadline, len(body), body)
	}
	return message(statement("pay", deadline, key))
}

// writeOnce returns the bytes of a write that runs once, however often it is sent: at the platform's listener by its id, over OData by its
// Repeatability-Request-ID.
func (f front) writeOnce(key string) []byte {
	if f == odata {
		now := time.Now()
		return []byte(httpPost("Orders", fmt.Sprintf(`{"Id":%q}`, key), "Repeatability-Request-ID: 00000000-0000-4000-8000-000000000001", "Repeatability-Client-ID: one",
			"Repeatability-First-Sent: "+now.UTC().Format(http.TimeFormat), fmt.Sprint("First-Sent-Ms: ", now.UnixMilli()), "Deadline-Ms: 1000"))
	}
	return message(statement("pay", 1000, key))
}

// answer reads one answer.
func (c *client) answer() (a answer, err error) {
	if c.front == odata {
		r, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return a, err
		}
		body, err := io.ReadAll(r.Body)
		if a.value = string(body); r.StatusCode >= 300 {
			a.code = fmt.Sprint(r.StatusCode)
		}
		return a, err
	}
	var head [5]byte
	for {
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return a, err
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c.in, body); err != nil {
			return a, err
		}
		switch head[0] {
		case 'D':
			a.value = string(body[6:])
		case 'E':
			pgwire.Fields(body, func(code byte, value []byte) {
				if code == 'C' {
					a.code = string(value)
				}
			})
		case 'Z':
			return a, nil
		}
	}
}

func (c *client) query(text string) (answer, error) {
	c.Write(message(text))
	return c.answer()
}

// service is what the usual clients saw.
type service struct {
	served, refused, lost, wrong int
	latencies                    []time.Duration
}

func (s *service) p99() time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)*99/100]
}

func (s *service) String() string {
	return fmt.Sprintf("%d served, %d refused, %d lost, %d wrong, p99 %v", s.served, s.refused, s.lost, s.wrong, s.p99().Round(100*time.Microsecond))
}

const (
	usualClients = 8
	usualPause   = 10 * time.Millisecond // between a usual client's requests
)

// serveUsualClients lets eight clients read entities of their own for a time, one request after another, and returns what they saw. A
// request is lost if it has no answer half a second after its time.
func (d *deployment) serveUsualClients(f front, duration time.Duration) *service {
	all := &service{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range usualClients {
		clients.Go(func() {
			s := d.serveUsualClient(f, fmt.Sprintf("usual%d", i), end)
			mutex.Lock()
			defer mutex.Unlock()
			all.served, all.refused, all.lost, all.wrong = all.served+s.served, all.refused+s.refused, all.lost+s.lost, all.wrong+s.wrong
			all.latencies = append(all.latencies, s.latencies...)
		})
	}
	clients.Wait()
	return all
}

func (d *deployment) serveUsualClient(f front, key string, end time.Time) (s service) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		var err error
		if c == nil {
			if c, err = dial(d.address(f), f); err != nil {
				s.lost++
				time.Sleep(usualPause)
				continue
			}
		}
		own := fmt.Sprintf("%s-%d", key, n)
		began := time.Now()
		c.SetDeadline(began.Add(1500 * time.Millisecond))
		c.Write(f.read(own))
		got, err := c.answer()
		switch {
		case err != nil:
			s.lost++
			c.Close()
			c = nil
		case got.refused():
			s.refused++
		case got.code != "" || !strings.Contains(got.value, `"Id":"`+own+`"`):
			s.wrong++
		default:
			s.served++
			s.latencies = append(s.latencies, time.Since(began))
		}
		time.Sleep(usualPause)
	}
	return s
}
