package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"passtack/internal/pgwire"
	"passtack/internal/testaddress"
)

// readySiteTemplate is a site file, whose initial endpoint list is outdated or missing.
const readySiteTemplate = `{"name":"n%d","listen":"%s","discovery":"%s","seed":"%x","limits":{"cores":0.2,"memory_mb":64,"sockets":256},
"known":%s,"settings":{"areas":["a"],"balancers":30,"tick_us":5000,"registry_mode":"automatic",
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"most_tries":8},
"classes":[{"name":"look","effect":"safe","group":"all","hard_limit_us":2500000,"late_worth":0.2,"points":3.0,"target_us":1000000}],
"family_info":{"behind":"hold","class_read":["recent"],"lag_allowed_us":[800000],"write_marks":"client"}}}`

// outdatedList is an endpoint list whose only member does not exist.
const outdatedList = `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`

// timeUntilReady returns the time until the driver answers an empty query, with which the platform's front checks whether it is ready.
func timeUntilReady(address string, startedAt time.Time) time.Duration {
	for time.Since(startedAt) < 30*time.Second {
		if took, ok := isReady(address, startedAt); ok {
			return took
		}
		time.Sleep(20 * time.Millisecond) // the platform's front retries as well
	}
	return 30 * time.Second
}

func isReady(address string, startedAt time.Time) (time.Duration, bool) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), append(pgwire.AppendHead(nil, 'Q', 1), 0)...))
	r := bufio.NewReader(c)
	for {
		var head [5]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return 0, false
		}
		if head[0] == 'I' {
			return time.Since(startedAt), true
		}
		if _, err := r.Discard(int(head[3])<<8 + int(head[4]) - 4); err != nil {
			return 0, false
		}
	}
}

// Thirty drivers start at once while discovery rejects connections or does not answer, with an outdated endpoint list or none, and start once more
// after all were killed. 90 % of them have to be ready within 10 s, and all within 30 s.
func TestDriversAreReadyInTime(t *testing.T) {
	const drivers = 30
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections wait in its queue and are never answered
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for name, c := range map[string]struct{ discovery, known string }{
		"silent, outdated list": {silent.Addr().String(), outdatedList}, "silent, no list": {silent.Addr().String(), "null"},
		"rejecting, no list": {testaddress.Reserve(t), "null"},
	} {
		t.Run(name, func(t *testing.T) {
			var files, addresses []string
			for i := range drivers {
				addresses = append(addresses, testaddress.Reserve(t))
				files = append(files, filepath.Join(t.TempDir(), "site.json"))
				text := fmt.Sprintf(readySiteTemplate, i, addresses[i], c.discovery, i+1, c.known)
				if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 {
				startedAt, took := time.Now(), make(chan time.Duration, drivers)
				var running []*exec.Cmd
				for i := range drivers {
					p := exec.Command(os.Args[0], "serve", "--site", files[i])
					p.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
					p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
					if err := p.Start(); err != nil {
						t.Fatal(err)
					}
					running = append(running, p)
					go func() { took <- timeUntilReady(addresses[i], startedAt) }()
				}
				var times []time.Duration
				for range drivers {
					times = append(times, <-took)
				}
				for _, p := range running {
					p.Process.Kill()
					p.Wait()
				}
				slices.Sort(times)
				t.Logf("ready after %v (50 %%), %v (90 %%), %v (all)", times[drivers/2], times[drivers*9/10-1], times[drivers-1])
				if times[drivers*9/10-1] > 10*time.Second || times[drivers-1] >= 30*time.Second {
					t.Errorf("ready after %v (90 %%), want 10 s at most; %v (all), want less than 30 s", times[drivers*9/10-1], times[drivers-1])
				}
			}
		})
	}
}
