package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reply is the answer to a request of an OData client.
type reply struct {
	status     int
	code       string        // of an error
	body       string        // without line breaks
	position   string        // the field Session-Position
	retryAfter time.Duration // the field Retry-After-Ms
	err        error         // no whole answer came
}

// request sends one request of an OData client and records it with its answer.
func (w *world) request(verb, url, body string, fields ...string) reply {
	r, err := http.NewRequest(verb, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{err: err}
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	w.record.add("client  sends %s %s %s %s", verb, r.URL.Path, strings.Join(fields, " "), body)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		w.record.add("client  got no answer: %v", err)
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	answer := reply{status: response.StatusCode, body: string(text), position: response.Header.Get("Session-Position"), err: err}
	if ms, parseErr := strconv.Atoi(response.Header.Get("Retry-After-Ms")); parseErr == nil {
		answer.retryAfter = time.Duration(ms) * time.Millisecond
	}
	var fault struct {
		Error struct{ Code string }
	}
	if json.Unmarshal(text, &fault) == nil {
		answer.code = fault.Error.Code
	}
	w.record.add("client  got %d Repeatability-Result=%q Retry-After-Ms=%q Session-Position=%q %s", answer.status,
		response.Header.Get("Repeatability-Result"), response.Header.Get("Retry-After-Ms"), answer.position, answer.body)
	return answer
}
