package control

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/internal/loop"
)

// serve answers on a free address until the test ends.
func serve(t *testing.T, answers Answers) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.Addr().String()
	free.Close()
	l, err := loop.New(200, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(l, netip.MustParseAddrPort(at), answers); err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	go func() {
		l.Run(func() { l.Stop() })
		l.Close()
		close(over)
	}()
	t.Cleanup(func() {
		l.Ring()
		<-over
	})
	return at
}

func TestQuestionsAreAnswered(t *testing.T) {
	at := serve(t, Answers{"status": func() any { return map[string]int{"rpcs": 7} }, "broken": func() any { return func() {} }})
	var got map[string]int
	if err := Ask(at, "status", &got); err != nil || got["rpcs"] != 7 {
		t.Errorf("%v, %v", got, err)
	}
	if err := Ask(at, "weather", &got); err == nil || !strings.Contains(err.Error(), `nothing to tell of "weather"`) {
		t.Errorf("what nobody knows: %v", err)
	}
	if err := Ask(at, "broken", &got); err == nil {
		t.Error("what is no JSON is told")
	}
	if err := Ask("127.0.0.1:1", "status", &got); err == nil {
		t.Error("nobody answers")
	}
}

// Who says nothing, too much or half a line is let go, and keeps nobody else from asking.
func TestThoseWhoDoNotAskAreLetGo(t *testing.T) {
	at := serve(t, Answers{"status": func() any { return 1 }})
	var silent []net.Conn
	for range abreast {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	silent[0].Write([]byte("stat"))
	silent[1].Write([]byte(strings.Repeat("x", 10*longest)))
	silent[1].SetDeadline(time.Now().Add(patience / 2))
	if _, err := io.ReadAll(silent[1]); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("who says too much is not let go at once")
	}
	silent[0].SetDeadline(time.Now().Add(2 * patience))
	if _, err := io.ReadAll(silent[0]); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("who says half a line is not let go")
	}
	var got int
	if err := Ask(at, "status", &got); err != nil || got != 1 {
		t.Errorf("after them: %v, %v", got, err)
	}
}
