package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// served is a request that a member that speaks OData has run.
type served struct {
	verb, path, id string
}

// odataMember is a primary that speaks OData, as docs/odata.md describes it. It serves the requests of a connection in order.
type odataMember struct {
	p        *play
	work     time.Duration // of each request
	refusal  string        // body of the answer to a create of a key that is taken
	mu       sync.Mutex
	entities map[string]string // by key
	ran      []served
}

// serve starts the member and returns its address.
func (m *odataMember) serve() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: m}
	go server.Serve(l)
	m.p.closeAll(server)
	return l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (m *odataMember) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.ran = append(m.ran, served{r.Method, r.URL.Path, r.Header.Get("Request-Id")})
	m.mu.Unlock()
	m.p.note("member runs %s %s id=%s", r.Method, r.URL.RequestURI(), r.Header.Get("Request-Id"))
	time.Sleep(m.work)
	status, text := m.run(r, body)
	now := time.Now()
	w.Header().Set("Node-Role", "leader")
	w.Header().Set("Replay-Position", strconv.FormatInt(now.UnixMilli(), 10))
	w.Header().Set("Server-Load", fmt.Sprintf("x0=%.3f,x1=1", float64(now.UnixMilli())/1000))
	if text != "" {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// run runs a request.
func (m *odataMember) run(r *http.Request, body []byte) (status int, text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, rest, _ := strings.Cut(r.URL.Path, "('")
	key, _, _ := strings.Cut(rest, "')")
	if r.Method == "POST" {
		_, rest, _ = strings.Cut(string(body), `"Id":"`)
		key, _, _ = strings.Cut(rest, `"`)
	}
	entity, found := m.entities[key]
	switch {
	case r.Method == "POST" && found:
		return 409, m.refusal
	case r.Method == "POST":
		m.entities[key] = string(body)
		return 201, string(body)
	case !found:
		return 404, `{"error":{"code":"NotFound","message":"there is no such entity"}}`
	case r.Method == "DELETE":
		delete(m.entities, key)
		return 204, ""
	}
	return 200, entity
}

// requests returns the requests that the member has run.
func (m *odataMember) requests() []served {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]served(nil), m.ran...)
}
