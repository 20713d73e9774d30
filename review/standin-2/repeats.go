package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const refusalOperator = `
front "odata" "offices" {
  listen = "%s"
  root   = "/odata/"
  repeats {
    kept      = "1m"
    memory_kb = 16
  }
  set "Applications" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "read" {
      method      = "look"
      after_write = "own"
    }
    operation "create" { method = "order" }
  }
}
members "odata" {
  groups = [0]
  root   = "/svc/"
}
`

// replayedRefusal: a client sends creates of keys that are taken, as repeatable requests. The member refuses each with 409 and a body of 3 KB.
// With trouble the client closes its connection before the answer comes, and repeats the request half a second later.
func replayedRefusal(p *play) error {
	m := &odataMember{p: p, work: 60 * time.Millisecond, entities: make(map[string]string)}
	m.refusal = `{"error":{"code":"Conflict","message":"there is an entity of this key","details":[{"code":"Taken","message":"` + strings.Repeat("x", 3000) + `"}]}}`
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
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold")
	if _, err := p.startDriver("n0", site, fmt.Sprintf(refusalOperator, front), front); err != nil {
		return err
	}
	answered := 0
	for i := range 20 {
		key := fmt.Sprint("k", i)
		first := fmt.Sprintf(`{"Id":%q,"Status":"first"}`, key)
		a, err := exchangeOnce(front, "POST", "/odata/Applications", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1000"}, first, 2*time.Second)
		p.note("create %s: status=%d err=%v", key, a.status, err)
		if err != nil || a.status != 201 {
			continue
		}
		sent := time.Now()
		header := map[string]string{
			"Content-Type": "application/json", "Deadline-Ms": "1000", "Repeatability-Request-ID": "second-" + key,
			"Repeatability-First-Sent": sent.UTC().Format(http.TimeFormat), "First-Sent-Ms": fmt.Sprint(sent.UnixMilli()),
		}
		second := fmt.Sprintf(`{"Id":%q,"Status":"second"}`, key)
		if p.trouble {
			_, err := exchangeOnce(front, "POST", "/odata/Applications", header, second, 30*time.Millisecond)
			var timeout net.Error
			p.note("second create of %s, client leaves after 30 ms: %v", key, err)
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				continue
			}
			time.Sleep(500 * time.Millisecond)
		}
		a, err = exchangeOnce(front, "POST", "/odata/Applications", header, second, 2*time.Second)
		p.note("second create of %s: status=%d err=%v header=%v bytes=%d", key, a.status, err, a.header, len(a.body))
		if err != nil || a.status >= 500 {
			continue
		}
		answered++
		if a.status < 400 {
			p.violated("the member refused the second create of %s, and its client was answered %d", key, a.status)
		}
	}
	for key, entity := range m.entities {
		p.note("at the end %s is %s", key, entity)
	}
	if answered < 10 {
		return fmt.Errorf("%w: only %d second creates were answered", errCannotRun, answered)
	}
	return nil
}

const pushedBackOperator = `
front "odata" "offices" {
  listen = "%s"
  root   = "/odata/"
  repeats { sticky = true }
  set "Applications" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "create" {
      method    = "order"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
}
`

// pushedBackRepeat: a client sends creates as repeatable requests, and repeats each that is pushed back once, after the time that the driver
// names. With trouble the first answer to two in ten creates is lost on its way from the member, which has run them. The group drops a repeat
// for 1.2 s.
func pushedBackRepeat(p *play) error {
	g := newCluster(p, 10*time.Millisecond)
	if p.trouble {
		lost := make(map[string]bool)
		g.afterWrite = func(e execution) fate {
			if last := e.key[len(e.key)-1]; (last == '3' || last == '8') && !lost[e.key] {
				lost[e.key] = true
				return silence
			}
			return answered
		}
	}
	primary, err := g.serve(true)
	if err != nil {
		return err
	}
	targets := []target{memberEntry("s-1", primary)}
	discovery, err := p.serveDiscovery(targets)
	if err != nil {
		return err
	}
	classes, needs, bounds := usualClasses()
	classes[2]["group"] = "all"
	front := freeAddress()
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold")
	if _, err := p.startDriver("n0", site, fmt.Sprintf(pushedBackOperator, front), front); err != nil {
		return err
	}
	served := 0
	for i := range 60 {
		key := fmt.Sprint("k", i)
		sent := time.Now()
		header := map[string]string{
			"Content-Type": "application/json", "Deadline-Ms": "1000", "Repeatability-Request-ID": "create-" + key,
			"Repeatability-First-Sent": sent.UTC().Format(http.TimeFormat), "First-Sent-Ms": fmt.Sprint(sent.UnixMilli()),
		}
		body := fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key)
		for try := range 2 {
			a, err := exchangeOnce(front, "POST", "/odata/Applications", header, body, 2*time.Second)
			p.note("create %s, try %d: status=%d err=%v retry-after-ms=%s body=%s", key, try, a.status, err, a.header.Get("Retry-After-Ms"), a.body)
			if err == nil && a.status < 300 {
				served++
			}
			if err != nil || a.status != 503 {
				break
			}
			wait, _ := time.ParseDuration(a.header.Get("Retry-After-Ms") + "ms")
			time.Sleep(wait)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if served < 30 {
		return fmt.Errorf("%w: only %d creates were served", errCannotRun, served)
	}
	times := make(map[string]int)
	for _, e := range g.executions() {
		times[e.key]++
	}
	for key, n := range times {
		if n > 1 {
			p.violated("the create of %s was run %d times", key, n)
		}
	}
	return nil
}
