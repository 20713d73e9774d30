package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// batchBoundary: three clients read entities of their own. A fourth creates an entity of 60 KB, and reads it by a batch in the multipart form, on
// ten connections at once. With trouble the text of its entity resembles the boundary that the driver would use, and holds it with many of the
// pieces by which the driver makes it longer. A request has to get its answer within its time and half a second.
func batchBoundary(p *play) error {
	m := &odataMember{p: p, work: 10 * time.Millisecond, entities: make(map[string]string)}
	const readers = 3
	for i := range readers {
		m.entities[fmt.Sprint("a", i)] = fmt.Sprintf(`{"Id":"a%d","Status":"sent"}`, i)
	}
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
	classes[0]["late_worth"] = 0.2 // as at bureau-jhb
	front := freeAddress()
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold")
	if _, err := p.startDriver("n0", site, fmt.Sprintf(foreignOperator, front), front); err != nil {
		return err
	}
	text := strings.Repeat("x", 60_000)
	if p.trouble {
		text = strings.Repeat("batch-answer-b-b-c", 1000) + "batch-answer" + strings.Repeat("-b", 21_000)
	}
	a, err := exchangeOnce(front, "POST", "/odata/Applications", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1000"},
		`{"Id":"big","Status":"`+text+`"}`, 2*time.Second)
	if err != nil || a.status != 201 {
		return fmt.Errorf("%w: the create was answered %d, %v", errCannotRun, a.status, err)
	}
	end := time.Now().Add(8 * time.Second)
	var wait sync.WaitGroup
	var served atomic.Int64
	for i := range readers {
		wait.Go(func() { served.Add(readInTime(p, front, fmt.Sprint("a", i), end)) })
	}
	time.Sleep(2 * time.Second)
	body := "--part\r\nContent-Type: application/http\r\nContent-Transfer-Encoding: binary\r\n\r\nGET /odata/Applications('big') HTTP/1.1\r\n\r\n\r\n--part--\r\n"
	for range 10 {
		wait.Go(func() {
			began := time.Now()
			a, err := exchangeOnce(front, "POST", "/odata/$batch", map[string]string{"Content-Type": "multipart/mixed; boundary=part", "Deadline-Ms": "30000"}, body, time.Until(end))
			p.note("batch: after %v status=%d err=%v bytes=%d", time.Since(began), a.status, err, len(a.body))
		})
	}
	wait.Wait()
	p.note("%d reads served in time", served.Load())
	if served.Load() < 100 {
		return fmt.Errorf("%w: only %d reads were served", errCannotRun, served.Load())
	}
	return nil
}

// readInTime reads one entity again and again, with a second for each read. A read without any answer half a second later is lost.
func readInTime(p *play, front, key string, end time.Time) (served int64) {
	const patience = time.Second
	c := &httpClient{address: front}
	defer c.close()
	for time.Now().Before(end) {
		began := time.Now()
		a, err := c.exchange("GET", "/odata/Applications('"+key+"')", map[string]string{"Deadline-Ms": "1000"}, "", patience+550*time.Millisecond)
		took := time.Since(began)
		p.note("read of %s: after %v status=%d err=%v", key, took, a.status, err)
		if err != nil {
			p.violated("a read of %s had no answer after %v: %v", key, took.Round(time.Millisecond), err)
		} else if a.status == 200 {
			served++
		}
		time.Sleep(15 * time.Millisecond)
	}
	return served
}
