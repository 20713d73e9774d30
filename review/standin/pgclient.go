package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// pgClient is one client that speaks PostgreSQL's protocol and sends one request after the other. It keeps its connection.
type pgClient struct {
	world      *world
	name       string
	address    string // of the driver
	connection net.Conn
	in         *bufio.Reader
}

// lostAfter is how long after a request's time its answer may come: half a second in which it only earns nothing, and the 50 ms by which
// every limit is longer on sockets.
const lostAfter = 550 * time.Millisecond

var errNoAnswer = errors.New("no whole answer in time")

func (c *pgClient) connect() error {
	connection, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.connection, c.in = connection, bufio.NewReader(connection)
	startup := []byte("\x00\x00\x00\x00\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00")
	startup[3] = byte(len(startup))
	_, err = connection.Write(startup)
	return err
}

// query sends a statement, whose answer must come within the time that its comment names, and returns whether it was served, refused or
// failed. errNoAnswer is returned if no answer came, although the driver's machine had accepted the connection.
func (c *pgClient) query(number int, class, extra, text string, wait time.Duration) (outcome string, err error) {
	if c.connection == nil {
		if err := c.connect(); err != nil {
			return "", err
		}
	}
	id := fmt.Sprintf("%s-%d", c.name, number)
	sent := time.Now()
	statement := fmt.Sprintf("/* id=%s,c=%s,d=%d%s,cluster=0 */ %s", id, class, wait.Milliseconds(), extra, text)
	c.world.record.add("client %s  sends %s", c.name, statement)
	if _, err := c.connection.Write(message('Q', append([]byte(statement), 0))); err != nil {
		c.close()
		return "", err
	}
	c.connection.SetReadDeadline(sent.Add(wait + lostAfter))
	for outcome = ""; ; {
		kind, body, err := readMessage(c.in)
		if err != nil {
			c.close()
			lost := "the connection was closed"
			if errors.Is(err, os.ErrDeadlineExceeded) {
				lost = "nothing came"
			}
			c.world.record.add("client %s  LOST: id=%s c=%s d=%d: %s within %.3f s", c.name, id, class, wait.Milliseconds(), lost, time.Since(sent).Seconds())
			return "", errNoAnswer
		}
		switch kind {
		case 'D':
			outcome = "served"
		case 'E':
			outcome = "refused or failed"
		case 'Z':
			if outcome != "" { // else it ends the start of the connection
				c.world.record.add("client %s  %s after %.3f s: id=%s c=%s %s", c.name, outcome, time.Since(sent).Seconds(), id, class, body)
				return outcome, nil
			}
		}
	}
}

func (c *pgClient) close() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}
