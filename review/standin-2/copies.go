package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pgClient is one client connection to the platform's listener.
type pgClient struct {
	c net.Conn
	r *bufio.Reader
}

// dialPG connects and sends the startup message.
func dialPG(address string) (*pgClient, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	p := &pgClient{c, bufio.NewReader(c)}
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	if _, _, err := p.answer(); err != nil {
		c.Close()
		return nil, err
	}
	return p, nil
}

// query sends a query and returns the value, or the code of the error.
func (p *pgClient) query(text string, patience time.Duration) (value, code string, err error) {
	p.c.SetDeadline(time.Now().Add(patience))
	if _, err := p.c.Write(message('Q', text+"\x00")); err != nil {
		return "", "", err
	}
	return p.answer()
}

// answer reads messages up to ReadyForQuery.
func (p *pgClient) answer() (value, code string, err error) {
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(p.r, head); err != nil {
			return value, code, err
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(p.r, body); err != nil {
			return value, code, err
		}
		switch head[0] {
		case 'D':
			value = string(body[6:])
		case 'E':
			for field := range strings.SplitSeq(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					code = field[1:]
				}
			}
		case 'Z':
			return value, code, nil
		}
	}
}

var lastID atomic.Int64

// statement returns a statement with the comment of the protocol page.
func statement(method, more, sql string) string {
	return fmt.Sprintf("/* id=%016x,c=%s,d=1000,cluster=0%s */ %s", lastID.Add(1)+time.Now().UnixNano(), method, more, sql)
}

// startPlain starts a driver as the deploy file does, and waits until it answers.
func (p *play) startPlain(name, site, listen string) (*exec.Cmd, error) {
	path, err := p.write(name+".json", site)
	if err != nil {
		return nil, err
	}
	c, err := p.start(name, "exec bin/passtack serve", "BALANCER_CONFIG="+path)
	if err != nil {
		return nil, err
	}
	return c, await(name+" being ready", 10*time.Second, func() bool {
		client, err := dialPG(listen)
		if err != nil {
			return false
		}
		defer client.c.Close()
		_, _, err = client.query("", time.Second)
		return err == nil
	})
}

// secondCopies: clients write and read entities of their own. With trouble a second copy of the answer follows directly behind one answer in
// fifty, while nothing else waits on the connection.
func secondCopies(p *play) error {
	g := newCluster(p, 10*time.Millisecond)
	var answers atomic.Int64
	g.twice = func() bool { return answers.Add(1)%50 == 0 && p.trouble }
	primary, err := g.serve(true)
	if err != nil {
		return err
	}
	replica, err := g.serve(false)
	if err != nil {
		return err
	}
	targets := []target{memberEntry("s-1", primary), memberEntry("s-2", replica)}
	discovery, err := p.serveDiscovery(targets)
	if err != nil {
		return err
	}
	classes, needs, bounds := usualClasses()
	listen := freeAddress()
	if _, err := p.startPlain("n0", siteOf("n0", listen, discovery, targets, classes, needs, bounds, "hold"), listen); err != nil {
		return err
	}
	end := time.Now().Add(10 * time.Second)
	var wait sync.WaitGroup
	var served atomic.Int64
	for i := range 4 {
		wait.Go(func() { served.Add(int64(ownEntity(p, listen, fmt.Sprint("client", i), end))) })
	}
	wait.Wait()
	p.note("%d requests served", served.Load())
	if served.Load() < 200 {
		return fmt.Errorf("%w: only %d requests were served", errCannotRun, served.Load())
	}
	return nil
}

// ownEntity writes an entity and reads it several times, again and again. Each answer has to be of this entity.
func ownEntity(p *play, listen, name string, end time.Time) (served int) {
	c, err := dialPG(listen)
	if err != nil {
		return 0
	}
	defer c.c.Close()
	for i := 0; time.Now().Before(end); i++ {
		key := fmt.Sprintf("%s-%d", name, i/10)
		text := statement("own", "", "SELECT doc FROM items WHERE id = '"+key+"'")
		if i%10 == 0 {
			text = statement("order", fmt.Sprintf(",k=%x", time.Now().UnixNano()), fmt.Sprintf("INSERT INTO items (id, doc) VALUES ('%s', 'doc of %s') RETURNING doc", key, key))
		}
		value, code, err := c.query(text, 2*time.Second)
		p.note("%s: %s: value=%q code=%s err=%v", name, text, value, code, err)
		if err != nil {
			c.c.Close()
			if c, err = dialPG(listen); err != nil {
				return served
			}
			continue
		}
		switch {
		case code != "":
		case value != "" && value != "doc of "+key:
			p.violated("a request of %s for %s was answered with %q", name, key, value)
		default:
			served++
		}
		time.Sleep(8 * time.Millisecond)
	}
	return served
}
