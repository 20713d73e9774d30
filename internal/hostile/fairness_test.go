package hostile

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// flood is a kind of requests that one client sends at full speed.
type flood struct {
	name    string
	front   front
	request func(i int) string // the i-th request
	bare    bool               // no session is begun first, at the platform's listener
}

func httpGet(target string, fields ...string) string {
	return "GET /odata/" + target + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(append(fields, "", ""), "\r\n")
}

func httpPost(target, body string, fields ...string) string {
	head := fmt.Sprintf("POST /odata/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", target, len(body))
	return head + strings.Join(append(fields, "", ""), "\r\n") + body
}

// chunked encodes a body in chunks of one byte.
func chunked(body string) string {
	var out strings.Builder
	out.WriteString("POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range len(body) {
		out.WriteString("1\r\n" + body[i:i+1] + "\r\n")
	}
	return out.String() + "0\r\n\r\n"
}

func query(text string) string { return string(message(text)) }

var floods = []flood{
	{name: "reads of new keys", front: platform, request: func(i int) string { return string(platform.read(fmt.Sprint("new-", i))) }},
	{name: "session reads of new keys", front: platform, request: func(i int) string { return query(statement("own", 1000, fmt.Sprint("new-", i))) }},
	{name: "writes of new keys", front: platform, request: func(i int) string { return query(statement("order", 1000, fmt.Sprint("new-", i))) }},
	{name: "reads without time", front: platform, request: func(i int) string { return query(statement("look", 1, fmt.Sprint("new-", i))) }},
	{name: "empty queries", front: platform, request: func(int) string { return query("") }},
	{name: "commands", front: platform, request: func(i int) string { return query(fmt.Sprint("SET x = ", i)) }},
	{name: "comments without use", front: platform, request: func(i int) string { return query(fmt.Sprintf("/* id=%d,c=none,d=x */ SELECT 1", i)) }},
	{name: "comments of short fields", front: platform, request: func(int) string { return query("/*" + strings.Repeat("a=,", 20_000) + "*/ SELECT 1") }},
	{name: "unknown messages", front: platform, request: func(int) string { return "F\x00\x00\x00\x04" }},
	{name: "requests for encryption", front: platform, bare: true, request: func(int) string { return "\x00\x00\x00\x08\x04\xd2\x16\x2f" }},
	{name: "cancels", front: platform, bare: true, request: func(int) string { return "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01" }},
	{name: "reads of new keys", front: odata, request: func(i int) string { return string(odata.read(fmt.Sprint("new-", i))) }},
	{name: "reads of new sessions", front: odata, request: func(i int) string { return httpGet("Applications('a')", fmt.Sprint("Session-Id: ", i)) }},
	{name: "repeatable writes", front: odata, request: func(i int) string {
		return httpPost("Applications", fmt.Sprintf(`{"Id":"new-%d"}`, i), fmt.Sprintf("Repeatability-Request-ID: 00000000-0000-4000-8000-%012x", i),
			"Repeatability-First-Sent: "+time.Now().UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT"), fmt.Sprint("Repeatability-Client-ID: ", i))
	}},
	{name: "service documents", front: odata, request: func(int) string { return httpGet("") }},
	{name: "metadata", front: odata, request: func(int) string { return httpGet("$metadata") }},
	{name: "nothing there", front: odata, request: func(i int) string { return httpGet(fmt.Sprint("none-", i)) }},
	{name: "no requests", front: odata, request: func(int) string { return "?\r\n\r\n" }},
	{name: "many short fields", front: odata, request: func(int) string { return httpGet("Applications('a')", strings.Repeat("a:\r\n", 60)+"b:") }},
	{name: "too many short fields", front: odata, request: func(int) string { return httpGet("", strings.Repeat("a:\r\n", 4000)+"b:") }},
	{name: "chunks of one byte", front: odata, request: func(i int) string {
		return chunked(fmt.Sprintf(`{"Id":"%d","Status":"%s"}`, i, strings.Repeat("x", 40_000)))
	}},
	{name: "deep filters", front: odata, request: func(int) string {
		return httpGet("Applications?$filter=" + strings.Repeat("(", 1500) + "Id%20eq%20'a'" + strings.Repeat(")", 1500))
	}},
	{name: "deep bodies", front: odata, request: func(int) string { return httpPost("Applications", `{"Id":`+strings.Repeat("[", 100_000)) }},
	{name: "small batches", front: odata, request: func(i int) string {
		return httpPost("$batch", fmt.Sprintf(`{"requests":[{"id":"1","method":"get","url":"Applications('%d')"}]}`, i))
	}},
	{name: "batches of nothing", front: odata, request: func(int) string {
		items := make([]string, 50)
		for i := range items {
			items[i] = fmt.Sprintf(`{"id":"%d","method":"get","url":"none"}`, i)
		}
		return httpPost("$batch", `{"requests":[`+strings.Join(items, ",")+`]}`, "Prefer: continue-on-error")
	}},
}

const (
	floodMemoryMB = 64
	floodTime     = 1500 * time.Millisecond
	maxUsualP99   = 100 * time.Millisecond // a tenth of the time in which a read should be answered
)

// Guards against a client that sends small or unsound requests on one connection at full speed, and so keeps the event loop busy until
// the others' answers are late, or makes tables grow.
func TestOneFloodingClientDelaysNoOther(t *testing.T) {
	for _, f := range fronts {
		t.Run(string(f), func(t *testing.T) {
			d := deploy(t, limits{floodMemoryMB, 512}, 2*time.Millisecond)
			alone := d.serveUsualClients(f, floodTime)
			t.Logf("alone: %v", alone)
			for _, fl := range floods {
				if fl.front == f {
					t.Run(fl.name, func(t *testing.T) { d.checkBeside(t, fl, alone) })
				}
			}
		})
	}
}

// checkBeside serves the usual clients beside a flood and checks what they saw.
func (d *deployment) checkBeside(t *testing.T, fl flood, alone *service) {
	end := make(chan bool)
	sent := make(chan int)
	go func() { sent <- d.play(fl, end) }()
	time.Sleep(200 * time.Millisecond) // until the flood is at its height
	beside := d.serveUsualClients(fl.front, floodTime)
	close(end)
	t.Logf("%d requests sent beside: %v; peak %.1f MB", <-sent, beside, d.peakMB())
	select {
	case <-d.ended:
		t.Fatalf("the driver has ended: %s", strings.Join(d.lastLines, "\n"))
	default:
	}
	if beside.lost > 0 || beside.wrong > 0 || beside.refused > 0 || beside.p99() > maxUsualP99 || beside.served < alone.served/2 {
		t.Errorf("usual clients beside the flood: %v; alone: %v", beside, alone)
	}
	if d.peakMB() > floodMemoryMB {
		t.Errorf("the driver took %.1f MB of memory, its limit is %d MB", d.peakMB(), floodMemoryMB)
	}
}

const requestsAtATime = 200

// play writes requests at full speed, reads and drops what comes, and connects anew when the driver closes the connection. It returns
// the number of requests written.
func (d *deployment) play(fl flood, end chan bool) (sent int) {
	text := make([]string, requestsAtATime)
	for {
		select {
		case <-end:
			return sent
		default:
		}
		c, err := dialFlood(d.address(fl.front), fl)
		if err != nil {
			continue
		}
		closed := make(chan bool)
		var reader sync.WaitGroup
		reader.Go(func() {
			for in := make([]byte, 1<<16); err == nil; _, err = c.Read(in) {
			}
			close(closed)
		})
		go func() {
			select {
			case <-end:
			case <-closed:
			}
			c.Close()
		}()
		for writeErr := error(nil); writeErr == nil; {
			for i := range text {
				text[i] = fl.request(sent + i)
			}
			if _, writeErr = c.Write([]byte(strings.Join(text, ""))); writeErr == nil {
				sent += len(text)
			}
		}
		c.Close()
		reader.Wait()
	}
}

func dialFlood(address string, fl flood) (*client, error) {
	f := fl.front
	if fl.bare {
		f = odata // nothing is sent first
	}
	c, err := dial(address, f)
	if err == nil {
		c.SetDeadline(time.Time{})
	}
	return c, err
}
