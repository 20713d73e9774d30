// Package control answers an operator's questions about one driver: who connects to its address, which is one of this machine, sends
// a line and gets one JSON value. Nothing can be changed by it.
package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	"passtack/internal/loop"
)

const (
	longest  = 64              // bytes of a question
	abreast  = 8               // connections at once
	patience = 2 * time.Second // in which a question has to come
	mostSaid = 16 << 20        // bytes of an answer that Ask takes
	waits    = 3 * time.Second // of Ask
)

// Answers gives what is known, by question. What it is has to be good for JSON.
type Answers map[string]func() any

// asked is one connection.
type asked struct {
	loop    *loop.Loop
	answers Answers
	stream  *loop.Stream
	due     loop.Due
}

// Listen answers at the address from now on.
func Listen(l *loop.Loop, at netip.AddrPort, answers Answers) (*loop.Listener, error) {
	door := loop.Door{Descriptors: func(int) int { return abreast }}
	return l.Listen(at, longest, door, func(take func(loop.Handler) *loop.Stream) {
		a := &asked{loop: l, answers: answers}
		if a.stream = take(a); a.stream != nil {
			a.due = l.At(l.Now()+patience, a.end)
		}
	}, func(bool) {})
}

func (a *asked) Opened()        {}
func (a *asked) Panicked(error) { a.end() }
func (a *asked) Closed(error)   { a.gone() }

func (a *asked) gone() { a.loop.Forget(a.due) }

func (a *asked) end() {
	a.gone()
	a.stream.Close()
}

func (a *asked) Input(in []byte) int {
	line, _, whole := bytes.Cut(in, []byte("\n"))
	if !whole {
		if len(in) >= longest {
			a.end()
		}
		return 0
	}
	question := strings.TrimSpace(string(line))
	var said any = map[string]string{"error": fmt.Sprintf("there is nothing to tell of %q", question)}
	if answer := a.answers[question]; answer != nil {
		said = answer()
	}
	text, err := json.Marshal(said)
	if err != nil {
		text = fmt.Appendf(nil, `{"error":%q}`, err)
	}
	a.gone()
	a.stream.Send(append(text, '\n'))
	a.stream.CloseWhenSent()
	return len(in)
}

// Ask asks a driver at its address, and reads what it says into a value.
func Ask(at, question string, into any) error {
	c, err := net.DialTimeout("tcp", at, waits)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waits))
	if _, err := fmt.Fprintln(c, question); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(c, mostSaid))
	if err != nil {
		return err
	}
	var wrong struct{ Error string }
	if json.Unmarshal(text, &wrong) == nil && wrong.Error != "" {
		return fmt.Errorf("%s says: %s", at, wrong.Error)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s says what cannot be read: %w", at, err)
	}
	return nil
}
