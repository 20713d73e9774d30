package node

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/pgwire"
)

// In these tests RPCs wait behind others on one connection. The deadline of each RPC counts from the arrival of its own last byte.

// queryWithDeadline returns a statement with a deadline in milliseconds.
func queryWithDeadline(id, method string, limit int) string {
	return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('%s', 'x')`, id, method, limit, id, id)
}

// delayHead makes members answer the RPC with key "head" after a delay and all others at once. It returns a map that receives, by key,
// the remaining time of each RPC in milliseconds as the member was told it.
func (s *scenario) delayHead(delay time.Duration) (left map[string]int) {
	left = make(map[string]int)
	for _, m := range s.members {
		key := ""
		m.onQuery = func(text string) {
			key = string(pgwire.FirstLiteral([]byte(text)))
			left[key], _ = strconv.Atoi(field(text, "d"))
		}
		m.respond = func(_ *scriptedMemberConn, _ string, answer func()) {
			if key == "head" {
				m.loop.At(s.world.Now()+delay, answer)
			} else {
				answer()
			}
		}
	}
	return left
}

// sendBytes makes the client write bytes.
func (s *scenario) sendBytes(after time.Duration, bytes []byte) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { s.client.stream.Send(bytes) }) })
}

// The time that an RPC waits behind another counts against its deadline. An RPC with no or nearly no time left must be answered at once
// and must not reach a member, also if it follows commands that are not RPCs. The first RPC in the queue has its full time.
func TestDeadlineIncludesQueueTime(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(600 * ms)
	s.send(100*ms, queryWithDeadline("head", "order", 2000), queryWithDeadline("over", "order", 400), "SET x = 1", "", queryWithDeadline("nearly", "order", 612), queryWithDeadline("long", "order", 1500), "RESET x",
		queryWithDeadline("last", "order", 1600))
	s.world.Run(epoch + 900*ms)
	if want := []string{"value of head", "53300", "53300", "value of long", "value of last"}; !slices.Equal(s.client.received, want) {
		t.Errorf("the client received %q, want %q", s.client.received, want)
	}
	for _, id := range []string{"over", "nearly"} {
		if len(s.receivedAt[id]) != 0 {
			t.Errorf("%s reached a member, want it rejected", id)
		}
	}
	for id, maxLeft := range map[string]int{"head": 2000, "long": 900, "last": 1000} {
		if left[id] > maxLeft || left[id] < maxLeft-50 {
			t.Errorf("a member was told that %s has %d ms left, want %d at most and 50 less at least", id, left[id], maxLeft)
		}
	}
	if s.node.rpcs.Len() != 0 {
		t.Errorf("%d RPCs left over", s.node.rpcs.Len())
	}
}

// The deadline of a fragmented message must count from its own last byte, whatever follows it in the same read.
func TestDeadlineCountsFromEachMessagesLastByte(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(600 * ms)
	b, c := queryMessage(queryWithDeadline("b", "order", 1500)), queryMessage(queryWithDeadline("c", "order", 1500))
	s.send(100*ms, queryWithDeadline("head", "order", 2000))
	s.sendBytes(150*ms, b[:20])
	s.sendBytes(300*ms, slices.Concat(b[20:], c[:len(c)-1])) // one read with the end of b and all but the last byte of c
	s.sendBytes(500*ms, c[len(c)-1:])
	s.world.Run(epoch + 900*ms)
	for id, maxLeft := range map[string]int{"b": 1100, "c": 1300} { // the head is answered 700 ms after the start
		if left[id] > maxLeft || left[id] < maxLeft-50 {
			t.Errorf("a member was told that %s has %d ms left, want %d at most and 50 less at least", id, left[id], maxLeft)
		}
	}
}

// However many fragments follow a waiting RPC, none of their RPCs may get more time than it has left. Package eventloop/sim tests the case
// in which reading is suspended.
func TestDeadlinesOfFragmentedMessages(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(350 * ms)
	s.send(100*ms, queryWithDeadline("head", "order", 1900))
	sentAfter := make(map[string]time.Duration)
	for i := range 300 {
		id, after := fmt.Sprint("p", i), 102*ms+time.Duration(i)*ms
		s.sendBytes(after, queryMessage(queryWithDeadline(id, "look", 2400)))
		sentAfter[id] = after
	}
	s.world.Run(epoch + 4*time.Second)
	if len(s.receivedAt) < 250 {
		t.Errorf("only %d RPCs reached a member, want at least 250", len(s.receivedAt))
	}
	for id, after := range sentAfter {
		if len(s.receivedAt[id]) == 0 { // rejected, as it had no time left
			continue
		}
		if maxLeft := after + 2400*ms - (s.receivedAt[id][0] - epoch); left[id] > int(maxLeft/ms)+1 || left[id] < int(maxLeft/ms)-80 {
			t.Errorf("a member was told that %s has %d ms left, it has %v", id, left[id], maxLeft)
		}
	}
}

// A CancelRequest must end only the first RPC in the queue. Those behind it continue with the time that they have left.
func TestCancelRequestEndsOnlyTheFirstInTheQueue(t *testing.T) {
	s := newScenario(t, nil, 256)
	left := s.delayHead(5 * time.Second)
	s.send(100*ms, queryWithDeadline("head", "order", 2000), queryWithDeadline("b", "order", 900))
	s.disconnect(400*ms, disconnections["cancels"])
	s.world.Run(epoch + time.Second)
	if want := []string{"57014", "value of b"}; !slices.Equal(s.client.received, want) {
		t.Errorf("the client received %q, want %q", s.client.received, want)
	}
	if left["b"] > 600 || left["b"] < 540 {
		t.Errorf("a member was told that b has %d ms left, want 540 to 600", left["b"])
	}
}

// A graceful shutdown must answer all pipelined requests in order, each before its deadline, before the driver stops.
func TestGracefulShutdownAnswersAllPipelinedRequests(t *testing.T) {
	s := newScenario(t, nil, 256)
	s.delayHead(250 * ms)
	texts, want := []string{queryWithDeadline("head", "order", 2000)}, []string{"value of head"}
	for i := range 40 {
		id := fmt.Sprint("p", i)
		if i%4 == 0 { // the deadline of this one passes while it waits
			texts, want = append(texts, queryWithDeadline(id, "order", 200)), append(want, "53300")
		} else {
			texts, want = append(texts, queryWithDeadline(id, "order", 1900)), append(want, "value of "+id)
		}
	}
	s.send(100*ms, texts...)
	s.at(200*ms, func() { s.driver.Post(s.node.shutdown.begin) })
	s.world.Run(epoch + 5*time.Second)
	if !slices.Equal(s.client.received, want) {
		t.Errorf("the client received %q, want %q", s.client.received, want)
	}
	if s.client.closedAt == 0 {
		t.Error("the connection of the client is still open")
	}
	for id, times := range s.receivedAt {
		if after := times[0] - epoch; after > 2*time.Second {
			t.Errorf("%s reached a member %v after the start, want 2 s at most", id, after)
		}
	}
}

// The deadlines of pipelined OData requests must count from their own last byte too.
func TestDeadlineIncludesQueueTimeOverHTTP(t *testing.T) {
	odataAddress := netip.MustParseAddrPort("10.0.0.1:8080")
	s := newScenarioWithConfig(t, nil, 256, officesConfig(odataAddress.String(), "", true))
	left := s.delayHead(600 * ms)
	s.client.loop.Defer(func() {
		h := &httpSimClient{}
		var err error
		if h.stream, err = s.client.loop.Dial(odataAddress, h, 1<<20); err != nil {
			t.Error(err)
		}
		s.at(100*ms, func() {
			s.client.loop.At(s.world.Now(), func() {
				h.stream.Send(slices.Concat(lateHTTPRequest("head", 2000), lateHTTPRequest("over", 400), lateHTTPRequest("long", 1500)))
			})
		})
		s.at(1500*ms, func() {
			if want := []int{204, 503, 204}; !slices.Equal(h.statuses(), want) {
				t.Errorf("the client received the statuses %v, want %v: %q", h.statuses(), want, h.received)
			}
		})
	})
	s.world.Run(epoch + 2*time.Second)
	if left["over"] != 0 {
		t.Error("a request with no time left reached a member")
	}
	if left["long"] > 900 || left["long"] < 840 {
		t.Errorf("a member was told that long has %d ms left, want 840 to 900", left["long"])
	}
}

// httpSimClient is an HTTP client in simulated time.
type httpSimClient struct {
	stream   *eventloop.Stream
	received string
}

func (h *httpSimClient) Opened()        {}
func (h *httpSimClient) Closed(error)   {}
func (h *httpSimClient) Panicked(error) {}
func (h *httpSimClient) Input(in []byte) int {
	h.received += string(in)
	return len(in)
}

// statuses returns the status of each answer received so far.
func (h *httpSimClient) statuses() (all []int) {
	for _, part := range strings.Split(h.received, "HTTP/1.1 ")[1:] {
		status, _ := strconv.Atoi(part[:3])
		all = append(all, status)
	}
	return all
}

func lateHTTPRequest(key string, limit int) []byte {
	body := fmt.Sprintf(`{"Id":%q}`, key)
	return fmt.Appendf(nil, "POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", limit, len(body), body)
}
