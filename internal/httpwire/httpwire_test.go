package httpwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"passtack/internal/pcg"
)

var answers = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"rev\": 41}",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5;x=y\r\n{\"rev\r\n6\r\n\": 41}\r\n0\r\nT: v\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:11\r\n\r\n{\"rev\": 41}",
}

// An answer that arrives in two parts, split at any byte, is parsed like one that arrives at once.
func TestAnswerForAnySplit(t *testing.T) {
	for _, whole := range answers {
		for split := range len(whole) {
			if _, _, size, _, err := Answer([]byte(whole[:split]), false); size != 0 || err != nil {
				t.Fatalf("%q: size %d, %v", whole[:split], size, err)
			}
		}
		status, body, size, last, err := Answer([]byte(whole+"HTTP/1.1"), false)
		if status != 200 || string(body) != `{"rev": 41}` || size != len(whole) || err != nil {
			t.Fatalf("%q: %d %q, size %d of %d, %v", whole, status, body, size, len(whole), err)
		}
		if last != bytes.Contains([]byte(whole), []byte("close")) {
			t.Fatalf("%q: last %t", whole, last)
		}
	}
	unknown := []byte("HTTP/1.1 503 Busy\r\n\r\nlater")
	if _, _, size, _, _ := Answer(unknown, false); size != 0 {
		t.Fatal("a body of unknown length ended before the connection did")
	}
	if status, body, size, last, err := Answer(unknown, true); status != 503 || string(body) != "later" ||
		size != len(unknown) || !last || err != nil {
		t.Fatalf("%d %q %d %t %v", status, body, size, last, err)
	}
}

// Guards against a peer that sends interim answers without end and so takes stack, or the time of the event loop, without a limit.
func TestInterimAnswersAreLimited(t *testing.T) {
	const interim, final = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, count := range []int{0, 1, maxInterim, maxInterim + 1, 40_000} {
		in := []byte(strings.Repeat(interim, count) + final)
		want := len(in)
		if count > maxInterim {
			want = 0
		}
		var reply Reply
		var fault *Fault
		allocations := testing.AllocsPerRun(1, func() { reply, fault = NextReply(in, false, false, Limits{Head: 1000, Fields: 10, Body: 100}) })
		if reply.Size != want || (fault == nil) != (want > 0) || allocations > 2 {
			t.Errorf("%d interim replies: size %d, want %d, fault %v, %.0f allocations", count, reply.Size, want, fault, allocations)
		}
		if _, _, size, _, err := Answer(in, false); size != want || (err == nil) != (want > 0) {
			t.Errorf("%d interim answers: size %d, want %d, %v", count, size, want, err)
		}
	}
}

func TestMalformedAnswers(t *testing.T) {
	for _, in := range []string{
		"SSH-2.0\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabcd\r\n0\r\n\r\n",
	} {
		if _, _, size, _, err := Answer([]byte(in), false); err == nil || size != 0 {
			t.Errorf("%q: size %d, %v", in, size, err)
		}
	}
}

func TestGet(t *testing.T) {
	got := string(AppendGet([]byte("x"), "127.0.0.1:8500", fmt.Sprintf("/hosts?from=%d", 4)))
	if want := "xGET /hosts?from=4 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\nAccept: application/json\r\n\r\n"; got != want {
		t.Fatalf("%q", got)
	}
}

func FuzzAnswer(f *testing.F) {
	for seed := range uint64(200) {
		chance := pcg.New(seed)
		damaged := []byte(answers[seed%3])
		for range chance.Below(4) {
			damaged[chance.Below(len(damaged))] = byte(chance.Uint32())
		}
		f.Add(damaged[:len(damaged)-chance.Below(9)], seed%2 == 0)
	}
	f.Fuzz(func(t *testing.T, in []byte, ended bool) {
		_, body, size, _, err := Answer(in, ended)
		if size > len(in) || len(body) > size || err != nil && size != 0 {
			t.Fatalf("size %d and body %d of %d bytes, %v", size, len(body), len(in), err)
		}
	})
}
