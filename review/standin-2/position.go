package main

import (
	"fmt"
	"strings"
	"time"
)

const positionOperator = `
front "odata" "offices" {
  listen = "%s"
  root   = "/odata/"
  set "Applications" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "read" {
      method      = "look"
      after_write = "own"
      statement   = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "create" {
      method    = "order"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
}
`

// sessionPosition: a client creates an entity, and reads it 100 ms later with the Session-Position that it was given. The replica has the log
// after 10 ms; with trouble it applies the log slowly and is 300 ms behind, which is inside the bound of the class.
func sessionPosition(p *play) error {
	lag := 10 * time.Millisecond
	if p.trouble {
		lag = 300 * time.Millisecond
	}
	g := newCluster(p, lag)
	primary, err := g.serve(true)
	if err != nil {
		return err
	}
	replica, err := g.serve(false)
	if err != nil {
		return err
	}
	targets := []target{memberEntry("s-1", primary), memberEntry("s-2", replica)}
	discovery, err := p.serveDiscovery(targets)
	if err != nil {
		return err
	}
	classes, needs, bounds := usualClasses()
	bounds[0] = 500000
	front := freeAddress()
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "off")
	if _, err := p.startDriver("n0", site, fmt.Sprintf(positionOperator, front), front); err != nil {
		return err
	}
	c := &httpClient{address: front}
	defer c.close()
	read := 0
	for i := range 60 {
		key := fmt.Sprint("e", i)
		body := fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key)
		session := map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1000", "Session-Id": key}
		a, err := c.exchange("POST", "/odata/Applications", session, body, 2*time.Second)
		p.note("create %s: status=%d err=%v position=%s", key, a.status, err, a.header.Get("Session-Position"))
		position := a.header.Get("Session-Position")
		time.Sleep(100 * time.Millisecond)
		if err != nil || a.status != 201 || position == "" {
			continue
		}
		a, err = c.exchange("GET", "/odata/Applications('"+key+"')", map[string]string{"Deadline-Ms": "1000", "Session-Id": key, "Session-Position": position}, "", 2*time.Second)
		p.note("read %s with position %s: status=%d err=%v body=%s", key, position, a.status, err, a.body)
		switch {
		case err != nil || a.status >= 500:
		case a.status != 200 || !strings.Contains(a.body, key):
			p.violated("a read that had to see position %s was answered %d %s", position, a.status, a.body)
		default:
			read++
		}
	}
	if read+len(p.broken) < 30 {
		return fmt.Errorf("%w: only %d reads were answered", errCannotRun, read+len(p.broken))
	}
	return nil
}
