package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// In these tests writes end without a member's answer, and their clients repeat them. A group recognizes duplicates for membersRemember.
const (
	membersRemember = 1200 * time.Millisecond
	maxTries        = 8 // attempts of one RPC
)

// endingsCluster is a group whose members fail the first attempts for a key as its name says, and a driver in front of it.
type endingsCluster struct {
	*fakeCluster
	t            *testing.T // of the row that is played
	address      string     // of the platform's listener
	odataAddress string
}

// faultByKey returns the fault of an attempt: keys that begin with the name of a fault get it.
func faultByKey(c *memberCall, nth int) memberFault {
	kind, _, _ := strings.Cut(c.key, "-")
	switch {
	case kind == "hang" && nth == 1, kind == "left" && nth == 1, kind == "late" && nth == maxTries+1, nth == 1 && (kind == "pushed" || kind == "cut"):
		return faultHang
	case kind == "pushed":
		return faultFull
	case kind == "cut" && nth == 2:
		return faultDisconnect
	case kind == "error" && nth <= maxTries:
		return faultError
	case kind == "full" && nth <= maxTries, kind == "late" && nth <= maxTries:
		return faultFull
	}
	return faultNone
}

// startEndings starts a driver to which all repeats of a client come. Method "order" is keyed, and the members that scope names recognize
// its duplicates; method "pay" is idempotent.
func startEndings(t *testing.T, protocol, scope string) *endingsCluster {
	g := startFakeCluster(t, protocol, 2, faultByKey)
	settings := strings.Replace(testSettings, `"effect":"keyed","group":"cell"`, fmt.Sprintf(`"effect":"keyed","group":%q`, scope), 1)
	settings = strings.Replace(settings, `"effect":"unsafe","group":"cell"`, `"effect":"safe","group":"all"`, 1)
	e := &endingsCluster{fakeCluster: g}
	n := buildDriverWithConfig(t, "", 200, endpointList(1, true, g.targets()...), settings, func(free string) string {
		e.odataAddress = free
		return officesConfig(free, "repeats { sticky = true }\n", protocol == "pg") + "front \"pg\" \"platform\" {\nlimits { rpcs = 1 }\n}\n"
	})
	e.address = runDriver(t, n).address
	return e
}

// settle sends writes that succeed, until no member counts as an outlier any more.
func (e *endingsCluster) settle() {
	e.t.Helper()
	c := dialHTTP(e.t, e.odataAddress)
	served := 0
	waitFor(e.t, "ten writes in a row are served", func() bool {
		if served++; c.do("POST", "Applications", createBody("calm")).status >= 300 {
			served = 0
		}
		return served == 10
	})
}

// answerAfter sets the time that members work before each answer.
func (e *endingsCluster) answerAfter(work time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.wait = work
}

// repeatableWrite is a create that its client repeats.
type repeatableWrite struct {
	cluster *endingsCluster
	key     string
	sent    time.Time
}

func (e *endingsCluster) write(key string) *repeatableWrite {
	e.settle()
	return &repeatableWrite{e, key, time.Now()}
}

func (w *repeatableWrite) message() []byte {
	headers := append(repeatabilityHeaders("id-"+w.key, w.sent), "Deadline-Ms: 300")
	return httpRequest("POST", "Applications", createBody(w.key), headers...)
}

// try sends the write once and returns the status of the answer.
func (w *repeatableWrite) try() int {
	c := dialHTTP(w.cluster.t, w.cluster.odataAddress)
	c.Write(w.message())
	return c.readAnswer("POST").status
}

// leave sends the write and closes the connection while a member works on it. The RPC has ended when it returns.
func (w *repeatableWrite) leave() {
	c := dialHTTP(w.cluster.t, w.cluster.odataAddress)
	c.Write(w.message())
	waitFor(w.cluster.t, "a member has the write", func() bool { return w.attempts() > 0 })
	c.Close()
	time.Sleep(400 * time.Millisecond)
}

// repeat sends the write until it is not pushed back.
func (w *repeatableWrite) repeat() (status int) {
	for end := time.Now().Add(membersRemember); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status = w.try(); status != 503 {
			break
		}
	}
	return status
}

func (w *repeatableWrite) attempts() int {
	w.cluster.mutex.Lock()
	defer w.cluster.mutex.Unlock()
	return w.cluster.fakeCluster.attempts[w.key]
}

// check checks the status of the last answer, and that the write had one effect.
func (w *repeatableWrite) check(step string, status, want int) {
	w.cluster.t.Helper()
	w.cluster.mutex.Lock()
	effects := w.cluster.effects["id-"+w.key]
	w.cluster.mutex.Unlock()
	if status/100 != want/100 || want == 412 && status != want || effects != 1 {
		w.cluster.t.Errorf("%s, %s: status %d, want %d; %d effects, want 1", w.key, step, status, want, effects)
	}
}

// endWithoutAnswer has the write end in the way that its key names, and returns whether it may have run.
func (w *repeatableWrite) endWithoutAnswer() (mayHaveRun bool) {
	w.cluster.t.Helper()
	want := 500
	switch kind, _, _ := strings.Cut(w.key, "-"); kind {
	case "left":
		w.leave()
		return true
	case "full", "late":
		want = 503
	}
	if got := w.try(); got != want {
		w.cluster.t.Errorf("%s: the first answer is %d, want %d", w.key, got, want)
	}
	return want == 500
}

// forEachProtocolAndScope runs a test with members of each protocol and each scope of duplicates. The drivers end together, as they share
// the signals of the process.
func forEachProtocolAndScope(t *testing.T, test func(t *testing.T, e *endingsCluster)) {
	clusters := make(map[string]*endingsCluster)
	for _, protocol := range []string{"pg", "odata"} {
		for _, scope := range []string{"cell", "all"} {
			clusters[protocol+" members, scope "+scope] = startEndings(t, protocol, scope)
		}
	}
	t.Run("clusters", func(t *testing.T) {
		for name, e := range clusters {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				e.t = t
				test(t, e)
			})
		}
	})
}

// Guards against a repeat that runs a write again once members have forgotten it, and against one that is refused although it is harmless:
// inside the window, or because the write surely has not run. Each way to end is played with a repeat inside the window and one after it.
func TestRepeatsOfWritesWithoutAnAnswer(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		for _, kind := range []string{"hang", "error", "left", "full"} {
			inside := e.write(kind + "-inside")
			inside.endWithoutAnswer()
			inside.check("repeat inside the window", inside.repeat(), 204)

			after := e.write(kind + "-after")
			want := 204
			if after.endWithoutAnswer() {
				want = 412
			}
			time.Sleep(time.Until(after.sent.Add(membersRemember + 100*time.Millisecond)))
			after.check("repeat after the window", after.repeat(), want)
		}
	})
}

// Guards against a window that counts from the time at which the client first sent a write instead of its first run: the write was pushed
// back first and ran late. A repeat soon after that run must succeed, a later one must be refused.
func TestRepeatsOfAWriteThatRanLate(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		for name, test := range map[string]struct {
			pause time.Duration
			want  int
		}{"late-inside": {0, 204}, "late-after": {membersRemember, 412}} {
			w := e.write(name)
			w.endWithoutAnswer()
			time.Sleep(time.Until(w.sent.Add(membersRemember + 100*time.Millisecond)))
			if got := w.repeat(); got != 500 {
				t.Errorf("%s: the run without an answer got %d, want 500", name, got)
			}
			time.Sleep(test.pause)
			w.check("repeat", w.repeat(), test.want)
		}
	})
}

// Guards against a window that is too long since the client's clock is ahead.
func TestAClientClockThatIsAheadDoesNotExtendTheWindow(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		w := e.write("hang-ahead")
		began := w.sent
		w.sent = w.sent.Add(1500 * time.Millisecond)
		w.endWithoutAnswer()
		time.Sleep(time.Until(began.Add(membersRemember + 100*time.Millisecond)))
		w.check("repeat after the window", w.repeat(), 412)
	})
}

// Guards against a retry of a write without an idempotency key of its client, which no member can recognize, after an answer that promises
// that a retry is harmless.
func TestWriteWithoutAKeyThatMayHaveRunIsNotPushedBack(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		for _, kind := range []string{"hang", "error"} {
			e.settle()
			if got := dialHTTP(t, e.odataAddress).do("POST", "Applications", createBody(kind+"-plain"), "Deadline-Ms: 300"); got.status != 500 {
				t.Errorf("%s: status %d, %s", kind, got.status, got.body)
			}
		}
	})
}

// Guards against a read of a batch that misses a write before it, since the write was pushed back or rejected although it may have run.
func TestBatchReadSeesAWriteThatMayHaveRun(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		old := repeatabilityHeaders("old", time.Now().Add(-5*time.Second))
		for kind, test := range map[string]struct {
			verb       string
			fields     []string
			status     string
			mayHaveRun bool
		}{
			"hang-idempotent": {"DELETE", nil, "503", true},
			"hang-keyed":      {"POST", nil, "500", true},
			"old-repeat":      {"POST", old, "412", true},
			"full-keyed":      {"POST", nil, "503", false},
		} {
			reads := 0
			for i := 0; reads == 0 && i < 20; i++ { // a read may be pushed back
				e.settle()
				key := fmt.Sprint(kind, i)
				body := batchOfWriteAndRead(test.verb, key, test.fields)
				got := dialHTTP(t, e.odataAddress).do("POST", "$batch", body, "Content-Type: multipart/mixed; boundary=b", "Prefer: continue-on-error", "Deadline-Ms: 1500")
				if statuses := batchStatuses(got.body); len(statuses) != 2 || statuses[0] != test.status {
					t.Errorf("%s: status %d, statuses %v, want %s for the write", key, got.status, statuses, test.status)
				}
				for _, call := range e.receivedCalls() {
					if call.key != "read-"+key {
						continue
					}
					if reads++; (call.after > 0) != test.mayHaveRun {
						t.Errorf("%s: the read has to see position %d; the write may have run: %t", key, call.after, test.mayHaveRun)
					}
				}
			}
			if reads == 0 {
				t.Errorf("%s: no read came to a member", kind)
			}
		}
	})
}

// batchOfWriteAndRead returns a multipart batch of a write and a read of another entity.
func batchOfWriteAndRead(verb, key string, fields []string) string {
	write := "DELETE Applications('" + key + "') HTTP/1.1\r\n\r\n"
	if verb == "POST" {
		write = strings.Join(append([]string{"POST Applications HTTP/1.1", "Content-Type: application/json"}, fields...), "\r\n") + "\r\n\r\n" + createBody(key)
	}
	const part = "--b\r\nContent-Type: application/http\r\n\r\n"
	return part + write + "\r\n" + part + "GET Applications('read-" + key + "') HTTP/1.1\r\n\r\n\r\n--b--\r\n"
}

// Guards against the same faults over the platform's listener, where the driver has no registry: a repeat of a write that may have run gets
// the promise that another try is harmless, or is sent again by the driver once members have forgotten the first try.
func TestRepeatsOfWritesOverStatements(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		if e.protocol != "pg" {
			return // these members take no statements
		}
		for key, test := range map[string]struct {
			pause, work time.Duration // before the repeat, and of a member before its answer to the repeat
			want        string
		}{"hang-repeated": {0, 0, "ok"}, "pushed": {0, 0, codeAborted}, "cut": {900 * time.Millisecond, 400 * time.Millisecond, codeAborted}} {
			e.settle()
			c, sent := dialPG(t, e.address), time.Now()
			text := func(try string, millis int) string {
				return fmt.Sprintf("/* id=%s-%s,c=order,d=%d,k=key-%s,cluster=0 */ INSERT INTO items (id, doc) VALUES ('%s', 'x')", key, try, millis, key, key)
			}
			if got := c.query(t, text("first", 200)); got != codeAborted {
				t.Errorf("%s: the first answer is %s, want %s", key, got, codeAborted)
			}
			time.Sleep(time.Until(sent.Add(test.pause)))
			e.answerAfter(test.work)
			if got := c.query(t, text("second", 900)); !strings.HasPrefix(got, test.want) {
				t.Errorf("%s: the answer to the repeat is %s, want %s", key, got, test.want)
			}
			e.answerAfter(0)
			for _, call := range e.receivedCalls() {
				if call.key == key && call.began.After(sent.Add(membersRemember)) {
					t.Errorf("%s: sent %v after the first try", key, call.began.Sub(sent))
				}
			}
		}
	})
}

// Guards against the same promise by a driver that rejects the repeat itself, as its listener serves as many RPCs as it may.
func TestRepeatOverTheListenersLimitIsNotPushedBack(t *testing.T) {
	forEachProtocolAndScope(t, func(t *testing.T, e *endingsCluster) {
		if e.protocol != "pg" {
			return // these members take no statements
		}
		text := func(id, key string, millis int) string {
			return fmt.Sprintf("/* id=%s,c=order,d=%d,k=key-%s,cluster=0 */ INSERT INTO items (id, doc) VALUES ('%s', 'x')", id, millis, key, key)
		}
		c, other := dialPG(t, e.address), dialPG(t, e.address)
		if got := c.query(t, text("first", "hang-limited", 200)); got != codeAborted {
			t.Errorf("the first answer is %s, want %s", got, codeAborted)
		}
		other.Write(queryMessage(text("other", "hang-other", 900)))
		waitFor(t, "a member has the other write", func() bool {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			return e.attempts["hang-other"] > 0
		})
		for key, want := range map[string]string{"hang-limited": codeAborted, "hang-fresh": codeRejected} {
			if got := c.query(t, text("second-"+key, key, 900)); got != want {
				t.Errorf("%s over the limit: %s, want %s", key, got, want)
			}
		}
	})
}
