package httpwire

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

var pieceLimits = Limits{Target: 4096, Head: 16 << 10, Fields: 64, Body: 256 << 10}

// inPieces parses input that arrives in pieces of a size, until the request is complete or malformed.
func inPieces(in []byte, size int, giveUp time.Time) (r Request, fault *Fault, late bool) {
	var p Parser
	for end := 0; end < len(in); {
		end = min(end+size, len(in))
		if r, fault = p.Next(in[:end], pieceLimits); fault != nil || r.Size > 0 {
			return r, fault, false
		}
		if time.Now().After(giveUp) {
			return r, fault, true
		}
	}
	return r, fault, false
}

func oneByteChunks(count int) string {
	return "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;x=y\r\nz\r\n", count) + "0\r\nT: v\r\n\r\n"
}

// A request that arrives in pieces is the same as one that arrives at once.
func TestRequestsInPiecesAreParsedLikeWholeOnes(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nHost: x\r\n"
	for _, text := range []string{
		"\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", head + "Content-Length: 5\r\n\r\nhelloGET", head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
		oneByteChunks(0), oneByteChunks(3), head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\nnext",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\rX", head + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 300), head + "Content-Length: 999999\r\n\r\n", head + strings.Repeat("a:\r\n", 80), head + "a: " + strings.Repeat("b", 20<<10),
		head + "a b: c\r\n\r\n", "GET " + strings.Repeat("/", 5000), "\x00\x01", strings.Repeat("A", 40), "GET /a HTTP/1.1\nHost", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nbad\r\n\r\n",
	} {
		wantFault := ""
		want, fault := Next([]byte(text), pieceLimits)
		if fault != nil {
			wantFault = fault.Error()
		}
		for _, size := range []int{1, 2, 3, 7, 1000} {
			got, fault, _ := inPieces([]byte(text), size, time.Now().Add(time.Minute))
			gotFault := ""
			if fault != nil {
				gotFault = fault.Error()
			}
			if want.Size == 0 { // of an incomplete request, fields are set once
				got.Fields, want.Fields, got.Continue, want.Continue = nil, nil, false, false
				got.Verb, want.Verb, got.Target, want.Target = nil, nil, nil, nil
			}
			if gotFault != wantFault || fault == nil && !reflect.DeepEqual(got, want) {
				t.Errorf("%.60q in pieces of %d: %+v, %s; at once: %+v, %s", text, size, got, gotFault, want, wantFault)
			}
		}
	}
}

// Guards against work that grows with the square of a request that a client sends in small pieces, while all others wait.
func TestRequestsInSmallPiecesCostNoMore(t *testing.T) {
	const limit = 5 * time.Second // some hundred times what the request takes if each byte is looked at once
	for name, text := range map[string]string{
		"chunks of one byte": oneByteChunks(50_000),
		"a long body":        fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n%s\r\n%s", strings.Repeat("a: "+strings.Repeat("b", 200)+"\r\n", 60), strings.Repeat("x", 250_000)),
	} {
		r, fault, late := inPieces([]byte(text), 1, time.Now().Add(limit))
		if late || fault != nil || r.Size != len(text) {
			t.Errorf("%s: late %t, fault %v, %d of %d bytes parsed", name, late, fault, r.Size, len(text))
		}
	}
}
