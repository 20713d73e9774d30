package main

import (
	"fmt"
	"time"
)

func init() { cases["3"] = pushedBack }

// pushedBack is case 3. The answer of a member that has committed a repeatable update is lost. The client repeats the update
// under the same Repeatability-Request-ID when the driver's answer says. It must not be run a second time.
//
// With STICKY=0 the operator's file says that repeats of a client may come to other drivers, with SCOPE=cell only the members of the group
// drop repeats, for comparison.
func pushedBack(w *world, trouble bool) error {
	c, d, err := w.group()
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	s := site{name: "n0", listen: addresses[0], discovery: d.address, targets: d.list.Targets,
		classes: []class{classLook, classOwn, classOrder(setting("SCOPE", "all"))}}
	repeats := fmt.Sprintf("repeats {\n sticky = %v\n }", setting("STICKY", "1") == "1")
	if err := w.driver(s, applicationsFront(addresses[1], repeats)); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond) // dates have seconds: the first try is to come in a later second than the start
	service := "http://" + addresses[1] + "/odata/Applications"
	if err := w.usualUpdates(c, service, "a-usual"); err != nil {
		return err
	}
	if trouble {
		c.hangOn("a-hang")
	}
	first := time.Now()
	fields := repeatable("update-a-hang", first)
	for range maxTries {
		a := w.request("PATCH", service+"('a-hang')", setStatus("sent"), append(fields, "Deadline-Ms", leftOf(first))...)
		if a.status < 300 || a.status == 412 {
			break
		}
		time.Sleep(max(a.retryAfter, time.Until(first.Add(1260*time.Millisecond)))) // the window is over then
		if time.Since(first) >= totalWait {
			break
		}
	}
	return w.ranOnce(c, "a-hang")
}
