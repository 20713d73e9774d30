package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const memoryOperator = `
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

// residentMemory returns the resident size of a process in MB.
func residentMemory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return float64(n) / 1024
}

// limitMemory is the stand-in for the platform: until the end it kills the driver once that takes more memory than its limit, in MB. It
// returns the peak.
func (p *play) limitMemory(driver *exec.Cmd, limit int, end time.Time) (peak float64) {
	for checks := 0; time.Now().Before(end); checks++ {
		time.Sleep(10 * time.Millisecond)
		if peak = max(peak, residentMemory(driver.Process.Pid)); checks%20 == 0 {
			p.note("peak memory %.1f MB", peak)
		}
		if peak > float64(limit) {
			driver.Process.Kill()
			p.violated("the driver took %.1f MB of memory, its limit is %d MB, and it was killed", peak, limit)
			return peak
		}
	}
	return peak
}

// batchMemory: 24 clients read an entity of 60 KB again and again; with trouble each of them sends fifty reads together, as a batch. The
// stand-in for the platform kills a driver that takes more memory than its limits say.
func batchMemory(p *play) error {
	const clients, items, memory = 24, 50, 64
	g := newCluster(p, 10*time.Millisecond)
	primary, err := g.serve(true)
	if err != nil {
		return err
	}
	targets := []target{memberEntry("s-1", primary)}
	for _, uid := range []string{"s-2", "s-3"} {
		replica, err := g.serve(false)
		if err != nil {
			return err
		}
		targets = append(targets, memberEntry(uid, replica))
	}
	discovery, err := p.serveDiscovery(targets)
	if err != nil {
		return err
	}
	classes, needs, bounds := usualClasses()
	front := freeAddress()
	site := strings.Replace(siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold"), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memory), 1)
	driver, err := p.startDriver("n0", site, fmt.Sprintf(memoryOperator, front), front)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"Id":"big","Status":%q}`, strings.Repeat("x", 60<<10))
	a, err := exchangeOnce(front, "POST", "/odata/Applications", map[string]string{"Content-Type": "application/json"}, body, 5*time.Second)
	if err != nil || a.status != 201 {
		return fmt.Errorf("%w: the create was answered %d, %v", errCannotRun, a.status, err)
	}
	g.work = 90 * time.Millisecond
	end := time.Now().Add(10 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for range clients {
		wait.Go(func() {
			c := &httpClient{address: front}
			defer c.close()
			for time.Now().Before(end) {
				n := readBig(p, c, items)
				mu.Lock()
				served += n
				mu.Unlock()
			}
		})
	}
	peak := p.limitMemory(driver, memory, end)
	wait.Wait()
	p.note("peak memory %.1f MB, %d reads served", peak, served)
	if len(p.broken) == 0 && (served < 200 || peak == 0) {
		return fmt.Errorf("%w: %d reads were served, peak %.1f MB", errCannotRun, served, peak)
	}
	return nil
}

// readBig reads the entity, with trouble many times in one batch, and returns how many reads were served.
func readBig(p *play, c *httpClient, items int) int {
	if !p.trouble {
		a, err := c.exchange("GET", "/odata/Applications('big')", map[string]string{"Deadline-Ms": "2000"}, "", 3*time.Second)
		p.note("read: status=%d err=%v bytes=%d", a.status, err, len(a.body))
		time.Sleep(20 * time.Millisecond)
		if err != nil || a.status != 200 {
			return 0
		}
		return 1
	}
	var parts []string
	for i := range items {
		parts = append(parts, fmt.Sprintf(`{"id":"%d","method":"get","url":"Applications('big')"}`, i))
	}
	a, err := c.exchange("POST", "/odata/$batch", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "8000"},
		`{"requests":[`+strings.Join(parts, ",")+`]}`, 10*time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	}
	served := strings.Count(a.body, `"status":200`)
	p.note("batch: status=%d err=%v bytes=%d served=%d", a.status, err, len(a.body), served)
	return served
}
