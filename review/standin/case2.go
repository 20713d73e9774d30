package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["2"] = twoFronts }

// twoFronts is case 2. A driver offers one set at two OData fronts, and its operator says that a client's repeats come to this driver only.
// A client's connection drops while its repeatable update is in service. The client repeats it at the other front of the same driver, after
// the window in which members drop repeats. It must not be run a second time.
//
// With FRONT=same the client repeats it at the same front, for comparison.
func twoFronts(w *world, trouble bool) error {
	c, d, err := w.group()
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	s := site{name: "n0", listen: addresses[0], discovery: d.address, targets: d.list.Targets, classes: []class{classLook, classOwn, classOrder("cell")}}
	const repeats = "repeats {\n sticky = true\n }"
	operator := applicationsFront(addresses[1], repeats) + strings.Replace(applicationsFront(addresses[2], repeats), `"offices"`, `"desks"`, 1)
	if err := w.driver(s, operator); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond) // dates have seconds: the first try is to come in a later second than the start
	if err := w.usualUpdates(c, "http://"+addresses[1]+"/odata/Applications", "a-usual"); err != nil {
		return err
	}
	const path = "/odata/Applications('a-1')"
	first := time.Now()
	fields := repeatable("update-a-1", first)
	if !trouble {
		w.request("PATCH", "http://"+addresses[1]+path, setStatus("sent"), append(fields, "Deadline-Ms", leftOf(first))...)
		return w.ranOnce(c, "a-1")
	}
	if err := w.dropped(addresses[1], path, setStatus("sent"), append(fields, "Deadline-Ms", leftOf(first))); err != nil {
		return err
	}
	time.Sleep(time.Until(first.Add(1260 * time.Millisecond)))
	front := addresses[2]
	if setting("FRONT", "other") == "same" {
		front = addresses[1]
	}
	w.request("PATCH", "http://"+front+path, setStatus("sent"), append(fields, "Deadline-Ms", leftOf(first))...)
	return w.ranOnce(c, "a-1")
}

// dropped sends a request and closes the connection 5 ms later, before the answer.
func (w *world) dropped(address, path, body string, fields []string) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	head := "PATCH " + path + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Type: application/json\r\n"
	for i := 0; i+1 < len(fields); i += 2 {
		head += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	w.record.add("client  sends PATCH %s %s %s", path, strings.Join(fields, " "), body)
	if _, err := fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		return err
	}
	time.Sleep(5 * time.Millisecond)
	w.record.add("client  its connection drops")
	return connection.Close()
}

// repeatable returns the fields of a repeatable request, which are the same in each repeat.
func repeatable(id string, first time.Time) []string {
	return []string{"Repeatability-Request-ID", id, "Repeatability-First-Sent", first.UTC().Format(http.TimeFormat),
		"First-Sent-Ms", strconv.FormatInt(first.UnixMilli(), 10)}
}

const (
	// totalWait is how long a client waits over all its tries, hard_limit_us of the class of updates.
	totalWait = 2 * time.Second
	// tryWait is how long it waits for one try: tries are given up after 40 to 100% of that.
	tryWait = 800 * time.Millisecond
)

// leftOf returns the milliseconds that a client waits for its next try if it sent the first one at that time.
func leftOf(first time.Time) string {
	return strconv.FormatInt(max(min(time.Until(first.Add(totalWait)), tryWait).Milliseconds(), 1), 10)
}
