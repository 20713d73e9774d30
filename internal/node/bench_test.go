package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/pgwire"
)

// startInstantMember starts a member that answers at once, and returns its address.
func startInstantMember(b testing.TB, role, protocol string) net.Addr {
	l := listenLocal(b)
	go serveConnections(l, func(c net.Conn) {
		defer c.Close()
		in, began := make([]byte, 4096), false
		for {
			size, err := c.Read(in)
			if err != nil {
				return
			}
			if protocol == "odata" && bytes.HasPrefix(in, []byte("HEAD ")) { // a health check
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				continue
			}
			if protocol == "odata" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nNode-Role: %s\r\nReplay-Position: %d\r\nContent-Type: application/json\r\n"+
					"Content-Length: 10\r\n\r\n{\"Id\":\"k\"}", role, time.Now().UnixMilli())
				continue
			}
			if !began {
				began = true
				c.Write(pgwire.AppendAuthenticationOK(nil, 1, 1))
				continue
			}
			if bytes.Equal(in[:size], []byte{'Q', 0, 0, 0, 5, 0}) { // the empty query
				c.Write(pgwire.AppendEmptyQueryResponse(nil))
				continue
			}
			c.Write(pgwire.AppendReady(appendReport(rowResponse(`{"Id":"k"}`), role)))
		}
	})
	return l.Addr()
}

// cpuTime returns the CPU time used by a thread of this process.
func cpuTime(b *testing.B, thread int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/self/task/%d/schedstat", thread))
	if err != nil {
		b.Skip("the system does not report the CPU time of threads")
	}
	nanos, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
	return time.Duration(nanos)
}

// serveOnThread runs the driver on a thread of its own and returns the number of the thread.
func serveOnThread(b *testing.B, n *Node) (thread int) {
	threadID := make(chan int)
	done := make(chan bool)
	go func() {
		runtime.LockOSThread()
		threadID <- unix.Gettid()
		n.loop.Run(func() {})
		close(done)
	}()
	b.Cleanup(func() {
		n.loop.Stop()
		n.loop.Wake()
		<-done
	})
	return <-threadID
}

// BenchmarkDriver measures the whole driver with members that answer at once. The CPU time per RPC should not grow with the number of
// clients.
func BenchmarkDriver(b *testing.B) {
	for _, clients := range []int{1, 16, 200, 1000} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) { serveAll(b, clients, "pg", "pg") })
	}
}

// BenchmarkOData measures the whole driver as BenchmarkDriver does, for OData clients and members of either protocol.
func BenchmarkOData(b *testing.B) {
	for _, members := range []string{"pg", "odata"} {
		for _, clients := range []int{1, 16, 200, 1000} {
			b.Run(fmt.Sprint(members, "/", clients), func(b *testing.B) { serveAll(b, clients, "odata", members) })
		}
	}
}

// serveAll measures a driver that serves b.N RPCs of several clients at once.
func serveAll(b *testing.B, clients int, front, members string) {
	var targets []string
	for i := range 4 {
		role := roleName(i == 0)
		targets = append(targets, endpointEntry(i, 0, startInstantMember(b, role, members), "in_service"))
	}
	odataAddress := ""
	var configFor func(string) string
	if front == "odata" {
		configFor = func(address string) string {
			odataAddress = address
			return officesConfig(address, "", members == "pg")
		}
	}
	n := buildDriverWithConfig(b, "", 8192, endpointList(1, true, targets...), testSettings, configFor)
	thread := serveOnThread(b, n)
	var ready, all sync.WaitGroup
	start := make(chan bool)
	rpcsPerClient := b.N/clients + 1
	for i := range clients {
		ready.Add(1)
		all.Go(func() {
			var c net.Conn
			var query, end []byte
			write := i%4 == 0 && clients > 1
			if front == "odata" {
				c = dialHTTP(b, odataAddress).Conn
				if query, end = httpRequest("GET", "Applications('k')", ""), []byte("}"); write {
					query = httpRequest("POST", "Applications", `{"Id":"k"}`)
				}
			} else {
				method := map[bool]string{true: "order", false: "look"}[write]
				c, end = dialPG(b, n.site.Listen.String()).Conn, pgwire.AppendReady(nil)
				query = queryMessage(taggedStatement(fmt.Sprintf("b%d", i), method, 2000, 0))
				c.Write(queryMessage(""))
				for in := make([]byte, 4096); ; {
					if k, _ := c.Read(in); bytes.HasSuffix(in[:k], append(pgwire.AppendHead(nil, 'I', 0), end...)) {
						break
					}
				}
			}
			sendRPCs := func(count int) {
				in := make([]byte, 4096)
				for range count {
					c.Write(query)
					for got := 0; ; {
						k, err := c.Read(in[got:])
						if err != nil {
							b.Error(err)
							return
						}
						if got += k; bytes.HasSuffix(in[:got], end) {
							break
						}
					}
				}
			}
			sendRPCs(20) // until the driver knows the roles of all members
			ready.Done()
			<-start
			sendRPCs(rpcsPerClient)
		})
	}
	ready.Wait()
	before, began := cpuTime(b, thread), time.Now()
	b.ReportAllocs()
	b.ResetTimer()
	close(start)
	all.Wait()
	b.StopTimer()
	total := float64(rpcsPerClient * clients)
	b.ReportMetric(float64(cpuTime(b, thread)-before)/total/1000, "cpu_µs/RPC")
	b.ReportMetric(total/time.Since(began).Seconds(), "RPC/s")
	if n.counters["rpcs_ok"] < int(total) {
		b.Errorf("%d of %.0f RPCs succeeded", n.counters["rpcs_ok"], total)
	}
}
