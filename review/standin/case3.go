package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["3"] = pushedBack }

// pushedBack is case 3. A member hangs after it has committed a repeatable update, so its answer is lost. The client repeats the update
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
	for try := 0; try < 3; try++ { // the client repeats until it knows the outcome
		a := w.request("PATCH", service+"('a-hang')", setStatus("sent"), "Deadline-Ms", "2000", "Repeatability-Request-ID", "update-a-hang",
			"Repeatability-First-Sent", first.UTC().Format(http.TimeFormat), "First-Sent-Ms", strconv.FormatInt(first.UnixMilli(), 10))
		if a.status < 300 || a.status == 412 {
			break
		}
		time.Sleep(max(a.retryAfter, 500*time.Millisecond))
	}
	return w.ranOnce(c, "a-hang")
}
