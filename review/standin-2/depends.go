package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// batchDepends: clients read an entity. With trouble another client sends one JSON batch of fifty requests, the last of which names the empty
// text 80,000 times among those that it depends on. The stand-in for the platform kills a driver that takes more memory than its limits say.
func batchDepends(p *play) error {
	const memory = 64
	g := newCluster(p, 10*time.Millisecond)
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
	front := freeAddress()
	site := strings.Replace(siteOf("n0", freeAddress(), discovery, targets, classes, needs, bounds, "hold"), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memory), 1)
	driver, err := p.startDriver("n0", site, fmt.Sprintf(memoryOperator, front), front)
	if err != nil {
		return err
	}
	a, err := exchangeOnce(front, "POST", "/odata/Applications", map[string]string{"Content-Type": "application/json"}, `{"Id":"a","Status":"sent"}`, 5*time.Second)
	if err != nil || a.status != 201 {
		return fmt.Errorf("%w: the create was answered %d, %v", errCannotRun, a.status, err)
	}
	end := time.Now().Add(5 * time.Second)
	var served atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			a, err := exchangeOnce(front, "GET", "/odata/Applications('a')", map[string]string{"Deadline-Ms": "1000"}, "", 2*time.Second)
			p.note("read: status=%d err=%v", a.status, err)
			if err == nil && a.status == 200 {
				served.Add(1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	go func() {
		time.Sleep(time.Second)
		if !p.trouble {
			return
		}
		var parts []string
		for i := range 49 {
			parts = append(parts, fmt.Sprintf(`{"id":"%d","method":"get","url":"Applications('a')"}`, i))
		}
		parts = append(parts, `{"id":"x","method":"get","url":"Applications('a')","dependsOn":[`+strings.TrimSuffix(strings.Repeat(`"",`, 80000), ",")+`]}`)
		a, err := exchangeOnce(front, "POST", "/odata/$batch", map[string]string{"Content-Type": "application/json", "Deadline-Ms": "2000"}, `{"requests":[`+strings.Join(parts, ",")+`]}`, 5*time.Second)
		p.note("batch: status=%d err=%v bytes=%d", a.status, err, len(a.body))
	}()
	peak := p.limitMemory(driver, memory, end)
	<-done
	p.note("peak memory %.1f MB, %d reads served", peak, served.Load())
	if len(p.broken) == 0 && served.Load() < 100 {
		return fmt.Errorf("%w: only %d reads were served", errCannotRun, served.Load())
	}
	return nil
}
