package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// repeatabilityHeaders returns the header fields of a repeatable request that was first sent at a time.
func repeatabilityHeaders(id string, sent time.Time) []string {
	return []string{"Repeatability-Request-ID: " + id, "Repeatability-First-Sent: " + sent.UTC().Format(http.TimeFormat),
		fmt.Sprintf("First-Sent-Ms: %d", sent.UnixMilli())}
}

func createBody(key string) string { return fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key) }

// TestRepeatedCreatesHaveOneEffect repeats creates whose connection was closed before, during and after the write, that were sent several
// times at once, or whose first attempt got no answer. Each must have one effect, with members of both protocols.
func TestRepeatedCreatesHaveOneEffect(t *testing.T) {
	for _, protocol := range []string{"pg", "odata"} {
		t.Run(protocol, func(t *testing.T) {
			hangsAtFirst := map[string]bool{"hang": true, "late": true}
			g := startFakeCluster(t, protocol, 2, func(c *memberCall, nth int) memberFault {
				if hangsAtFirst[c.key] && nth == 1 {
					return faultHang
				}
				return faultNone
			})
			g.wait = 150 * time.Millisecond
			d, odataAddress := serveOData(t, "", 200, g, "")
			dialHTTP(t, odataAddress).do("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
			checkClosedCreates(t, odataAddress)
			checkConcurrentCreates(t, d.address, odataAddress, protocol)
			g.mutex.Lock()
			g.wait = 10 * time.Millisecond
			g.mutex.Unlock()
			checkRepeatWindow(t, odataAddress)
			d.stop()
			for token, count := range g.effects {
				if count != 1 {
					t.Errorf("%s had %d effects, want 1", token, count)
				}
			}
			for _, call := range g.receivedCalls() {
				if call.key == "old" || call.key == "other" {
					t.Errorf("a member received a request that the driver should reject: %+v", call)
				}
			}
			if len(g.effects) < 7 || d.rpcs.Len() != 0 {
				t.Errorf("effects %v, %d RPCs left over", g.effects, d.rpcs.Len())
			}
		})
	}
}

// checkClosedCreates closes the connection of a create and repeats the create. The client must receive the first outcome, and a different
// request with the same id must be rejected.
func checkClosedCreates(t *testing.T, odataAddress string) {
	t.Helper()
	for _, when := range []string{"before", "during", "after"} {
		sent := time.Now()
		text := httpRequest("POST", "Applications", createBody(when), repeatabilityHeaders("id-"+when, sent)...)
		c := dialHTTP(t, odataAddress)
		switch when {
		case "before":
			c.Write(text[:len(text)-3])
		case "during":
			c.Write(text)
			time.Sleep(60 * time.Millisecond)
		case "after":
			c.Write(text)
			time.Sleep(400 * time.Millisecond)
		}
		c.Close()
		got := dialHTTP(t, odataAddress).do("POST", "Applications", createBody(when), repeatabilityHeaders("id-"+when, sent)...)
		if got.status != 201 || !strings.Contains(got.body, when) || got.header.Get("Repeatability-Result") != "accepted" {
			t.Errorf("repeat after a close %s the write: status %d, %v, %s", when, got.status, got.header, got.body)
		}
		other := dialHTTP(t, odataAddress).do("POST", "Applications", createBody("other"), repeatabilityHeaders("id-"+when, sent)...)
		if other.status != 412 || other.header.Get("Repeatability-Result") != "rejected" {
			t.Errorf("different request with the same id: status %d, %s", other.status, other.body)
		}
	}
}

// checkConcurrentCreates makes ten clients send the same create at once, one of them over the other protocol if members speak pg.
func checkConcurrentCreates(t *testing.T, pgAddress, odataAddress, protocol string) {
	t.Helper()
	sent := time.Now()
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Go(func() {
			if i == 0 && protocol == "pg" {
				got := dialPG(t, pgAddress).query(t, "/* id=both,c=order,d=900,k=id-both,cluster=0 */ INSERT INTO items (id, doc) VALUES ('both', 'x')")
				if !strings.HasPrefix(got, "ok") {
					t.Errorf("same token over the other protocol: the client received %s", got)
				}
				return
			}
			got := dialHTTP(t, odataAddress).do("POST", "Applications", createBody("both"), repeatabilityHeaders("id-both", sent)...)
			if got.status != 201 {
				t.Errorf("one of ten concurrent creates: status %d, %s", got.status, got.body)
			}
		})
	}
	clients.Wait()
}

// checkRepeatWindow repeats creates whose first attempt got no answer until its deadline. A repeat must run within the repeat window and be
// rejected after it.
func checkRepeatWindow(t *testing.T, odataAddress string) {
	t.Helper()
	for _, repeat := range []struct {
		key    string
		pause  time.Duration
		status int
	}{{"hang", 0, 201}, {"late", 1300 * time.Millisecond, 412}} {
		c := dialHTTP(t, odataAddress)
		for i := range 30 { // until no member counts as an outlier any more
			c.do("PATCH", "Applications('calm')", `{"Status":"x"}`, repeatabilityHeaders(fmt.Sprintf("calm-%s-%d", repeat.key, i), time.Now())...)
		}
		sent := time.Now()
		headers := repeatabilityHeaders("id-"+repeat.key, sent)
		if got := c.do("POST", "Applications", createBody(repeat.key), append(headers, "Deadline-Ms: 300")...); got.status != 500 {
			t.Errorf("%s: the first request was answered with %d %s", repeat.key, got.status, got.body)
		}
		time.Sleep(repeat.pause)
		if got := c.do("POST", "Applications", createBody(repeat.key), repeatabilityHeaders("id-"+repeat.key, sent)...); got.status != repeat.status {
			t.Errorf("%s: a repeat after %v was answered with %d %s", repeat.key, repeat.pause, got.status, got.body)
		}
	}
	unknown := dialHTTP(t, odataAddress).do("POST", "Applications", createBody("old"), repeatabilityHeaders("id-old", time.Now().Add(-5*time.Second))...)
	if unknown.status != 412 {
		t.Errorf("unknown request that was first sent 5 s ago: status %d, %s", unknown.status, unknown.body)
	}
}

// TestAbandonedRepeatableRequestIsNotRetried closes the client of a repeatable create during an attempt that then fails. It must not be
// retried unless another client waits for the same request. A later repeat by the client must run it again.
func TestAbandonedRepeatableRequestIsNotRetried(t *testing.T) {
	arrived := make(chan string, 99)
	g := startFakeCluster(t, "pg", 2, func(c *memberCall, nth int) memberFault {
		arrived <- c.key
		if c.key != "first" && nth == 1 {
			return faultError
		}
		return faultNone
	})
	_, odataAddress := serveOData(t, "", 200, g, "")
	dialHTTP(t, odataAddress).do("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
	for len(arrived) > 0 {
		<-arrived
	}
	g.mutex.Lock()
	g.wait = 300 * time.Millisecond
	g.mutex.Unlock()
	for key, joined := range map[string]bool{"alone": false, "joined": true} {
		sent := time.Now()
		body := fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key)
		c := dialHTTP(t, odataAddress)
		c.Write(httpRequest("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
		for got := ""; got != key; got = <-arrived {
		}
		other := make(chan int, 1)
		if joined {
			second := dialHTTP(t, odataAddress)
			second.Write(httpRequest("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
			go func() { other <- second.readAnswer("POST").status }()
			dialHTTP(t, odataAddress).do("GET", "$metadata", "") // this request was sent later and is answered, so the second request has been read
		}
		c.Close()
		want := 1
		if joined {
			if want = 2; <-other != 201 {
				t.Error("the client that waited for the same request was not served")
			}
		} else {
			time.Sleep(700 * time.Millisecond) // the attempt has failed by now, and a retry would have followed at once
		}
		g.mutex.Lock()
		if g.attempts[key] != want {
			t.Errorf("%s: %d attempts, want %d", key, g.attempts[key], want)
		}
		g.mutex.Unlock()
		if got := dialHTTP(t, odataAddress).do("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...); got.status != 201 {
			t.Errorf("%s, repeated: status %d, %s", key, got.status, got.body)
		}
	}
}
