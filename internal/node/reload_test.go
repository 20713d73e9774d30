package node

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestReloadUnderLoad reloads the operator's file under load: entity sets and limits change, and an invalid file changes nothing.
func TestReloadUnderLoad(t *testing.T) {
	g := startCluster(t, "pg", 2, always(fine))
	d, at := serveOData(t, "", 200, g, "")
	h := dialHTTP(t, at)
	text, err := os.ReadFile(d.site.ConfigFile)
	if err != nil {
		t.Fatal(err)
	}
	end, asked := make(chan bool), make(chan int)
	go func() {
		c, n := dial(t, d.at), 0
		for {
			select {
			case <-end:
				asked <- n
				return
			default:
				n++
				if got := c.ask(t, statement(fmt.Sprintf("load-%d", n), "look", 2000, 0)); !strings.HasPrefix(got, "ok") {
					t.Errorf("during a reload an RPC receives %s", got)
				}
			}
		}
	}()
	write := func(text string) {
		os.WriteFile(d.site.ConfigFile, []byte(text), 0o600)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for range 200 {
			if ok() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%s does not come", what)
	}
	time.Sleep(time.Second) // the platform sends SIGHUP no sooner
	write(strings.Replace(string(text), `set "Mine"`, `set "Own"`, 1))
	until("a set of another name", func() bool {
		return h.ask("GET", "Own('a')", "").status == 200 && h.ask("GET", "Mine('a')", "").status == 404
	})
	write("front \"odata\" \"offices\" {\nlisten = 7\n}\n")
	time.Sleep(300 * time.Millisecond)
	if got := h.ask("GET", "Own('a')", ""); got.status != 200 {
		t.Errorf("after an invalid file: %d", got.status)
	}
	write(strings.Replace(string(text), "root = ", "limits { body_bytes = 300 }\nroot = ", 1))
	until("another limit", func() bool {
		return dialHTTP(t, at).ask("POST", "Applications", fmt.Sprintf(`{"Id":"a","Status":%q}`, strings.Repeat("x", 400))).status == 413
	})
	close(end)
	if n := <-asked; n < 100 {
		t.Errorf("only %d RPCs meanwhile", n)
	}
	d.stop()
	if d.counters["reloads"] != 2 || d.counters["reloads_failed"] != 1 {
		t.Errorf("counted %v", d.counters)
	}
}
