// Package testmember serves PostgreSQL's protocol as a database server does, for tests that run drivers as processes.
package testmember

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/pgwire"
)

// Handler is what a member does with its connections. Its methods are called by a goroutine for each connection.
type Handler interface {
	// Greeting returns the answer to the startup message.
	Greeting() []byte
	// Answer answers a statement and reports whether the connection stays open.
	Answer(c net.Conn, statement string) (open bool)
}

// Serve serves a member on a local address of its own until the test ends.
func Serve(t testing.TB, h Handler) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(c, h)
		}
	}()
	return listener
}

func serveConnection(c net.Conn, h Handler) {
	defer c.Close()
	in := bufio.NewReader(c)
	if _, err := ReadBody(in); err != nil {
		return
	}
	if _, err := c.Write(h.Greeting()); err != nil {
		return
	}
	for {
		kind, err := in.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		text, err := ReadBody(in)
		if err != nil || !h.Answer(c, strings.TrimRight(string(text), "\x00")) {
			return
		}
	}
}

// ReadBody reads the length of a message and the bytes behind it.
func ReadBody(in io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return nil, err
	}
	text := make([]byte, binary.BigEndian.Uint32(length[:])-4)
	_, err := io.ReadFull(in, text)
	return text, err
}

// Parameters returns the messages in which a member tells its role and the position that it has replayed, which is the current time.
func Parameters(isPrimary bool) []byte {
	role := "follower"
	if isPrimary {
		role = "leader"
	}
	out := pgwire.AppendParameter(nil, "node_role", role)
	return pgwire.AppendParameter(out, "replay_position", strconv.FormatInt(time.Now().UnixMilli(), 10))
}

// Row returns an answer with one document, followed by the parameters.
func Row(doc string, parameters []byte) []byte {
	out := append(append(pgwire.AppendHead(nil, 'T', 24), "\x00\x01doc\x00"...), make([]byte, 18)...)
	out = append(pgwire.AppendHead(out, 'D', 6+len(doc)), 0, 1)
	out = append(binary.BigEndian.AppendUint32(out, uint32(len(doc))), doc...)
	out = append(pgwire.AppendHead(out, 'C', 9), "SELECT 1\x00"...)
	return pgwire.AppendReady(append(out, parameters...))
}

// Empty returns the answer to the empty query, with the parameters.
func Empty(parameters []byte) []byte {
	return pgwire.AppendReady(append(parameters, pgwire.AppendHead(nil, 'I', 0)...))
}

// CommentField returns the value of a field in the comment of a statement.
func CommentField(statement, name string) string {
	for _, prefix := range []string{" ", ","} {
		if _, rest, found := strings.Cut(statement, prefix+name+"="); found {
			return rest[:strings.IndexAny(rest+" ", ", ")]
		}
	}
	return ""
}
