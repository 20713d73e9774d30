package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is an answer to a request of a client.
type answer struct {
	status int
	header http.Header
	body   string
}

// httpClient is one client connection to an OData front.
type httpClient struct {
	address string
	c       net.Conn
	r       *bufio.Reader
}

// exchange sends a request on the client's connection, or on a new one if it has none, and reads the answer. The target is sent as it is.
func (h *httpClient) exchange(verb, target string, header map[string]string, body string, patience time.Duration) (answer, error) {
	if h.c == nil {
		c, err := net.DialTimeout("tcp4", h.address, time.Second)
		if err != nil {
			return answer{}, err
		}
		h.c, h.r = c, bufio.NewReader(c)
	}
	h.c.SetDeadline(time.Now().Add(patience))
	if _, err := h.c.Write(requestText(h.address, verb, target, header, body)); err != nil {
		h.close()
		return answer{}, err
	}
	response, err := http.ReadResponse(h.r, &http.Request{Method: verb})
	if err != nil {
		h.close()
		return answer{}, err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		h.close()
	}
	return answer{response.StatusCode, response.Header, string(text)}, err
}

func (h *httpClient) close() {
	if h.c != nil {
		h.c.Close()
	}
	h.c = nil
}

// requestText returns a request as it is sent.
func requestText(host, verb, target string, header map[string]string, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", verb, target, host)
	for name, value := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	if body != "" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	return out.Bytes()
}

// exchangeOnce sends one request on a connection of its own.
func exchangeOnce(address, verb, target string, header map[string]string, body string, patience time.Duration) (answer, error) {
	h := &httpClient{address: address}
	defer h.close()
	return h.exchange(verb, target, header, body, patience)
}
