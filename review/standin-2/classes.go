package main

import (
	"fmt"
	"sync"
	"time"
)

const classesOperator = `
front "odata" "offices" {
  listen = "%s"
  root   = "/odata/"
  set "Applications" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    property "Status" { nullable = true }
    operation "read" {
      method    = "my-swaps"
      statement = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "create" {
      method    = "swap-log"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }
}
`

const configurationBlock = `
configuration {
  fleet    = "bureau"
  machines = ["%s", "%s", "%s"]
}
`

// startControl starts three control machines and returns their addresses.
func (p *play) startControl() (addresses [3]string, err error) {
	for i := range addresses {
		addresses[i] = freeAddress()
	}
	for i := range addresses {
		folder, err := p.write(fmt.Sprintf("c%d.keep", i), "")
		if err != nil {
			return addresses, err
		}
		folder = folder[:len(folder)-len(".keep")]
		if err := makeFolder(folder); err != nil {
			return addresses, err
		}
		text := fmt.Sprintf("control_machine \"c%d\" {\n  fleet  = \"bureau\"\n  listen = %q\n  folder = %q\n", i, addresses[i], folder)
		for j := range addresses {
			if j != i {
				text += fmt.Sprintf("  peer \"c%d\" { at = %q }\n", j, addresses[j])
			}
		}
		path, err := p.write(fmt.Sprintf("c%d.hcl", i), text+"}\n")
		if err != nil {
			return addresses, err
		}
		if _, err := p.start(fmt.Sprintf("c%d", i), "exec bin/passtack control --operator "+path); err != nil {
			return addresses, err
		}
	}
	return addresses, nil
}

// classNumbers: creates are of the class swap-log, which is unsafe: after an attempt that may have run there is no other. The primary runs each
// create, and resets the connection of every fifth one in place of the answer. With trouble a configuration is published meanwhile that no
// longer has the class usage-report, which nobody uses; all other classes stay as they are.
func classNumbers(p *play) error {
	g := newCluster(p, 20*time.Millisecond)
	g.window = 0 // no class is keyed, so the group remembers no keys
	g.afterWrite = func(e execution) fate {
		if len(e.key)%5 == 0 {
			return reset
		}
		return answered
	}
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
	control, err := p.startControl()
	if err != nil {
		return err
	}
	classes := []class{
		{"name": "usage-report", "effect": "safe", "points": 1, "target_us": 1000000, "hard_limit_us": 2500000},
		{"name": "my-swaps", "effect": "safe", "points": 1, "target_us": 800000, "hard_limit_us": 2000000},
		{"name": "swap-log", "effect": "unsafe", "points": 6, "target_us": 600000, "hard_limit_us": 2000000},
	}
	needs, bounds := []string{"loose", "own_writes", "update"}, []int{0, 0, 0}
	front := freeAddress()
	site := siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold")
	operator := fmt.Sprintf(classesOperator, front) + fmt.Sprintf(configurationBlock, control[0], control[1], control[2])
	if _, err := p.startDriver("n0", site, operator, front); err != nil {
		return err
	}
	at := control[0] + "," + control[1] + "," + control[2]
	first, err := p.write("first.json", `{}`)
	if err != nil {
		return err
	}
	if err := await("the first publication", 10*time.Second, func() bool {
		_, err := p.command("config", "publish", "--at="+at, first)
		return err == nil
	}); err != nil {
		return err
	}
	created := p.createAll(front, "before", 2*time.Second)
	if p.trouble {
		published, err := p.write("second.json", publishedClasses(classes[1:], needs[1:], bounds[1:]))
		if err != nil {
			return err
		}
		if out, err := p.command("config", "publish", "--at="+at, published); err != nil {
			return fmt.Errorf("%w: publishing failed: %s", errCannotRun, out)
		}
	}
	created += p.createAll(front, "after", 4*time.Second)
	p.note("%d creates served", created)
	if created < 20 {
		return fmt.Errorf("%w: only %d creates were served", errCannotRun, created)
	}
	times, otherClass := make(map[string]int), 0
	for _, e := range g.executions() {
		times[e.id]++
		if e.class != "swap-log" {
			otherClass++
		}
	}
	p.note("%d creates were run, %d of them sent as another class than swap-log", len(g.executions()), otherClass)
	for id, n := range times {
		if n > 1 {
			p.violated("the create id=%s, of an unsafe class, was run %d times", id, n)
		}
	}
	return nil
}

// createAll sends creates for a while on two connections, and returns how many were served.
func (p *play) createAll(front, name string, duration time.Duration) int {
	end := time.Now().Add(duration)
	served := make([]int, 2)
	var wait sync.WaitGroup
	for i := range served {
		wait.Go(func() {
			c := &httpClient{address: front}
			defer c.close()
			key := fmt.Sprintf("%s-%d-", name, i)
			for n := 0; time.Now().Before(end); n++ {
				if key += "x"; len(key) > 40 {
					key = fmt.Sprintf("%s-%d-%d", name, i, n)
				}
				body := fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key)
				a, err := c.exchange("POST", "/odata/Applications", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "1500"}, body, 2*time.Second)
				p.note("create %s: status=%d err=%v body=%s", key, a.status, err, a.body)
				if err == nil && a.status < 300 {
					served[i]++
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return served[0] + served[1]
}
