package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// repeatabilityHeaders are the header fields of a repeatable request that was first sent at that time.
func repeatabilityHeaders(id string, sent time.Time) []string {
	return []string{"Repeatability-Request-ID: " + id, "Repeatability-First-Sent: " + sent.UTC().Format(http.TimeFormat),
		fmt.Sprintf("First-Sent-Ms: %d", sent.UnixMilli())}
}

func createBody(key string) string { return fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key) }

// TestRepeatedCreatesHaveOneEffect repeats creates whose connection dropped before, during and after the write, that come at once, or whose
// first attempt hung: each has one effect, with members of both protocols.
func TestRepeatedCreatesHaveOneEffect(t *testing.T) {
	for _, speaks := range []string{"pg", "odata"} {
		t.Run(speaks, func(t *testing.T) {
			hangsFirst := map[string]bool{"hang": true, "late": true}
			g := startFakeCluster(t, speaks, 2, func(c *memberCall, nth int) memberFault {
				if hangsFirst[c.key] && nth == 1 {
					return faultHang
				}
				return faultNone
			})
			g.wait = 150 * time.Millisecond
			d, at := serveOData(t, "", 200, g, "")
			dialHTTP(t, at).do("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
			checkDroppedCreates(t, at)
			checkConcurrentCreates(t, d.address, at, speaks)
			g.mutex.Lock()
			g.wait = 10 * time.Millisecond
			g.mutex.Unlock()
			checkRepeatWindow(t, at)
			d.stop()
			for token, times := range g.effects {
				if times != 1 {
					t.Errorf("%s had %d effects", token, times)
				}
			}
			for _, call := range g.receivedCalls() {
				if call.key == "old" || call.key == "other" {
					t.Errorf("a member received a request that was rejected: %+v", call)
				}
			}
			if len(g.effects) < 7 || d.rpcs.Len() != 0 {
				t.Errorf("effects %v, %d RPCs are left", g.effects, d.rpcs.Len())
			}
		})
	}
}

// checkDroppedCreates drops the connection of a create and repeats it: the client receives the first outcome. Another request with the same
// id is rejected.
func checkDroppedCreates(t *testing.T, at string) {
	t.Helper()
	for _, when := range []string{"before", "in", "after"} {
		sent := time.Now()
		text := httpRequest("POST", "Applications", createBody(when), repeatabilityHeaders("id-"+when, sent)...)
		c := dialHTTP(t, at)
		switch when {
		case "before":
			c.Write(text[:len(text)-3])
		case "in":
			c.Write(text)
			time.Sleep(60 * time.Millisecond)
		case "after":
			c.Write(text)
			time.Sleep(400 * time.Millisecond)
		}
		c.Close()
		got := dialHTTP(t, at).do("POST", "Applications", createBody(when), repeatabilityHeaders("id-"+when, sent)...)
		if got.status != 201 || !strings.Contains(got.body, when) || got.header.Get("Repeatability-Result") != "accepted" {
			t.Errorf("dropped %s the write, repeated: %d %v %s", when, got.status, got.header, got.body)
		}
		other := dialHTTP(t, at).do("POST", "Applications", createBody("other"), repeatabilityHeaders("id-"+when, sent)...)
		if other.status != 412 || other.header.Get("Repeatability-Result") != "rejected" {
			t.Errorf("another request of the same id: %d %s", other.status, other.body)
		}
	}
}

// checkConcurrentCreates lets ten clients send the same create at once, one of them over the other protocol where members speak pg.
func checkConcurrentCreates(t *testing.T, atStatements, at, speaks string) {
	t.Helper()
	sent := time.Now()
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Go(func() {
			if i == 0 && speaks == "pg" {
				got := dialPG(t, atStatements).query(t, "/* id=both,c=order,d=900,k=id-both,cluster=0 */ INSERT INTO items (id, doc) VALUES ('both', 'x')")
				if !strings.HasPrefix(got, "ok") {
					t.Errorf("the same token over the other protocol: %s", got)
				}
				return
			}
			got := dialHTTP(t, at).do("POST", "Applications", createBody("both"), repeatabilityHeaders("id-both", sent)...)
			if got.status != 201 {
				t.Errorf("one of ten at once: %d %s", got.status, got.body)
			}
		})
	}
	clients.Wait()
}

// checkRepeatWindow repeats creates whose first attempt hung until its deadline: they run again inside the window and never after it.
func checkRepeatWindow(t *testing.T, at string) {
	t.Helper()
	for _, repeat := range []struct {
		key    string
		pause  time.Duration
		status int
	}{{"hang", 0, 201}, {"late", 1300 * time.Millisecond, 412}} {
		c := dialHTTP(t, at)
		for i := range 30 { // so that no member is an outlier any more
			c.do("PATCH", "Applications('calm')", `{"Status":"x"}`, repeatabilityHeaders(fmt.Sprintf("calm-%s-%d", repeat.key, i), time.Now())...)
		}
		sent := time.Now()
		headers := repeatabilityHeaders("id-"+repeat.key, sent)
		if got := c.do("POST", "Applications", createBody(repeat.key), append(headers, "Deadline-Ms: 300")...); got.status != 500 {
			t.Errorf("%s: the first receives %d %s", repeat.key, got.status, got.body)
		}
		time.Sleep(repeat.pause)
		if got := c.do("POST", "Applications", createBody(repeat.key), repeatabilityHeaders("id-"+repeat.key, sent)...); got.status != repeat.status {
			t.Errorf("%s: a repeat after %v receives %d %s", repeat.key, repeat.pause, got.status, got.body)
		}
	}
	unknown := dialHTTP(t, at).do("POST", "Applications", createBody("old"), repeatabilityHeaders("id-old", time.Now().Add(-5*time.Second))...)
	if unknown.status != 412 {
		t.Errorf("an unknown request of 5 s ago: %d %s", unknown.status, unknown.body)
	}
}

// TestAbandonedRepeatableRequestIsNotRetried closes the client of a repeatable create during an attempt that then fails: no retry begins,
// unless another client waits for the same request. A repeat by the client runs it anew.
func TestAbandonedRepeatableRequestIsNotRetried(t *testing.T) {
	arrived := make(chan string, 99)
	g := startFakeCluster(t, "pg", 2, func(c *memberCall, nth int) memberFault {
		arrived <- c.key
		if c.key != "first" && nth == 1 {
			return faultError
		}
		return faultNone
	})
	_, at := serveOData(t, "", 200, g, "")
	dialHTTP(t, at).do("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
	for len(arrived) > 0 {
		<-arrived
	}
	g.mutex.Lock()
	g.wait = 300 * time.Millisecond
	g.mutex.Unlock()
	for key, joined := range map[string]bool{"alone": false, "joined": true} {
		sent := time.Now()
		body := fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key)
		c := dialHTTP(t, at)
		c.Write(httpRequest("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
		for got := ""; got != key; got = <-arrived {
		}
		other := make(chan int, 1)
		if joined {
			second := dialHTTP(t, at)
			second.Write(httpRequest("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
			go func() { other <- second.readAnswer("POST").status }()
			dialHTTP(t, at).do("GET", "$metadata", "") // it came later and is answered, so the second request has been read
		}
		c.Close()
		want := 1
		if joined {
			if want = 2; <-other != 201 {
				t.Error("the client that waited for the same request was not served")
			}
		} else {
			time.Sleep(700 * time.Millisecond) // it has failed, and a retry would have come at once
		}
		g.mutex.Lock()
		if g.nth[key] != want {
			t.Errorf("%s: %d attempts, wanted %d", key, g.nth[key], want)
		}
		g.mutex.Unlock()
		if got := dialHTTP(t, at).do("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...); got.status != 201 {
			t.Errorf("%s, asked again: %d %s", key, got.status, got.body)
		}
	}
}
