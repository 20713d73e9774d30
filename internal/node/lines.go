package node

import (
	"io"
	"log"
	"sync/atomic"
	"time"
)

// lines writes log lines on a goroutine of its own, since whoever reads them may stop. What it cannot take
// is left out and counted.
type lines struct {
	queue chan []byte
	lost  atomic.Int64
	done  chan struct{}
}

const mostLines = 1024

func logTo(out io.Writer) *lines {
	l := &lines{queue: make(chan []byte, mostLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.queue {
			out.Write(line)
		}
	}()
	log.SetOutput(l)
	return l
}

func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.lost.Add(1)
	}
	return len(line), nil
}

// end writes what is left, unless nobody reads it.
func (l *lines) end() {
	log.SetOutput(io.Discard)
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(time.Second):
	}
}
