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

// What follows lets RPCs wait behind others on one connection. Their time counts from their own last byte.

func timed(id, method string, limit int) string {
	return fmt.Sprintf(`/* id=%s,c=%s,d=%d,cluster=0,k=t%s */ INSERT INTO items (id, doc) VALUES ('%s', 'x')`, id, method, limit, id, id)
}

// heads lets members answer what is about head after so long, all else at once, and notes what time each is told to have.
func (s *scene) heads(after time.Duration) (left map[string]int) {
	left = make(map[string]int)
	for _, m := range s.members {
		about := ""
		m.told = func(text string) {
			about = string(pgwire.Quoted([]byte(text)))
			left[about], _ = strconv.Atoi(field(text, "d"))
		}
		m.act = func(_ *acted, _ string, answer func()) {
			if about == "head" {
				m.loop.At(s.world.Now()+after, answer)
			} else {
				answer()
			}
		}
	}
	return left
}

// send lets the client write these bytes.
func (s *scene) send(after time.Duration, bytes []byte) {
	s.at(after, func() { s.client.loop.At(s.world.Now(), func() { s.client.stream.Send(bytes) }) })
}

// What waited behind another has that much less time: what has none left, or next to none, is answered at once and reaches
// no member, also behind commands that are no RPCs. The head of the line keeps all that its own limit allows.
func TestTimeInTheLineCounts(t *testing.T) {
	s := newScene(t, nil, 256)
	left := s.heads(600 * ms)
	s.ask(100*ms, timed("head", "order", 2000), timed("over", "order", 400), "SET x = 1", "", timed("nearly", "order", 612), timed("long", "order", 1500), "RESET x",
		timed("last", "order", 1600))
	s.world.Run(epoch + 900*ms)
	if want := []string{"value of head", "53300", "53300", "value of long", "value of last"}; !slices.Equal(s.client.heard, want) {
		t.Errorf("heard %q, want %q", s.client.heard, want)
	}
	for _, id := range []string{"over", "nearly"} {
		if len(s.sent[id]) != 0 {
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

// A message that comes in pieces counts from its own last byte, whatever came behind it.
func TestTimeCountsFromEachMessagesLastByte(t *testing.T) {
	s := newScene(t, nil, 256)
	left := s.heads(600 * ms)
	b, c := asQuery(timed("b", "order", 1500)), asQuery(timed("c", "order", 1500))
	s.ask(100*ms, timed("head", "order", 2000))
	s.send(150*ms, b[:20])
	s.send(300*ms, slices.Concat(b[20:], c[:len(c)-1])) // a read that holds the end of one and all but a byte of the next
	s.send(500*ms, c[len(c)-1:])
	s.world.Run(epoch + 900*ms)
	for id, most := range map[string]int{"b": 1100, "c": 1300} { // 700 ms are there when the head is answered
		if left[id] > most || left[id] < most-50 {
			t.Errorf("a member is told that %s has %d ms left, want %d at most and hardly less", id, left[id], most)
		}
	}
}

// However many pieces come behind one that waits, none is given more time than it has (loop/sim has the case in which
// reading rests).
func TestTimesOfManyPieces(t *testing.T) {
	s := newScene(t, nil, 256)
	left := s.heads(350 * ms)
	s.ask(100*ms, timed("head", "order", 1900))
	came := make(map[string]time.Duration)
	for i := range 300 {
		id, after := fmt.Sprint("p", i), 102*ms+time.Duration(i)*ms
		s.send(after, asQuery(timed(id, "look", 2400)))
		came[id] = after
	}
	s.world.Run(epoch + 4*time.Second)
	if len(s.sent) < 250 {
		t.Errorf("only %d RPCs reached a member", len(s.sent))
	}
	for id, after := range came {
		if len(s.sent[id]) == 0 { // it would have been too late
			continue
		}
		if most := after + 2400*ms - (s.sent[id][0] - epoch); left[id] > int(most/ms)+1 || left[id] < int(most/ms)-80 {
			t.Errorf("a member is told that %s has %d ms left, it has %v", id, left[id], most)
		}
	}
}

// A cancel ends the head of the line only: what waits behind it goes on with the time that it has.
func TestACancelEndsOnlyTheHeadOfTheLine(t *testing.T) {
	s := newScene(t, nil, 256)
	left := s.heads(5 * time.Second)
	s.ask(100*ms, timed("head", "order", 2000), timed("b", "order", 900))
	s.goes(400*ms, ways["cancels"])
	s.world.Run(epoch + time.Second)
	if want := []string{"57014", "value of b"}; !slices.Equal(s.client.heard, want) {
		t.Errorf("heard %q, want %q", s.client.heard, want)
	}
	if left["b"] > 600 || left["b"] < 540 {
		t.Errorf("a member is told that b has %d ms left, want 600 at most", left["b"])
	}
}

// A graceful shutdown answers all pipelined requests in order, each in its time, before the driver ends.
func TestGracefulShutdownAnswersAllPipelinedRequests(t *testing.T) {
	s := newScene(t, nil, 256)
	s.heads(250 * ms)
	texts, want := []string{timed("head", "order", 2000)}, []string{"value of head"}
	for i := range 40 {
		id := fmt.Sprint("p", i)
		if i%4 == 0 { // its time is over when its turn comes
			texts, want = append(texts, timed(id, "order", 200)), append(want, "53300")
		} else {
			texts, want = append(texts, timed(id, "order", 1900)), append(want, "value of "+id)
		}
	}
	s.ask(100*ms, texts...)
	s.at(200*ms, func() { s.driver.Do(s.node.shutdown.begin) })
	s.world.Run(epoch + 5*time.Second)
	if !slices.Equal(s.client.heard, want) {
		t.Errorf("heard %q, want %q", s.client.heard, want)
	}
	if s.client.closed == 0 {
		t.Error("its connection still stands")
	}
	for id, sent := range s.sent {
		if at := sent[0] - epoch; at > 2*time.Second {
			t.Errorf("%s reached a member %v after the start", id, at)
		}
	}
}

// Requests of OData count from their own last byte too.
func TestTimeInTheLineCountsOverHTTP(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:8080")
	s := newSceneWith(t, nil, 256, offices(at.String(), "", true))
	left := s.heads(600 * ms)
	s.client.loop.Later(func() {
		h := &httpCaller{}
		var err error
		if h.stream, err = s.client.loop.Dial(at, h, 1<<20); err != nil {
			t.Error(err)
		}
		s.at(100*ms, func() {
			s.client.loop.At(s.world.Now(), func() {
				h.stream.Send(slices.Concat(late("head", 2000), late("over", 400), late("long", 1500)))
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

type httpCaller struct {
	stream *loop.Stream
	heard  string
}

func (h *httpCaller) Opened()        {}
func (h *httpCaller) Closed(error)   {}
func (h *httpCaller) Panicked(error) {}
func (h *httpCaller) Input(in []byte) int {
	h.heard += string(in)
	return len(in)
}

func (h *httpCaller) statuses() (all []int) {
	for _, part := range strings.Split(h.heard, "HTTP/1.1 ")[1:] {
		status, _ := strconv.Atoi(part[:3])
		all = append(all, status)
	}
	return all
}

func late(key string, limit int) []byte {
	body := fmt.Sprintf(`{"Id":%q}`, key)
	return fmt.Appendf(nil, "POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", limit, len(body), body)
}
