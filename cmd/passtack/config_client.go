package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

const (
	// requestTimeout is short, as another machine has the answer as well.
	requestTimeout      = 1500 * time.Millisecond
	maxAnswerBytes      = 64 << 20
	publishTimeout      = 10 * time.Second // for all attempts
	publishRetryBackoff = 200 * time.Millisecond
)

// errNotPublished is the outcome of a publication that surely was not written.
var errNotPublished = errors.New("nothing is published, as no machine writes: a majority of them is down or cut off")

// errMayBePublished is the outcome of a publication whose answer was lost.
var errMayBePublished = errors.New("no control machine confirmed the publication, but it may have been committed; check with config status")

var httpClient = &http.Client{Timeout: requestTimeout}

// controlMachines are the control machines of a fleet, which are asked over HTTP.
type controlMachines struct {
	At []string `help:"Addresses of the control machines." required:"" sep:"," placeholder:"ADDRESS,..."`
}

// answer is the answer of one machine, or the error instead.
type answer struct {
	address string
	status  int
	header  http.Header
	body    []byte
	err     error
}

// request sends a request to one machine.
func request(method, address, path string, header map[string]string, body []byte) answer {
	a := answer{address: address}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := httpClient.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return a
}

// getAll sends a GET request to all machines at once, and returns their answers in order.
func (m controlMachines) getAll(path string) []answer {
	answers := make([]answer, len(m.At))
	var group sync.WaitGroup
	for i, address := range m.At {
		group.Go(func() { answers[i] = request(http.MethodGet, address, path, nil, nil) })
	}
	group.Wait()
	return answers
}

// newest returns the newest version that is committed, with its text. A majority must answer.
func (m controlMachines) newest() (version uint64, text []byte, err error) {
	answered := 0
	for _, a := range m.getAll("/configuration") {
		if a.err != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", a.address, a.err))
			continue
		}
		answered++
		if v, _ := strconv.ParseUint(a.header.Get(server.VersionField), 10, 64); v > version {
			version, text = v, a.body
		}
	}
	if 2*answered <= len(m.At) {
		return 0, nil, fmt.Errorf("%d of %d control machines answer, which is no majority:\n%w", answered, len(m.At), err)
	}
	return version, text, nil
}

// publish tries one machine after the other until one answers that the text is committed or cannot be. All attempts have the same
// publication ID, so that the text is published once at most.
func (m controlMachines) publish(text []byte, base uint64) (version uint64, err error) {
	header := map[string]string{
		server.VersionField:     strconv.FormatUint(base, 10),
		server.PublicationField: strconv.FormatUint(randomNumber(), 16),
	}
	mayBePublished := false
	var lastErr error
	for deadline, i := time.Now().Add(publishTimeout), 0; time.Now().Before(deadline); i++ {
		attempt := publishOnce(m.At[i%len(m.At)], header, text, base)
		if attempt.final {
			return attempt.version, attempt.err
		}
		mayBePublished = mayBePublished || attempt.mayBePublished
		lastErr = attempt.err
		time.Sleep(publishRetryBackoff)
	}
	if mayBePublished {
		return 0, fmt.Errorf("%w: %w", errMayBePublished, lastErr)
	}
	return 0, fmt.Errorf("%w: %w", errNotPublished, lastErr)
}

// publishAttempt is the result of one attempt to publish.
type publishAttempt struct {
	final          bool // another attempt is of no use
	version        uint64
	mayBePublished bool
	err            error
}

func publishOnce(address string, header map[string]string, text []byte, base uint64) publishAttempt {
	a := request(http.MethodPost, address, "/publish", header, text)
	if a.err != nil {
		return publishAttempt{mayBePublished: !isDialError(a.err), err: fmt.Errorf("%s: %w", address, a.err)}
	}
	var result server.PublishResult
	json.Unmarshal(a.body, &result) // without a result the attempt is repeated
	switch {
	case a.status == http.StatusOK:
		return publishAttempt{final: true, version: result.Version}
	case result.Outcome == rollout.Outdated:
		return publishAttempt{final: true, err: fmt.Errorf("version %d is in force, and the text was made from %d: make it anew from that", result.Version, base)}
	case result.Error != "":
		return publishAttempt{final: true, err: errors.New(result.Error)}
	}
	return publishAttempt{mayBePublished: result.Outcome == rollout.Unknown, err: fmt.Errorf("%s: %s", address, result.Outcome)}
}

// isDialError reports whether a request failed before it was sent, as the machine could not be reached.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
