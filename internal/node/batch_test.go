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

// TestBatchWhilePrimaryFails sends batches of reads around a write: the reads after the write see it. Then the primary fails right after
// the write: no lagging replica answers a read that has to see it.
func TestBatchWhilePrimaryFails(t *testing.T) {
	for _, speaks := range []string{"pg", "odata"} {
		t.Run(speaks, func(t *testing.T) {
			var g *fakeCluster
			died := make(chan bool, 1)
			g = startFakeCluster(t, speaks, 3, func(c *memberCall, nth int) memberFault {
				if c.key == "new-2" && !c.write && c.member == 0 {
					select {
					case died <- true:
						go g.kill(0)
					default:
					}
					return faultDisconnect
				}
				return faultNone
			})
			g.members[1].lag, g.members[2].lag = 5*time.Second, 5*time.Second
			d, at := serveOData(t, "", 200, g, "")
			c := dialHTTP(t, at)
			c.do("POST", "Applications", `{"Id":"first"}`)
			body, media := multipartBatch("GET Applications('a')", `POST Applications {"Id":"new-1"}`, "GET Applications('new-1')", "GET Applications('b')")
			got := c.do("POST", "$batch", body, media)
			if fmt.Sprint(batchStatuses(got.body)) != "[200 201 200 200]" {
				t.Errorf("with a primary: %d %s", got.status, got.body)
			}
			body, media = multipartBatch("GET Applications('a')", `POST Applications {"Id":"new-2"}`, "GET Applications('new-2')", "GET Applications('c')")
			got = c.do("POST", "$batch", body, media, "Deadline-Ms: 2000")
			if s := fmt.Sprint(batchStatuses(got.body)); s != "[200 201 503 503]" && s != "[200 201 503 200]" { // the two reads run concurrently
				t.Errorf("the primary dies behind the write: %d %s", got.status, got.body)
			}
			got = c.do("POST", "$batch", body, media, "Prefer: continue-on-error", "Deadline-Ms: 2000")
			if s := batchStatuses(got.body); len(s) != 4 || s[1] != "503" || s[2] == "424" {
				t.Errorf("then without a primary, going on: %d %s", got.status, got.body)
			}
			behindWrites := 0
			for _, call := range g.receivedCalls() {
				if call.after > 0 {
					behindWrites++
				}
				if call.after > 0 && (call.ran && call.member != 0 || call.method != "own" && speaks == "pg") {
					t.Errorf("member %d, which lags, answered what must see %d by %s", call.member, call.after, call.method)
				}
			}
			if behindWrites < 3 {
				t.Errorf("only %d reads behind a write", behindWrites)
			}
			d.stop()
			if d.rpcs.Len() != 0 || d.counters["rpcs_overdue"] != 0 {
				t.Errorf("counted %v", d.counters)
			}
		})
	}
}

// TestBatchSemantics checks references between parts, atomicity groups, and batches that are incomplete, late or abandoned by their client.
func TestBatchSemantics(t *testing.T) {
	g := startFakeCluster(t, "pg", 2, alwaysFault(faultNone))
	d, at := serveOData(t, "", 200, g, "")
	c := dialHTTP(t, at)
	c.do("POST", "Applications", `{"Id":"first"}`)
	checkJSONBatch(t, g, c)
	checkIncompleteBatch(t, g, at)
	checkLateBatch(t, g, c)
	checkAbandonedBatch(t, g, at)
	d.stop()
	if d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs are left", d.rpcs.Len())
	}
}

// checkJSONBatch sends parts that refer to others, fail, or form an atomicity group, which is not supported.
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
			t.Errorf("no %s in %s", want, got.body)
		}
	}
	for _, call := range g.receivedCalls() {
		if call.key == "x" || call.key == "y" {
			t.Errorf("a part of an atomicity group was sent: %s", call.text)
		}
	}
	if got := c.do("POST", "$batch", `{"requests":[]}`); got.status != 400 {
		t.Errorf("an empty batch: %d", got.status)
	}
}

// checkIncompleteBatch closes the connection in the middle of a batch: none of it is sent.
func checkIncompleteBatch(t *testing.T, g *fakeCluster, at string) {
	t.Helper()
	before := len(g.receivedCalls())
	body, media := multipartBatch(`POST Applications {"Id":"half-1"}`, `POST Applications {"Id":"half-2"}`)
	text := httpRequest("POST", "$batch", body, media)
	half := dialHTTP(t, at)
	half.Write(text[:len(text)-20])
	time.Sleep(50 * time.Millisecond)
	half.Close()
	time.Sleep(100 * time.Millisecond)
	if now := len(g.receivedCalls()); now != before {
		t.Errorf("%d attempts of half a batch", now-before)
	}
}

// twelveCreates are the parts of a batch.
func twelveCreates(name string) (parts []string) {
	for i := range 12 {
		parts = append(parts, fmt.Sprintf(`POST Applications {"Id":"%s-%d"}`, name, i))
	}
	return parts
}

// checkLateBatch sends a batch that takes longer than its deadline: no part is sent after it, and the client receives all statuses before it.
func checkLateBatch(t *testing.T, g *fakeCluster, c *httpClient) {
	t.Helper()
	g.mutex.Lock()
	g.wait = 120 * time.Millisecond
	g.mutex.Unlock()
	body, media := multipartBatch(twelveCreates("long")...)
	began := time.Now()
	got := c.do("POST", "$batch", body, media, "Deadline-Ms: 700", "Prefer: continue-on-error")
	took := time.Since(began)
	answers := make(map[string]int)
	for _, s := range batchStatuses(got.body) {
		answers[s]++
	}
	if took > 700*time.Millisecond || answers["503"] == 0 || answers["201"]+answers["503"]+answers["500"] != 12 {
		t.Errorf("after %v: %v", took, answers)
	}
}

// checkAbandonedBatch closes the connection while a batch runs: attempts that are in flight may end, no other begins.
func checkAbandonedBatch(t *testing.T, g *fakeCluster, at string) {
	t.Helper()
	sent := len(g.receivedCalls())
	leaver := dialHTTP(t, at)
	creates := twelveCreates("long")
	body, media := multipartBatch(slices.Concat(creates, creates)...)
	leaver.send("POST", "$batch", body, media)
	time.Sleep(200 * time.Millisecond)
	leaver.Close()
	time.Sleep(100 * time.Millisecond)
	atClose := len(g.receivedCalls())
	time.Sleep(400 * time.Millisecond)
	if now := len(g.receivedCalls()); now > atClose || now == sent {
		t.Errorf("%d attempts before the client left, %d after", atClose-sent, now-atClose)
	}
}
