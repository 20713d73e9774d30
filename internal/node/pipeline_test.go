package node

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/loop"
	"passtack/internal/pgwire"
)

// The RPCs of this file wait behind others on one connection. The deadline of each counts from its own last byte.

func queryWithDeadline(id, method string, limit int) string {
	return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('%s', 'x')`, id, method, limit, id, id)
}

// delayHead makes members answer the RPC about "head" after a delay and all others at once. It returns the time that members
// were told each has left, in milliseconds.
func (s *scenario) delayHead(after time.Duration) (left map[string]int) {
	left = make(map[string]int)
	for _, m := range s.members {
		about := ""
		m.onQuery = func(text string) {
			about = string(pgwire.FirstLiteral([]byte(text)))
			left[about], _ = strconv.Atoi(field(text, "d"))
		}
		m.respond = func(_ *scriptedMemberConn, _ string, answer func()) {
			if about == "head" {
				m.loop.At(s.world.Now()+after, answer)
			} else {
				answer()
			}
		}
	}
	return left
}

// sendBytes lets the client write bytes.
func (s *scenario) sendBytes(after time.Duration, bytes []byte) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { s.client.stream.Send(bytes) }) })
}

// An RPC that waited behind another has that much less time. One with no or nearly no time left is answered at once and
// reaches no member, also behind commands that are no RPCs. The first in the queue has all the time of its own limit.
func TestDeadlineIncludesQueueTime(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(600 * ms)
	s.send(100*ms, queryWithDeadline("head", "order", 2000), queryWithDeadline("over", "order", 400), "SET x = 1", "", queryWithDeadline("nearly", "order", 612), queryWithDeadline("long", "order", 1500), "RESET x",
		queryWithDeadline("last", "order", 1600))
	s.world.Run(epoch + 900*ms)
	if want := []string{"value of head", "53300", "53300", "value of long", "value of last"}; !slices.Equal(s.client.received, want) {
		t.Errorf("heard %q, want %q", s.client.received, want)
	}
	for _, id := range []string{"over", "nearly"} {
		if len(s.receivedAt[id]) != 0 {
			t.Errorf("%s reached a member", id)
		}
	}
	for id, most := range map[string]int{"head": 2000, "long": 900, "last": 1000} {
		if left[id] > most || left[id] < most-50 {
			t.Errorf("a member is told that %s has %d ms left, want %d at most and hardly less", id, left[id], most)
		}
	}
	if s.node.rpcs.Len() != 0 {
		t.Errorf("%d RPCs are left", s.node.rpcs.Len())
	}
}

// The deadline of a fragmented message counts from its own last byte, whatever followed it in the same read.
func TestDeadlineCountsFromEachMessagesLastByte(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(600 * ms)
	b, c := queryMessage(queryWithDeadline("b", "order", 1500)), queryMessage(queryWithDeadline("c", "order", 1500))
	s.send(100*ms, queryWithDeadline("head", "order", 2000))
	s.sendBytes(150*ms, b[:20])
	s.sendBytes(300*ms, slices.Concat(b[20:], c[:len(c)-1])) // a read that holds the end of one and all but a byte of the next
	s.sendBytes(500*ms, c[len(c)-1:])
	s.world.Run(epoch + 900*ms)
	for id, most := range map[string]int{"b": 1100, "c": 1300} { // 700 ms are there when the head is answered
		if left[id] > most || left[id] < most-50 {
			t.Errorf("a member is told that %s has %d ms left, want %d at most and hardly less", id, left[id], most)
		}
	}
}

// However many fragments follow an RPC that waits, none is given more time than it has. Package loop/sim tests the case in
// which reading is suspended.
func TestDeadlinesOfFragmentedMessages(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(350 * ms)
	s.send(100*ms, queryWithDeadline("head", "order", 1900))
	came := make(map[string]time.Duration)
	for i := range 300 {
		id, after := fmt.Sprint("p", i), 102*ms+time.Duration(i)*ms
		s.sendBytes(after, queryMessage(queryWithDeadline(id, "look", 2400)))
		came[id] = after
	}
	s.world.Run(epoch + 4*time.Second)
	if len(s.receivedAt) < 250 {
		t.Errorf("only %d RPCs reached a member", len(s.receivedAt))
	}
	for id, after := range came {
		if len(s.receivedAt[id]) == 0 { // it would have been too late
			continue
		}
		if most := after + 2400*ms - (s.receivedAt[id][0] - epoch); left[id] > int(most/ms)+1 || left[id] < int(most/ms)-80 {
			t.Errorf("a member is told that %s has %d ms left, it has %v", id, left[id], most)
		}
	}
}

// A CancelRequest ends the first RPC in the queue only; those behind it continue with the time that they have.
func TestCancelRequestEndsOnlyTheFirstInTheQueue(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(5 * time.Second)
	s.send(100*ms, queryWithDeadline("head", "order", 2000), queryWithDeadline("b", "order", 900))
	s.disconnect(400*ms, disconnections["cancels"])
	s.world.Run(epoch + time.Second)
	if want := []string{"57014", "value of b"}; !slices.Equal(s.client.received, want) {
		t.Errorf("heard %q, want %q", s.client.received, want)
	}
	if left["b"] > 600 || left["b"] < 540 {
		t.Errorf("a member is told that b has %d ms left, want 600 at most", left["b"])
	}
}

// A graceful shutdown answers all pipelined requests in order, each in its time, before the driver ends.
func TestGracefulShutdownAnswersAllPipelinedRequests(t *testing.T) {
	s := newScenario(t, nil, 256)
	s.delayHead(250 * ms)
	texts, want := []string{queryWithDeadline("head", "order", 2000)}, []string{"value of head"}
	for i := range 40 {
		id := fmt.Sprint("p", i)
		if i%4 == 0 { // its deadline passes while it waits
			texts, want = append(texts, queryWithDeadline(id, "order", 200)), append(want, "53300")
		} else {
			texts, want = append(texts, queryWithDeadline(id, "order", 1900)), append(want, "value of "+id)
		}
	}
	s.send(100*ms, texts...)
	s.at(200*ms, func() { s.driver.Post(s.node.shutdown.begin) })
	s.world.Run(epoch + 5*time.Second)
	if !slices.Equal(s.client.received, want) {
		t.Errorf("heard %q, want %q", s.client.received, want)
	}
	if s.client.closedAt == 0 {
		t.Error("its connection still stands")
	}
	for id, sent := range s.receivedAt {
		if at := sent[0] - epoch; at > 2*time.Second {
			t.Errorf("%s reached a member %v after the start", id, at)
		}
	}
}

// Requests of OData count from their own last byte too.
func TestDeadlineIncludesQueueTimeOverHTTP(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:8080")
	s := newScenarioWithConfig(t, nil, 256, officesConfig(at.String(), "", true))
	left := s.delayHead(600 * ms)
	s.client.loop.Defer(func() {
		h := &httpSimClient{}
		var err error
		if h.stream, err = s.client.loop.Dial(at, h, 1<<20); err != nil {
			t.Error(err)
		}
		s.at(100*ms, func() {
			s.client.loop.At(s.world.Now(), func() {
				h.stream.Send(slices.Concat(lateHTTPRequest("head", 2000), lateHTTPRequest("over", 400), lateHTTPRequest("long", 1500)))
			})
		})
		s.at(1500*ms, func() {
			if want := []int{204, 503, 204}; !slices.Equal(h.statuses(), want) {
				t.Errorf("heard %v, want %v: %q", h.statuses(), want, h.heard)
			}
		})
	})
	s.world.Run(epoch + 2*time.Second)
	if left["over"] != 0 {
		t.Error("what had no time left reached a member")
	}
	if left["long"] > 900 || left["long"] < 840 {
		t.Errorf("a member is told that long has %d ms left, want 900 at most", left["long"])
	}
}

type httpSimClient struct {
	stream *loop.Stream
	heard  string
}

func (h *httpSimClient) Opened()        {}
func (h *httpSimClient) Closed(error)   {}
func (h *httpSimClient) Panicked(error) {}
func (h *httpSimClient) Input(in []byte) int {
	h.heard += string(in)
	return len(in)
}

func (h *httpSimClient) statuses() (all []int) {
	for _, part := range strings.Split(h.heard, "HTTP/1.1 ")[1:] {
		status, _ := strconv.Atoi(part[:3])
		all = append(all, status)
	}
	return all
}

func lateHTTPRequest(key string, limit int) []byte {
	body := fmt.Sprintf(`{"Id":%q}`, key)
	return fmt.Appendf(nil, "POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", limit, len(body), body)
}
