package node

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pcg"
)

// TestConnectionFloodLeavesOtherListenerItsQuota floods one listener with connections. Without quotas they would use the descriptors of
// the other listener, whose clients must connect and be answered as usual.
func TestConnectionFloodLeavesOtherListenerItsQuota(t *testing.T) {
	for _, flooded := range []string{"odata", "pg"} {
		t.Run(flooded, func(t *testing.T) {
			g := startFakeCluster(t, "pg", 2, alwaysFault(faultNone))
			d, odataAddress := serveOData(t, "", 120, g, "")
			dialPG(t, d.address).query(t, taggedStatement("first", "order", 5000, 0))
			end := make(chan bool)
			var flood sync.WaitGroup
			g.mutex.Lock()
			g.wait = 40 * time.Millisecond
			g.mutex.Unlock()
			ended := func() bool {
				select {
				case <-end:
					return true
				default:
					return false
				}
			}
			connect := func(i int) (request func() bool, connection io.Closer) {
				if flooded == "odata" {
					c := dialHTTP(t, odataAddress)
					return func() bool { return c.do("GET", "Applications('x')", "").status != 0 }, c
				}
				c := dialPG(t, d.address)
				statement := taggedStatement(fmt.Sprintf("f%d", i), "look", 500, 0)
				return func() bool { return !strings.Contains(c.query(t, statement), "closed") }, c
			}
			for i := range 200 {
				flood.Go(func() { // most clients send requests until the end, one in eight is silent
					for !ended() {
						request, connection := connect(i)
						for i%8 > 0 && request() {
							if ended() {
								connection.Close()
								return
							}
						}
						time.Sleep(20 * time.Millisecond)
						connection.Close()
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			answered, slowest, total := 0, time.Duration(0), time.Duration(0)
			for i := range 40 {
				began := time.Now()
				if flooded == "odata" {
					if got := dialPG(t, d.address).query(t, taggedStatement(fmt.Sprintf("o%d", i), "order", 2000, 0)); strings.HasPrefix(got, "ok") {
						answered++
					}
				} else if got := dialHTTP(t, odataAddress).do("POST", "Applications", fmt.Sprintf(`{"Id":"o%d"}`, i), "Deadline-Ms: 2000"); got.status == 201 {
					answered++
				}
				slowest = max(slowest, time.Since(began))
				total += time.Since(began)
			}
			close(end)
			flood.Wait()
			t.Logf("%d of 40 answered during the flood, mean %v, slowest %v", answered, total/40, slowest)
			if answered < 38 || total/40 > 100*time.Millisecond { // without quotas the mean is twice as long
				t.Errorf("%d of 40 answered, mean %v, slowest %v; want at least 38 and a mean of 100 ms at most", answered, total/40, slowest)
			}
		})
	}
}

// TestHostileRequestsAreRejected sends ten thousand hostile requests to the OData listener. Each must be answered with an error or have its
// connection closed, none may reach a member, and the memory in use afterwards must be bounded.
func TestHostileRequestsAreRejected(t *testing.T) {
	g := startFakeCluster(t, "pg", 1, alwaysFault(faultNone))
	d, odataAddress := serveOData(t, "", 300, g, "")
	random := pcg.New(7)
	head := "POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
	hostile := []func() string{
		func() string {
			noise := make([]byte, 1+random.Below(3000))
			for i := range noise {
				noise[i] = byte(random.Uint32())
			}
			return string(noise)
		},
		func() string { return head + "Content-Length: 99999999999\r\n\r\n" },
		func() string { return head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
		func() string { return head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n" },
		func() string { return "GET /odata/" + strings.Repeat("a", 10000) + " HTTP/1.1\r\n" },
		func() string { return head + strings.Repeat("X: y\r\n", 3000) },
		func() string { return head + "Content-Length: 4\r\n\r\n{\"x\"" },
		func() string { return head + "Content-Length: 40000\r\n\r\n" + strings.Repeat("[", 40000) },
		func() string {
			return "GET /odata/Applications?$filter=" + strings.Repeat("(", 3000) + " HTTP/1.1\r\nHost: x\r\n\r\n"
		},
		func() string {
			return "POST /odata/$batch HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("{\"requests\":[", 2307) + "123456789"
		},
	}
	var texts []string
	for i := range 10000 {
		texts = append(texts, hostile[i%len(hostile)]())
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	before := heap()
	var workers sync.WaitGroup
	for worker := range 20 {
		workers.Go(func() {
			for i := worker; i < len(texts); i += 20 {
				c, err := net.Dial("tcp", odataAddress)
				if err != nil {
					t.Error(err)
					return
				}
				c.SetDeadline(time.Now().Add(10 * time.Second))
				c.Write([]byte(texts[i]))
				answer := make([]byte, 64)
				n, _ := c.Read(answer)
				if n > 0 && !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 4") && !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 5") {
					t.Errorf("%.40q was answered with %q", texts[i], answer[:n])
				}
				c.Close()
			}
		})
	}
	workers.Wait()
	time.Sleep(300 * time.Millisecond)
	after := heap()
	runtime.KeepAlive(texts)
	t.Logf("heap in use: %d KB before, %d KB after", before>>10, after>>10)
	if after > before+16<<20 {
		t.Errorf("heap in use grew from %d to %d KB, want 16 MB more at most", before>>10, after>>10)
	}
	if got := dialHTTP(t, odataAddress).do("GET", "Applications('a')", ""); got.status != 200 {
		t.Errorf("valid request afterwards: status %d, %s", got.status, got.body)
	}
	if calls := len(g.receivedCalls()); calls != 1 {
		t.Errorf("the member received %d attempts, want 1", calls)
	}
	d.stop()
}
