package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["1"] = republished }

// republished is case 1. Operators publish a list of classes without one that is no longer needed. Later the answer of a member that
// has committed a write is lost. The write must not be run twice by a client that trusts the driver's answers.
//
// With PUBLISH=0 nothing is published, for comparison.
func republished(w *world, trouble bool) error {
	c, d, err := w.group()
	if err != nil {
		return err
	}
	machines, err := w.controlMachines()
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	folder, err := w.mkdir("n0-configuration")
	if err != nil {
		return err
	}
	operator := applicationsFront(addresses[1], "") + fmt.Sprintf("configuration {\n fleet = \"bureau\"\n machines = [%s]\n folder = %q\n}\n",
		`"`+strings.Join(machines, `", "`)+`"`, folder)
	s := site{name: "n0", listen: addresses[0], discovery: d.address, targets: d.list.Targets, classes: []class{classLook, classOwn, classOrder("cell")}}
	if err := w.driver(s, operator); err != nil {
		return err
	}
	service := "http://" + addresses[1] + "/odata/Applications"
	if err := w.usualUpdates(c, service, "a-before"); err != nil {
		return err
	}
	if os.Getenv("PUBLISH") != "0" {
		if err := w.publish(machines, classOwn, classOrder("cell")); err != nil {
			return err
		}
	}
	if err := w.usualUpdates(c, service, "a-after"); err != nil {
		return err
	}
	if trouble {
		c.hangOn("a-hang")
	}
	first := time.Now()
	for range maxTries { // a client that asks again only where the answer says that this does no harm
		a := w.request("PATCH", service+"('a-hang')", setStatus("sent"), "Deadline-Ms", leftOf(first))
		if a.status != 503 {
			break
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond))
		if time.Since(first) >= totalWait {
			break
		}
	}
	return w.ranOnce(c, "a-hang")
}

// controlMachines starts three control machines and returns their addresses.
func (w *world) controlMachines() ([]string, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	for i, address := range addresses {
		name := fmt.Sprint("c", i)
		folder, err := w.mkdir(name)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf("control_machine %q {\n fleet = \"bureau\"\n listen = %q\n folder = %q\n", name, address, folder)
		for j, peer := range addresses {
			if j != i {
				text += fmt.Sprintf(" peer \"c%d\" {\n  at = %q\n }\n", j, peer)
			}
		}
		path, err := w.write(name+".hcl", text+"}\n")
		if err != nil {
			return nil, err
		}
		if _, err := w.start("control-"+name, "exec bin/passtack control --operator "+path); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

var errNotInForce = errors.New("the published version is not in force at the driver")

// publish publishes classes and waits until the driver has them in force.
func (w *world) publish(machines []string, classes ...class) error {
	list, info := classSettings(classes...)
	text, err := json.Marshal(map[string]any{"settings": map[string]any{"classes": list, "family_info": info}})
	if err != nil {
		return err
	}
	path, err := w.write("published.json", string(text))
	if err != nil {
		return err
	}
	at := strings.Join(machines, ",")
	return w.publishFile(path, at, 30*time.Second)
}

// publishFile publishes a file and waits until the driver has the version in force.
func (w *world) publishFile(path, at string, limit time.Duration) error {
	command := []string{"config", "publish", path, "--at", at, "--wait", "1s"}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		out, err := w.run(command...)
		if err == nil && strings.Contains(out, "in force at 1 of 1 drivers") {
			return nil
		}
		if err == nil && strings.Contains(out, "version ") { // published; from now on only the driver is awaited
			command = []string{"config", "status", "--at", at}
		}
	}
	return errNotInForce
}
