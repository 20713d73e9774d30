package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"passtack/internal/testaddress"
)

// startControlMachines starts three control machines as processes. It returns their addresses, and a function that starts one of them again.
func startControlMachines(t *testing.T) (addresses []string, machines []*process, start func(n int)) {
	t.Helper()
	dir := t.TempDir()
	for range 3 {
		addresses = append(addresses, testaddress.Reserve(t))
	}
	machines = make([]*process, 3)
	start = func(n int) {
		machines[n] = startProcess(t, "control", "--operator", filepath.Join(dir, fmt.Sprintf("c%d.hcl", n)))
	}
	for n := range 3 {
		folder := filepath.Join(dir, fmt.Sprint("c", n))
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf("control_machine \"c%d\" {\n  fleet = \"shop\"\n  listen = %q\n  folder = %q\n", n, addresses[n], folder)
		for o := range 3 {
			if o != n {
				text += fmt.Sprintf("  peer \"c%d\" {\n    at = %q\n  }\n", o, addresses[o])
			}
		}
		os.WriteFile(filepath.Join(dir, fmt.Sprintf("c%d.hcl", n)), []byte(text+"}\n"), 0o600)
		start(n)
	}
	return addresses, machines, start
}

// Versions are published, shown, rejected by control machines or by drivers, replaced by older texts, and survive crashes of all control machines.
// Without a majority of them publishing has to fail with an error that says so.
func TestConfigCommands(t *testing.T) {
	addresses, processes, start := startControlMachines(t)
	machines := strings.Join(addresses, ",")
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	front := "front \"odata\" \"offices\" {\n  listen = \"" + testaddress.Reserve(t) + "\"\n  set \"Items\" {\n    key = \"Id\"\n    groups = [0]\n    property \"Id\" {}\n    operation \"read\" {\n" +
		"      method = \"own-read\"\n      statement = \"SELECT doc FROM items WHERE id = {key}\"\n    }\n  }\n}\n"
	startDriver := func(name, more string) {
		text := strings.NewReplacer(`"n0"`, fmt.Sprintf("%q", name), "127.0.0.1:6543", testaddress.Reserve(t), "127.0.0.1:8500", testaddress.Reserve(t)).Replace(testSite)
		configurationBlock := fmt.Sprintf("configuration {\n  fleet = \"shop\"\n  machines = [%q, %q, %q]\n}\n", addresses[0], addresses[1], addresses[2])
		startProcess(t, "serve", "--site", file(name+".json", text), "--operator", file(name+".hcl", configurationBlock+more))
	}
	startDriver("n0", "")
	startDriver("n1", front)
	runConfig := func(want bool, args ...string) string {
		t.Helper()
		out, ok := passtack(t, append([]string{"config"}, append(args, "--at", machines)...)...)
		if ok != want {
			t.Fatalf("config %v: %v\n%s", args, ok, out)
		}
		return out
	}
	expectOutput := func(out string, wants ...string) {
		t.Helper()
		for _, want := range wants {
			if !strings.Contains(out, want) {
				t.Errorf("%q is not in\n%s", want, out)
			}
		}
	}
	first := file("first.json", "{\"settings\": {\"caps\": {\"most_tries\": 4}}}\n")
	expectOutput(runConfig(true, "publish", first), "version 1\n", "version 1 is in force at 2 of 2 drivers; 0 lag, 0 refuse it")
	expectOutput(runConfig(true, "show"), `{"settings":{"caps":{"most_tries":4}}}`)
	expectOutput(runConfig(false, "publish", file("bad.json", `{"settings":{"caps":{"most_tries":"many"}}}`)), `bad.json: settings.caps.most_tries is "many": a whole number from 1 on is wanted`)
	expectOutput(runConfig(false, "publish", first, "--from", "7"), "version 1 is in force, and the text was made from 7: make it anew from that")
	fewer := file("fewer.json", `{"settings":{"classes":[{"name":"status-read","effect":"safe","points":1,"target_us":1000000,"hard_limit_us":2000000}],"family_info":{"class_read":["recent"]}}}`)
	expectOutput(runConfig(true, "publish", fewer), "version 2 is in force at 1 of 2 drivers; 0 lag, 1 refuse it", "refuses 2: the operator's file does not go with it", `method is none of the settings ("own-read")`)
	expectOutput(runConfig(true, "publish", first), "version 3 is in force at 2 of 2 drivers")
	var status struct {
		Version uint64
		Drivers map[string]struct{ Version uint64 }
	}
	if err := json.Unmarshal([]byte(runConfig(true, "status", "--json")), &status); err != nil || status.Version != 3 || status.Drivers["n1"].Version != 3 {
		t.Errorf("%v: %+v", err, status)
	}
	for _, p := range processes { // all control machines at once
		p.command.Process.Signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	start(0)
	expectOutput(runConfig(false, "publish", first), "1 of 3 control machines answer, which is no majority")
	expectOutput(runConfig(false, "publish", first, "--from", "3"), "no machine writes: a majority of them is down or cut off")
	start(1)
	expectOutput(runConfig(true, "publish", first), "version 4 is in force at 2 of 2 drivers")
	start(2)
	expectOutput(runConfig(true, "show"), "version 4")
	processes[2].command.Process.Signal(syscall.SIGTERM)
	if err := <-processes[2].ended; err != nil {
		t.Errorf("after SIGTERM the control machine ended with %v", err)
	}
	close(processes[2].ended)
}

// A configuration can be checked against a driver's own files before it is published.
func TestCheckConfiguration(t *testing.T) {
	dir := t.TempDir()
	siteFile, configurationFile := filepath.Join(dir, "site.json"), filepath.Join(dir, "configuration.json")
	os.WriteFile(siteFile, []byte(testSite), 0o600)
	for content, want := range map[string]string{
		`{"settings":{"caps":{"most_tries":4}}}`:              "",
		`{"settings":{"family_info":{"class_read":["old"]}}}`: `configuration.json: settings.family_info.class_read is "old" for classes.0`,
	} {
		os.WriteFile(configurationFile, []byte(content), 0o600)
		if out, ok := passtack(t, "check", "--site", siteFile, "--configuration", configurationFile); ok != (want == "") || !strings.Contains(out, want) {
			t.Errorf("%s: %s", content, out)
		}
	}
}
