package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// batchStatuses returns the status of each part of a multipart batch response.
func batchStatuses(body string) (all []string) {
	for _, line := range strings.Split(body, "\r\n") {
		if rest, found := strings.CutPrefix(line, "HTTP/1.1 "); found {
			all = append(all, rest[:3])
		}
	}
	return all
}

// multipartBatch encodes requests of the form "VERB target body" as a multipart batch.
func multipartBatch(requests ...string) (body, media string) {
	for _, r := range requests {
		verb, rest, _ := strings.Cut(r, " ")
		target, content, _ := strings.Cut(rest, " ")
		if body += "--b\r\nContent-Type: application/http\r\n\r\n" + verb + " " + target + " HTTP/1.1\r\n"; content != "" {
			body += "Content-Type: application/json\r\n"
		}
		body += "\r\n" + content + "\r\n"
	}
	return body + "--b--\r\n", "Content-Type: multipart/mixed; boundary=b"
}

// TestBatchWhilePrimaryFails sends batches with reads before and after a write. The reads after the write must see it. If the primary
// fails right after the write, no lagging replica may answer these reads.
func TestBatchWhilePrimaryFails(t *testing.T) {
	for _, protocol := range []string{"pg", "odata"} {
		t.Run(protocol, func(t *testing.T) {
			var g *fakeCluster
			killed := make(chan bool, 1)
			g = startFakeCluster(t, protocol, 3, func(c *memberCall, nth int) memberFault {
				if c.key == "new-2" && !c.write && c.member == 0 {
					select {
					case killed <- true:
						go g.kill(0)
					default:
					}
					return faultDisconnect
				}
				return faultNone
			})
			g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
			d, odataAddress := serveOData(t, "", 200, g, "")
			c := dialHTTP(t, odataAddress)
			c.do("POST", "Applications", `{"Id":"first"}`)
			body, media := multipartBatch("GET Applications('a')", `POST Applications {"Id":"new-1"}`, "GET Applications('new-1')", "GET Applications('b')")
			got := c.do("POST", "$batch", body, media)
			if fmt.Sprint(batchStatuses(got.body)) != "[200 201 200 200]" {
				t.Errorf("with a primary: status %d, %s", got.status, got.body)
			}
			body, media = multipartBatch("GET Applications('a')", `POST Applications {"Id":"new-2"}`, "GET Applications('new-2')", "GET Applications('c')")
			got = c.do("POST", "$batch", body, media, "Deadline-Ms: 2000")
			if s := fmt.Sprint(batchStatuses(got.body)); s != "[200 201 503 503]" && s != "[200 201 503 200]" { // the two reads run concurrently
				t.Errorf("primary fails after the write: status %d, %s", got.status, got.body)
			}
			got = c.do("POST", "$batch", body, media, "Prefer: continue-on-error", "Deadline-Ms: 2000")
			if s := batchStatuses(got.body); len(s) != 4 || s[1] != "503" || s[2] == "424" {
				t.Errorf("without a primary, continue on error: status %d, %s", got.status, got.body)
			}
			behindWrites := 0
			for _, call := range g.receivedCalls() {
				if call.after > 0 {
					behindWrites++
				}
				if call.after > 0 && (call.ran && call.member != 0 || call.method != "own" && protocol == "pg") {
					t.Errorf("member %d received a read that must see position %d, by method %s: lagging members must reject it", call.member, call.after, call.method)
				}
			}
			if behindWrites < 3 {
				t.Errorf("only %d reads that must see a write, want at least 3", behindWrites)
			}
			d.stop()
			if d.rpcs.Len() != 0 || d.counters["rpcs_overdue"] != 0 {
				t.Errorf("RPCs left over or overdue, counters %v", d.counters)
			}
		})
	}
}

// TestBatchSemantics checks references between parts, atomicity groups, and batches that are incomplete, exceed their deadline or are
// abandoned by their client.
func TestBatchSemantics(t *testing.T) {
	g := startFakeCluster(t, "pg", 2, alwaysFault(faultNone))
	d, odataAddress := serveOData(t, "", 200, g, "")
	c := dialHTTP(t, odataAddress)
	c.do("POST", "Applications", `{"Id":"first"}`)
	checkJSONBatch(t, g, c)
	checkIncompleteBatch(t, g, odataAddress)
	checkLateBatch(t, g, c)
	checkAbandonedBatch(t, g, odataAddress)
	d.stop()
	if d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs left over", d.rpcs.Len())
	}
}

// checkJSONBatch sends a batch with parts that refer to others, that fail, and that form an atomicity group, which is not supported.
func checkJSONBatch(t *testing.T, g *fakeCluster, c *httpClient) {
	t.Helper()
	got := c.do("POST", "$batch", `{"requests":[
{"id":"1","method":"post","url":"Applications","body":{"Id":"a"}},
{"id":"2","method":"get","url":"$1/Status","dependsOn":["1"]},
{"id":"3","method":"get","url":"Nobody"},
{"id":"4","method":"post","url":"Applications","atomicityGroup":"g","body":{"Id":"x"}},
{"id":"5","method":"post","url":"Applications","atomicityGroup":"g","body":{"Id":"y"}},
{"id":"6","method":"get","url":"$4","dependsOn":["4"]},
{"id":"7","method":"get","url":"/odata/Applications('z')"}]}`, "Prefer: odata.continue-on-error=true")
	for _, want := range []string{`"id":"1","status":201`, `"id":"2","status":200`, `"value":"sent"`, `"id":"3","status":404`, `"id":"4","atomicityGroup":"g","status":501`,
		`"id":"5","atomicityGroup":"g","status":501`, `"id":"6","status":4`, `"id":"7","status":200`} {
		if !strings.Contains(got.body, want) {
			t.Errorf("%s is missing in %s", want, got.body)
		}
	}
	for _, call := range g.receivedCalls() {
		if call.key == "x" || call.key == "y" {
			t.Errorf("a member received a part of an atomicity group: %s", call.text)
		}
	}
	if got := c.do("POST", "$batch", `{"requests":[]}`); got.status != 400 {
		t.Errorf("empty batch: status %d, want 400", got.status)
	}
}

// checkIncompleteBatch closes the connection in the middle of a batch. No part of it may reach a member.
func checkIncompleteBatch(t *testing.T, g *fakeCluster, odataAddress string) {
	t.Helper()
	before := len(g.receivedCalls())
	body, media := multipartBatch(`POST Applications {"Id":"half-1"}`, `POST Applications {"Id":"half-2"}`)
	text := httpRequest("POST", "$batch", body, media)
	half := dialHTTP(t, odataAddress)
	half.Write(text[:len(text)-20])
	time.Sleep(50 * time.Millisecond)
	half.Close()
	time.Sleep(100 * time.Millisecond)
	if after := len(g.receivedCalls()); after != before {
		t.Errorf("%d attempts for an incomplete batch, want none", after-before)
	}
}

// twelveCreates returns twelve parts of a batch, each of which creates an entity.
func twelveCreates(name string) (parts []string) {
	for i := range 12 {
		parts = append(parts, fmt.Sprintf(`POST Applications {"Id":"%s-%d"}`, name, i))
	}
	return parts
}

// checkLateBatch sends a batch that takes longer than its deadline. The client must receive all statuses before the
// deadline: parts that cannot run in time are rejected.
func checkLateBatch(t *testing.T, g *fakeCluster, c *httpClient) {
	t.Helper()
	g.mutex.Lock()
	g.wait = 120 * time.Millisecond
	g.mutex.Unlock()
	body, media := multipartBatch(twelveCreates("long")...)
	began := time.Now()
	got := c.do("POST", "$batch", body, media, "Deadline-Ms: 700", "Prefer: continue-on-error")
	took := time.Since(began)
	statuses := make(map[string]int)
	for _, s := range batchStatuses(got.body) {
		statuses[s]++
	}
	if took > 700*time.Millisecond || statuses["503"] == 0 || statuses["201"]+statuses["503"]+statuses["500"] != 12 {
		t.Errorf("statuses %[2]v after %[1]v", took, statuses)
	}
}

// checkAbandonedBatch closes the connection while a batch runs. Attempts in flight may end, but no others may start.
func checkAbandonedBatch(t *testing.T, g *fakeCluster, odataAddress string) {
	t.Helper()
	before := len(g.receivedCalls())
	client := dialHTTP(t, odataAddress)
	creates := twelveCreates("long")
	body, media := multipartBatch(slices.Concat(creates, creates)...)
	client.send("POST", "$batch", body, media)
	time.Sleep(200 * time.Millisecond)
	client.Close()
	time.Sleep(100 * time.Millisecond)
	atClose := len(g.receivedCalls())
	time.Sleep(400 * time.Millisecond)
	if after := len(g.receivedCalls()); after > atClose || after == before {
		t.Errorf("%d attempts before the client left, %d after", atClose-before, after-atClose)
	}
}
