package hostile

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// crowd is a kind of behavior of hundreds of clients at once.
type crowd struct {
	name  string
	front front
	send  func(c *client, i int, end time.Time) // what the i-th client sends
}

// dribble writes text in pieces of a size, with a pause after each, until the end.
func dribble(c *client, text string, size int, pause time.Duration, end time.Time) {
	for len(text) > 0 && time.Now().Before(end) {
		n := min(size, len(text))
		if _, err := c.Write([]byte(text[:n])); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// stay keeps the connection until the driver closes it or the end has come.
func stay(c *client, end time.Time) {
	c.SetReadDeadline(end)
	for in := make([]byte, 4096); ; {
		if _, err := c.Read(in); err != nil {
			return
		}
	}
}

const (
	largeValue  = 64 << 10  // bytes of the largest value of the protocol page
	largeBody   = 250 << 10 // bytes, near the limit of a body
	manyFields  = 60        // near the limit of a header
	pieceSize   = 1 << 10
	piecePause  = 10 * time.Millisecond
	clientCount = 600
)

func largeWrite(i int) string {
	text := statement("order", 2000, fmt.Sprint("large-", i))
	return query(strings.Replace(text, "'x'", `'\x`+strings.Repeat("61", largeValue)+"'", 1))
}

func largePost(i int) string {
	return httpPost("Applications", fmt.Sprintf(`{"Id":"large-%d","Status":"%s"}`, i, strings.Repeat("x", largeBody)))
}

var crowds = []crowd{
	{"slow writers", platform, func(c *client, i int, end time.Time) { dribble(c, largeWrite(i), pieceSize, piecePause, end) }},
	{"half of a large write", platform, func(c *client, i int, _ time.Time) { c.Write([]byte(largeWrite(i)[:largeValue])) }},
	{"half of the longest message", platform, func(c *client, _ int, _ time.Time) {
		c.Write(append(pgwire.AppendHead(nil, 'Q', pgwire.MaxMessageLength-4), make([]byte, pgwire.MaxMessageLength/2)...))
	}},
	{"comments of short fields", platform, func(c *client, i int, _ time.Time) {
		c.Write([]byte(query(strings.Replace(statement("look", 2000, fmt.Sprint(i)), ",c=", ","+strings.Repeat("a=,", 100_000)+"c=", 1))))
	}},
	{"long ids", platform, func(c *client, i int, _ time.Time) {
		c.Write(message(statementWithID(fmt.Sprint(i, strings.Repeat("x", 500_000)), "look", 2000, "a")))
	}},
	{"slow writers", odata, func(c *client, i int, end time.Time) { dribble(c, largePost(i), 4*pieceSize, piecePause, end) }},
	{"half of a large write", odata, func(c *client, i int, _ time.Time) { c.Write([]byte(largePost(i)[:largeBody/2])) }},
	{"half of a body in small chunks", odata, func(c *client, i int, _ time.Time) {
		c.Write([]byte(chunked(fmt.Sprintf(`{"Id":"%d","Status":"%s"}`, i, strings.Repeat("x", largeBody)))[:largeBody]))
	}},
	{"many short fields", odata, func(c *client, i int, _ time.Time) {
		c.Write([]byte(httpGet(fmt.Sprintf("Applications('%d')", i), strings.Repeat("a:\r\n", manyFields)+"b:")))
	}},
	{"half of many short fields", odata, func(c *client, _ int, _ time.Time) {
		c.Write([]byte("GET /odata/ HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", manyFields)))
	}},
	{"slow heads of short fields", odata, func(c *client, i int, end time.Time) {
		dribble(c, httpGet("Applications('a')", strings.Repeat("a:\r\n", manyFields)+"b:"), 4, piecePause, end)
	}},
	{"batches of many headers", odata, func(c *client, i int, _ time.Time) {
		c.Write([]byte(httpPost("$batch", `{"requests":[{"id":"1","method":"get","url":"Applications('a')","headers":{`+shortHeaders(20_000)+`}}]}`)))
	}},
	{"batches of many dependencies", odata, func(c *client, i int, _ time.Time) {
		c.Write([]byte(httpPost("$batch", `{"requests":[`+emptyDependencies(50, 60_000)+`]}`)))
	}},
	{"bodies of many members", odata, func(c *client, i int, _ time.Time) {
		c.Write([]byte(httpPost("Applications", fmt.Sprintf(`{"Id":"%d",%s}`, i, shortHeaders(20_000)))))
	}},
}

func shortHeaders(count int) string {
	var out strings.Builder
	for i := range count {
		fmt.Fprintf(&out, `"%x":"",`, i)
	}
	return strings.TrimSuffix(out.String(), ",")
}

// emptyDependencies returns requests of a JSON batch, the last of which depends on the empty text many times.
func emptyDependencies(requests, dependencies int) string {
	var out strings.Builder
	for i := range requests - 1 {
		fmt.Fprintf(&out, `{"id":"%d","method":"get","url":"Applications('a')"},`, i)
	}
	fmt.Fprintf(&out, `{"id":"x","method":"get","url":"Applications('a')","dependsOn":[%s]}`, strings.TrimSuffix(strings.Repeat(`"",`, dependencies), ","))
	return out.String()
}

const (
	crowdMemoryMB = 32 // the least that a deployment gives
	crowdTime     = 2500 * time.Millisecond
)

// Guards against hundreds of clients at once that take a driver over its memory limit: slow writers, clients that stop half way through a
// large request, and requests of very many short parts.
func TestCrowdsStayWithinTheMemoryLimit(t *testing.T) {
	for _, c := range crowds {
		t.Run(string(c.front)+"/"+c.name, func(t *testing.T) {
			d := deploy(t, limits{crowdMemoryMB, 1024}, 2*time.Millisecond)
			d.playCrowd(c)
			t.Logf("peak %.1f MB", d.peakMB())
			select {
			case <-d.ended:
				t.Fatalf("the driver has ended: %s", strings.Join(d.lastLines, "\n"))
			default:
			}
			if d.peakMB() > crowdMemoryMB {
				t.Errorf("the driver took %.1f MB of memory, its limit is %d MB", d.peakMB(), crowdMemoryMB)
			}
			if s := d.serveUsualClients(c.front, 300*time.Millisecond); s.served == 0 || s.lost > 0 || s.wrong > 0 {
				t.Errorf("usual clients afterwards: %v", s)
			}
		})
	}
}

// playCrowd connects all clients of a crowd and lets each of them send, and stay, until the end.
func (d *deployment) playCrowd(crowd crowd) {
	end := time.Now().Add(crowdTime)
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() {
			c, err := dial(d.address(crowd.front), crowd.front)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetWriteDeadline(end)
			crowd.send(c, i, end)
			stay(c, end)
		})
	}
	clients.Wait()
}
