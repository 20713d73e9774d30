package node

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestReloadUnderLoad reloads the operator's file while a client sends RPCs, all of which must succeed: entity sets and limits change, and
// an invalid file changes nothing.
func TestReloadUnderLoad(t *testing.T) {
	g := startFakeCluster(t, "pg", 2, alwaysFault(faultNone))
	d, address := serveOData(t, "", 200, g, "")
	h := dialHTTP(t, address)
	text, err := os.ReadFile(d.site.ConfigFile)
	if err != nil {
		t.Fatal(err)
	}
	end, sent := make(chan bool), make(chan int)
	go func() {
		c, n := dialPG(t, d.address), 0
		for {
			select {
			case <-end:
				sent <- n
				return
			default:
				n++
				if got := c.query(t, taggedStatement(fmt.Sprintf("load-%d", n), "look", 2000, 0)); !strings.HasPrefix(got, "ok") {
					t.Errorf("during a reload an RPC is answered %s, want ok", got)
				}
			}
		}
	}()
	write := func(text string) {
		os.WriteFile(d.site.ConfigFile, []byte(text), 0o600)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for range 200 {
			if ok() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%s has no effect within 2 s", what)
	}
	time.Sleep(time.Second) // the platform does not send SIGHUP earlier
	write(strings.Replace(string(text), `set "Mine"`, `set "Own"`, 1))
	eventually("the new name of an entity set", func() bool {
		return h.do("GET", "Own('a')", "").status == 200 && h.do("GET", "Mine('a')", "").status == 404
	})
	write("front \"odata\" \"offices\" {\nlisten = 7\n}\n")
	time.Sleep(300 * time.Millisecond)
	if got := h.do("GET", "Own('a')", ""); got.status != 200 {
		t.Errorf("after an invalid file a read has status %d, want 200", got.status)
	}
	write(strings.Replace(string(text), "root = ", "limits { body_bytes = 300 }\nroot = ", 1))
	eventually("the new limit", func() bool {
		return dialHTTP(t, address).do("POST", "Applications", fmt.Sprintf(`{"Id":"a","Status":%q}`, strings.Repeat("x", 400))).status == 413
	})
	close(end)
	if n := <-sent; n < 100 {
		t.Errorf("only %d RPCs during the reloads, want at least 100", n)
	}
	d.stop()
	if d.counters["reloads"] != 2 || d.counters["reloads_failed"] != 1 {
		t.Errorf("reloads are counted wrongly: %v", d.counters)
	}
}

// After SIGHUP the driver uses the discovery address of the changed file, although the environment named another one at the
// start. An invalid file changes nothing, and one that is half written is read again.
func TestReload(t *testing.T) {
	first, second := startFakeMember(t, respondAsLeader), startFakeMember(t, respondAsLeader)
	calls, answers := make(chan bool, 100), make(chan string, 1)
	old := startDiscovery(t, make(chan bool, 100), make(chan string))
	n := buildDriver(t, old, 100, endpointList(1, true, endpointEntry(1, 0, first.listener.Addr(), "in_service")), testSettings)
	n.site.environment = func(name string) string { return map[string]string{"BALANCER_DISCOVERY": old}[name] }
	text, err := os.ReadFile(n.site.file)
	if err != nil {
		t.Fatal(err)
	}
	d := runDriver(t, n)
	c := dialPG(t, d.address)
	reload := func(text string) {
		t.Helper()
		os.WriteFile(n.site.file, []byte(text), 0o600)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		if got := c.query(t, taggedStatement("a1", "order", 5000, 0)); got != "ok value of a1" {
			t.Fatalf("during a reload an RPC is answered %s", got)
		}
	}
	reload("{")
	time.Sleep(time.Second)
	answers <- endpointList(7, true, endpointEntry(2, 0, second.listener.Addr(), "in_service"))
	fresh := strings.Replace(string(text), old, startDiscovery(t, calls, answers), 1)
	reload(fresh[:len(fresh)/2])
	time.Sleep(50 * time.Millisecond)
	os.WriteFile(n.site.file, []byte(fresh), 0o600) // the rest of the file, 50 ms later
	for range 2 {                                   // the list and the watch that follows it
		select {
		case <-calls:
		case <-time.After(4 * time.Second):
			t.Fatal("the new discovery received no request within 4 s")
		}
	}
	seenBefore := len(first.seen())
	if got := c.query(t, taggedStatement("a2", "order", 5000, 0)); got != "ok value of a2" || len(first.seen()) != seenBefore {
		t.Errorf("after the reload an RPC is answered %s, want ok from the second member", got)
	}
	d.stop()
	if d.counters["reloads"] != 1 || d.counters["reloads_failed"] != 1 || d.counters["list_failures"] != 0 {
		t.Errorf("reloads are counted wrongly: %v", d.counters)
	}
}
