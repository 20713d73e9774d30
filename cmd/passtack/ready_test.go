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
)

// readySite is a driver's file, with an old list of members that are gone or with none.
const readySite = `{"name":"n%d","listen":"%s","discovery":"%s","seed":"%x","limits":{"cores":0.2,"memory_mb":64,"sockets":256},
"known":%s,"settings":{"areas":["a"],"balancers":30,"tick_us":5000,"registry_mode":"automatic",
"caps":{"connect_timeout_us":250000,"idle_close_us":15000000,"max_retry_after_us":1000000,"may_cancel":true,"most_tries":8},
"classes":[{"name":"look","effect":"safe","group":"all","hard_limit_us":2500000,"late_worth":0.2,"points":3.0,"target_us":1000000}],
"family_info":{"behind":"hold","class_read":["recent"],"lag_allowed_us":[800000],"write_marks":"client"}}}`

const oldList = `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`

// answersReady tells how long it takes until an empty query is answered at the address, as the front asks it.
func answersReady(at string, began time.Time) time.Duration {
	for time.Since(began) < 30*time.Second {
		if took, ok := reportsReady(at, began); ok {
			return took
		}
		time.Sleep(20 * time.Millisecond) // it is not there yet; the front comes again too
	}
	return 30 * time.Second
}

func reportsReady(at string, began time.Time) (time.Duration, bool) {
	c, err := net.DialTimeout("tcp", at, time.Second)
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
			return time.Since(began), true
		}
		if _, err := r.Discard(int(head[3])<<8 + int(head[4]) - 4); err != nil {
			return 0, false
		}
	}
}

// Nine in ten of thirty drivers that start at one moment are ready within 10 s, and all within 30 s, while discovery refuses
// or says nothing, with an old list or none; and again after all were killed.
func TestDriversAreReadyInTime(t *testing.T) {
	const drivers = 30
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections into its queue and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for name, c := range map[string]struct{ discovery, known string }{
		"silent, an old list": {silent.Addr().String(), oldList}, "silent, no list": {silent.Addr().String(), "null"},
		"refuses, no list": {freeAddress(t), "null"},
	} {
		t.Run(name, func(t *testing.T) {
			var files, at []string
			for i := range drivers {
				at = append(at, freeAddress(t))
				files = append(files, filepath.Join(t.TempDir(), "site.json"))
				text := fmt.Sprintf(readySite, i, at[i], c.discovery, i+1, c.known)
				if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			for range 2 {
				began, took := time.Now(), make(chan time.Duration, drivers)
				var running []*exec.Cmd
				for i := range drivers {
					p := exec.Command(os.Args[0], "serve", "--site", files[i])
					p.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
					p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
					if err := p.Start(); err != nil {
						t.Fatal(err)
					}
					running = append(running, p)
					go func() { took <- answersReady(at[i], began) }()
				}
				var all []time.Duration
				for range drivers {
					all = append(all, <-took)
				}
				for _, p := range running {
					p.Process.Kill()
					p.Wait()
				}
				slices.Sort(all)
				t.Logf("ready after %v (half), %v (nine in ten), %v (all)", all[drivers/2], all[drivers*9/10-1], all[drivers-1])
				if all[drivers*9/10-1] > 10*time.Second || all[drivers-1] >= 30*time.Second {
					t.Errorf("ready after %v (nine in ten), %v (all)", all[drivers*9/10-1], all[drivers-1])
				}
			}
		})
	}
}
