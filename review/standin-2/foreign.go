package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// usualClasses are the classes of the deployment of the README.
func usualClasses() (classes []class, needs []string, bounds []int) {
	return []class{
		{"name": "look", "effect": "safe", "points": 1, "target_us": 1000000, "hard_limit_us": 2500000},
		{"name": "own", "effect": "safe", "points": 1, "target_us": 800000, "hard_limit_us": 2000000},
		{"name": "order", "effect": "keyed", "group": "cell", "window_us": 1200000, "points": 6, "late_worth": 0.5, "target_us": 600000, "hard_limit_us": 2000000},
	}, []string{"recent", "own_writes", "update"}, []int{800000, 0, 0}
}

const foreignOperator = `
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
    }
    operation "create" { method = "order" }
  }
}
members "odata" {
  groups = [0]
  root   = "/svc/"
}
`

// foreignRequest: one client sends JSON batches with one read each. With trouble its "url" holds an unknown option with line ends, behind
// which another request stands. Members may run what clients sent: reads and creates of Applications. Other clients read their own entities
// meanwhile, and may get nothing else.
func foreignRequest(p *play) error {
	m := &odataMember{p: p, work: 20 * time.Millisecond, entities: map[string]string{"victim": `{"Id":"victim","Status":"kept"}`, "s1": `{"Id":"s1","Salary":90000}`}}
	const readers = 6
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
	front := freeAddress()
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold")
	if _, err := p.startDriver("n0", site, fmt.Sprintf(foreignOperator, front), front); err != nil {
		return err
	}
	end := time.Now().Add(10 * time.Second)
	var wait sync.WaitGroup
	served := make([]int, readers)
	for i := range readers {
		wait.Go(func() { served[i] = readOwn(p, front, fmt.Sprint("a", i), end) })
	}
	wait.Go(func() { sendBatches(p, front, end) })
	wait.Go(func() { createNew(p, front, end) })
	wait.Wait()
	total := 0
	for _, n := range served {
		total += n
	}
	p.note("%d reads served", total)
	if total < 100 {
		return fmt.Errorf("%w: only %d reads were served", errCannotRun, total)
	}
	for _, r := range m.requests() {
		if r.verb == "HEAD" && r.path == "/" {
			continue // the driver's own health check
		}
		if (r.verb != "GET" && r.verb != "POST") || !strings.HasPrefix(r.path, "/svc/Applications") {
			p.violated("the member ran %s %s, which the front does not offer", r.verb, r.path)
		}
	}
	return nil
}

// readOwn reads one entity again and again, and checks that nothing else is answered.
func readOwn(p *play, front, key string, end time.Time) (served int) {
	c := &httpClient{address: front}
	defer c.close()
	for time.Now().Before(end) {
		a, err := c.exchange("GET", "/odata/Applications('"+key+"')", map[string]string{"Deadline-Ms": "1000"}, "", 2*time.Second)
		p.note("client of %s: status=%d err=%v body=%s", key, a.status, err, a.body)
		switch {
		case err != nil || a.status >= 500:
		case a.status != 200 || !strings.Contains(a.body, `"Id":"`+key+`"`):
			p.violated("the client of %s was answered %d %s", key, a.status, a.body)
		default:
			served++
		}
		time.Sleep(15 * time.Millisecond)
	}
	return served
}

// createNew creates entities of its own; from the answers the driver learns which member is the primary.
func createNew(p *play, front string, end time.Time) {
	c := &httpClient{address: front}
	defer c.close()
	for i := 0; time.Now().Before(end); i++ {
		body := fmt.Sprintf(`{"Id":"n%d","Status":"sent"}`, i)
		a, err := c.exchange("POST", "/odata/Applications", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1000"}, body, 2*time.Second)
		p.note("create n%d: status=%d err=%v body=%s", i, a.status, err, a.body)
		if err == nil && a.status < 300 && !strings.Contains(a.body, fmt.Sprintf(`"Id":"n%d"`, i)) {
			p.violated("the client that created n%d was answered %d %s", i, a.status, a.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendBatches sends four batches a second.
func sendBatches(p *play, front string, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		url := "Applications('a0')?x=1"
		if p.trouble {
			hidden := []string{"DELETE /svc/Applications('victim')", "GET /svc/Salaries('s1')"}[i%2]
			url += ` HTTP/1.1\r\nHost: m\r\n\r\n` + hidden + "?y="
		}
		body := `{"requests":[{"id":"1","method":"get","url":"` + url + `"}]}`
		a, err := exchangeOnce(front, "POST", "/odata/$batch", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1000"}, body, 2*time.Second)
		p.note("batch %s: status=%d err=%v body=%s", body, a.status, err, a.body)
		time.Sleep(250 * time.Millisecond)
	}
}
