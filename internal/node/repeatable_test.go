package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func repeatabilityHeaders(id string, sent time.Time) []string {
	return []string{"Repeatability-Request-ID: " + id, "Repeatability-First-Sent: " + sent.UTC().Format(http.TimeFormat),
		fmt.Sprintf("First-Sent-Ms: %d", sent.UnixMilli())}
}

// TestRepeatedCreatesHaveOneEffect repeats creates whose connection dropped before, during and after the write: each has one effect, and
// the client receives the first outcome, with members of both protocols.
func TestRepeatedCreatesHaveOneEffect(t *testing.T) {
	for _, speaks := range []string{"pg", "odata"} {
		t.Run(speaks, func(t *testing.T) {
			hangsFirst := map[string]bool{"hang": true, "late": true}
			g := startCluster(t, speaks, 2, func(c *called, nth int) fault {
				if hangsFirst[c.key] && nth == 1 {
					return hangs
				}
				return fine
			})
			g.wait = 150 * time.Millisecond
			d, at := serveOData(t, "", 200, g, "")
			dialHTTP(t, at).ask("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
			create := func(key string) string { return fmt.Sprintf(`{"Id":%q,"Status":"sent"}`, key) }

			for _, when := range []string{"before", "in", "after"} {
				sent := time.Now()
				text := request("POST", "Applications", create(when), repeatabilityHeaders("id-"+when, sent)...)
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
				got := dialHTTP(t, at).ask("POST", "Applications", create(when), repeatabilityHeaders("id-"+when, sent)...)
				if got.status != 201 || !strings.Contains(got.body, when) || got.header.Get("Repeatability-Result") != "accepted" {
					t.Errorf("dropped %s the write, asked again: %d %v %s", when, got.status, got.header, got.body)
				}
				other := dialHTTP(t, at).ask("POST", "Applications", create("other"), repeatabilityHeaders("id-"+when, sent)...)
				if other.status != 412 || other.header.Get("Repeatability-Result") != "rejected" {
					t.Errorf("another request of the same id: %d %s", other.status, other.body)
				}
			}

			// Ten clients at once, one of them over the other protocol.
			sent := time.Now()
			var clients sync.WaitGroup
			for i := range 10 {
				clients.Go(func() {
					if i == 0 && speaks == "pg" {
						got := dial(t, d.at).ask(t, "/* id=both,c=order,d=900,k=id-both,cluster=0 */ INSERT INTO items (id, doc) VALUES ('both', 'x')")
						if !strings.HasPrefix(got, "ok") {
							t.Errorf("the same token over the other protocol: %s", got)
						}
						return
					}
					got := dialHTTP(t, at).ask("POST", "Applications", create("both"), repeatabilityHeaders("id-both", sent)...)
					if got.status != 201 {
						t.Errorf("one of ten at once: %d %s", got.status, got.body)
					}
				})
			}
			clients.Wait()

			// The first attempt hangs until its deadline: a repeat runs again inside the window and never after it.
			g.mutex.Lock()
			g.wait = 10 * time.Millisecond
			g.mutex.Unlock()
			for _, key := range []string{"hang", "late"} {
				pause := map[string]time.Duration{"late": 1300 * time.Millisecond}[key]
				c := dialHTTP(t, at)
				for i := range 30 { // so that no member is an outlier any more
					c.ask("PATCH", "Applications('calm')", `{"Status":"x"}`, repeatabilityHeaders(fmt.Sprintf("calm-%s-%d", key, i), time.Now())...)
				}
				sent := time.Now()
				if got := c.ask("POST", "Applications", create(key), append(repeatabilityHeaders("id-"+key, sent), "Deadline-Ms: 300")...); got.status != 500 {
					t.Errorf("%s: the first hears %d %s", key, got.status, got.body)
				}
				time.Sleep(pause)
				want := map[time.Duration]int{0: 201}[pause]
				if want == 0 {
					want = 412
				}
				if got := c.ask("POST", "Applications", create(key), repeatabilityHeaders("id-"+key, sent)...); got.status != want {
					t.Errorf("%s: a repeat after %v hears %d %s", key, pause, got.status, got.body)
				}
			}
			unknown := dialHTTP(t, at).ask("POST", "Applications", create("old"), repeatabilityHeaders("id-old", time.Now().Add(-5*time.Second))...)
			if unknown.status != 412 {
				t.Errorf("an unknown request of 5 s ago: %d %s", unknown.status, unknown.body)
			}
			d.stop()
			for token, times := range g.effects {
				if times != 1 {
					t.Errorf("%s had %d effects", token, times)
				}
			}
			for _, call := range g.seen() {
				if call.key == "old" || call.key == "other" {
					t.Errorf("a member was sent what was refused: %+v", call)
				}
			}
			if len(g.effects) < 7 || d.rpcs.Len() != 0 {
				t.Errorf("effects %v, %d RPCs are left", g.effects, d.rpcs.Len())
			}
		})
	}
}

// TestAbandonedRepeatableRequestIsNotRetried closes the client of a repeatable create during an attempt that then fails: no retry begins,
// unless another client waits for the same request. A repeat by the client runs it anew.
func TestAbandonedRepeatableRequestIsNotRetried(t *testing.T) {
	arrived := make(chan string, 99)
	g := startCluster(t, "pg", 2, func(c *called, nth int) fault {
		arrived <- c.key
		if c.key != "first" && nth == 1 {
			return fails
		}
		return fine
	})
	_, at := serveOData(t, "", 200, g, "")
	dialHTTP(t, at).ask("POST", "Applications", `{"Id":"first"}`) // the driver learns the primary
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
		c.Write(request("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
		for got := ""; got != key; got = <-arrived {
		}
		other := make(chan int, 1)
		if joined {
			second := dialHTTP(t, at)
			second.Write(request("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...))
			go func() { other <- second.hear("POST").status }()
			dialHTTP(t, at).ask("GET", "$metadata", "") // it came later and is answered, so the second request has been read
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
		if got := dialHTTP(t, at).ask("POST", "Applications", body, repeatabilityHeaders("id-"+key, sent)...); got.status != 201 {
			t.Errorf("%s, asked again: %d %s", key, got.status, got.body)
		}
	}
}
