package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rawMember is a primary that speaks OData and serves one entity. Some of its answers are spoilt.
type rawMember struct {
	p      *play
	spoilt func(request int64) bool // whether the answer to the n-th request is spoilt
	count  atomic.Int64
	entity string
}

// serve starts the member and returns its address.
func (m *rawMember) serve() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m.p.closeAll(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.connection(c)
		}
	}()
	return l.Addr().String(), nil
}

// connection serves the requests of one connection in order.
func (m *rawMember) connection(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		n := m.count.Add(1)
		time.Sleep(10 * time.Millisecond)
		if m.spoilt(n) {
			m.p.note("member spoils the answer to request %d, id=%s", n, request.Header.Get("Request-Id"))
			lines := bytes.Repeat([]byte("HTTP/1.1 100 \r\n\r\n"), 1000)
			for {
				if _, err := c.Write(lines); err != nil {
					return
				}
			}
		}
		now := time.Now().UnixMilli()
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nNode-Role: leader\r\nReplay-Position: %d\r\nServer-Load: x0=%.3f,x1=1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			now, float64(now)/1000, len(m.entity), m.entity)
		if err != nil {
			return
		}
	}
}

// endlessInterim: clients read an entity. With trouble one answer in a hundred is spoilt: status lines of interim answers that never end. The
// stand-in for the platform kills a driver that takes more memory than its limits say.
func endlessInterim(p *play) error {
	const memory = 64
	m := &rawMember{p: p, entity: `{"Id":"a","Status":"sent"}`, spoilt: func(n int64) bool { return p.trouble && n%100 == 0 }}
	address, err := m.serve()
	if err != nil {
		return err
	}
	targets := []target{memberEntry("s-1", address)}
	discovery, err := p.serveDiscovery(targets)
	if err != nil {
		return err
	}
	classes, needs, bounds := usualClasses()
	front := freeAddress()
	site := strings.Replace(siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold"), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memory), 1)
	driver, err := p.startDriver("n0", site, fmt.Sprintf(foreignOperator, front), front)
	if err != nil {
		return err
	}
	a, err := exchangeOnce(front, "POST", "/odata/Applications", map[string]string{"Content-Type": "application/json"}, `{"Id":"a","Status":"sent"}`, 5*time.Second)
	if err != nil || a.status >= 300 {
		return fmt.Errorf("%w: the create was answered %d, %v", errCannotRun, a.status, err)
	}
	end := time.Now().Add(10 * time.Second)
	var wait sync.WaitGroup
	var served, unanswered atomic.Int64
	for range 4 {
		wait.Go(func() {
			c := &httpClient{address: front}
			defer c.close()
			for time.Now().Before(end) {
				a, err := c.exchange("GET", "/odata/Applications('a')", map[string]string{"Deadline-Ms": "1000"}, "", 2*time.Second)
				p.note("read: status=%d err=%v", a.status, err)
				if err != nil {
					unanswered.Add(1)
				} else if a.status == 200 {
					served.Add(1)
				}
				time.Sleep(15 * time.Millisecond)
			}
		})
	}
	peak := p.limitMemory(driver, memory, end)
	wait.Wait()
	p.note("peak memory %.1f MB, %d reads served, %d not answered", peak, served.Load(), unanswered.Load())
	if len(p.broken) == 0 && served.Load() < 200 {
		return fmt.Errorf("%w: only %d reads were served", errCannotRun, served.Load())
	}
	return nil
}
