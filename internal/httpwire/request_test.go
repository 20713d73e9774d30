package httpwire

import (
	"bytes"
	"strings"
	"testing"
)

var limits = Limits{Target: 200, Head: 1000, Fields: 20, Body: 500}

// No prefix of a request is taken for a complete one, and bytes after it do not change it.
func TestNextForAnySplit(t *testing.T) {
	for _, text := range []string{
		"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n",
		"\r\nPOST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
		"GET /old HTTP/1.0\r\n\r\n",
	} {
		for split := range len(text) {
			if r, fault := Next([]byte(text[:split]), limits); fault != nil || r.Size != 0 {
				t.Fatalf("the first %d bytes of %q: size %d, %v", split, text, r.Size, fault)
			}
		}
		r, fault := Next([]byte(text+"GET "), limits)
		if fault != nil || r.Size != len(text) {
			t.Errorf("%q: size %d of %d, %v", text, r.Size, len(text), fault)
		}
		if string(r.Verb) == "POST" && string(r.Body) != "hello" {
			t.Errorf("%q: body %q", text, r.Body)
		}
		if r.CloseAfter != strings.Contains(text, "1.0") {
			t.Errorf("%q: last %t", text, r.CloseAfter)
		}
	}
}

// Malformed or ambiguous requests are rejected, so that no request can be smuggled inside another.
func TestMalformedRequests(t *testing.T) {
	const head, end = "POST /a HTTP/1.1\r\nHost: x\r\n", "\r\n"
	for text, want := range map[string]int{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" + end:          400,
		head + "Content-Length: 5\r\nContent-Length: 5\r\n" + end:                   400,
		head + "Content-Length: 5, 5\r\n" + end:                                     400,
		head + "Content-Length: +5\r\n" + end:                                       400,
		head + "Content-Length: -1\r\n" + end:                                       400,
		head + "Content-Length: 99999999999999999999\r\n" + end:                     400,
		head + "Content-Length : 5\r\n" + end:                                       400,
		head + "Transfer-Encoding: gzip, chunked\r\n" + end:                         501,
		head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + end: 501,
		head + "Content-Length: 501\r\n" + end:                                      413,
		head + "Transfer-Encoding: chunked\r\n" + end + "1f5\r\n":                   413,
		head + "Transfer-Encoding: chunked\r\n" + end + "x\r\n":                     400,
		head + "Transfer-Encoding: chunked\r\n" + end + "+5\r\n":                    400,
		head + "Transfer-Encoding: chunked\r\n" + end + "\r\n":                      400,
		head + "Transfer-Encoding: chunked\r\n" + end + "2\r\nabc\r\n":              400,
		head + "Transfer-Encoding: chunked\r\n" + end + strings.Repeat("0", 300):    400,
		head + "A: b\r\n c: d\r\n" + end:                                            400,
		head + "A: b\x00\r\n" + end:                                                 400,
		head + "A: b\rc\r\n" + end:                                                  400,
		head + "A: b\n" + end:                                                       400,
		head + ": b\r\n" + end:                                                      400,
		head + "Host: y\r\n" + end:                                                  400,
		head + "Expect: wonders\r\n" + end:                                          417,
		head + strings.Repeat("A: b\r\n", 20) + end:                                 431,
		head + "A: " + strings.Repeat("b", 1000):                                    431,
		"GET /a HTTP/1.1\r\n\r\n":                                                   400,
		"GET /a HTTP/2.0\r\nHost: x\r\n\r\n":                                        505,
		"GET /a FTP/1.1\r\nHost: x\r\n\r\n":                                         400,
		"GET /a\r\n\r\n":                                                            400,
		"GET  /a HTTP/1.1\r\nHost: x\r\n\r\n":                                       400,
		"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n":                                     400,
		"G\x00T":                                                                    400,
		"\x16\x03\x01\x02\x00":                                                      400,
		strings.Repeat("A", 40):                                                     400,
		"GET /" + strings.Repeat("a", 300):                                          414,
		"GET /" + strings.Repeat("a", 210) + " HTTP/1.1\r\nHost: x\r\n\r\n":         414,
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                    400,
	} {
		if _, fault := Next([]byte(text), limits); fault == nil || fault.Status != want {
			t.Errorf("%.60q: %v, want %d", text, fault, want)
		}
	}
}

func TestExpectAndConnectionClose(t *testing.T) {
	r, _ := Next([]byte("PUT / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\nContent-Length: 3\r\nConnection: a, Close\r\n\r\n"), limits)
	if !r.Continue || !r.CloseAfter || r.Size != 0 || r.Fields == nil {
		t.Errorf("parsed as %+v", r)
	}
}

// A reply with ambiguous or invalid framing is rejected.
func TestNextReplyIsStrict(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":                               "hi",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":  "hi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n":    "hi",
		"HTTP/1.0 200 OK\r\n\r\nhi":                                                    "hi",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi":          "broken",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi": "broken",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi":                      "broken",
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                      "broken",
		"\x00\x01noise":                                                                "broken",
		"HTTP/1.1 200 OK\r\nno field\r\n\r\n":                                          "broken",
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi":                              "more",
	} {
		r, fault := NextReply([]byte(text), false, true, limits)
		got := string(r.Body)
		if fault != nil {
			got = "broken"
		} else if r.Size == 0 {
			got = "more"
		}
		if got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

// For any input, nothing panics and a parsed request is at least as long as its parts. The same request followed by more bytes
// is parsed equally, and no prefix of it is taken for a complete request.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "HTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r, fault := Next(in, limits)
		NextReply(in, false, true, limits)
		if fault != nil || r.Size == 0 {
			return
		}
		if r.Size > len(in) || len(r.Body) > limits.Body || len(r.Body)+len(r.Fields)+len(r.Target) > r.Size {
			t.Fatalf("size %d of %d, body %d", r.Size, len(in), len(r.Body))
		}
		more := append(bytes.Clone(in[:r.Size]), "GET / HTTP/1.1\r\n"...)
		if again, fault := Next(more, limits); fault != nil || again.Size != r.Size || !bytes.Equal(again.Body, r.Body) {
			t.Fatalf("with more bytes after it: size %d, was %d, %v", again.Size, r.Size, fault)
		}
		for n := range r.Size {
			if less, fault := Next(in[:n], limits); fault != nil || less.Size != 0 {
				t.Fatalf("the first %d of %d bytes: size %d, %v", n, r.Size, less.Size, fault)
			}
		}
	})
}
