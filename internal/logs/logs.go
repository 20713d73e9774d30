// Package logs writes events as lines of key=value text, by log/slog. Each line has its time (UTC), its level and the
// event's name. Whoever reads them may stop, and trouble may say the same without end: a goroutine of its own writes
// them, what it cannot take is left out, and so is what one event says beyond a limit a second. Both are counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Lines is where events go.
type Lines struct {
	Level   slog.LevelVar
	Sample  atomic.Int64 // lines of one event in a second, errors aside; 0: all
	Lost    atomic.Int64 // lines that could not be written in time
	Sampled atomic.Int64 // lines beyond the sample
	queue   chan []byte
	done    chan struct{}
}

const mostLines = 1024

// To makes the lines go out and be the program's log.
func To(out io.Writer) *Lines {
	l := &Lines{queue: make(chan []byte, mostLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.queue {
			out.Write(line)
		}
	}()
	slog.SetDefault(slog.New(l.Handler(l)))
	return l
}

// Handler writes events as lines to out.
func (l *Lines) Handler(out io.Writer) slog.Handler {
	text := slog.NewTextHandler(out, &slog.HandlerOptions{Level: &l.Level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return a
		}
		switch a.Key {
		case slog.MessageKey:
			a.Key = "event"
		case slog.TimeKey:
			a.Value = slog.TimeValue(a.Value.Time().UTC())
		}
		return a
	}})
	return &sampler{text, l, new(seconds)}
}

// seconds counts the lines of each event in this second.
type seconds struct {
	mutex sync.Mutex
	of    int64
	lines map[string]int64
}

type sampler struct {
	slog.Handler
	to      *Lines
	seconds *seconds
}

// Handle implements slog.Handler: it drops lines over the limit of their event in this second.
func (s *sampler) Handle(c context.Context, r slog.Record) error {
	if most := s.to.Sample.Load(); most > 0 && r.Level < slog.LevelError && s.seconds.over(r, most) {
		s.to.Sampled.Add(1)
		return nil
	}
	return s.Handler.Handle(c, r)
}

func (s *seconds) over(r slog.Record, most int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := r.Time.Unix(); now != s.of || s.lines == nil {
		s.of, s.lines = now, make(map[string]int64)
	}
	s.lines[r.Message]++
	return s.lines[r.Message] > most
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.to, s.seconds}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.to, s.seconds}
}

// Write implements io.Writer. It never blocks: a line for which the queue has no place is counted as lost.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.Lost.Add(1)
	}
	return len(line), nil
}

// End writes what is left, unless nobody reads it.
func (l *Lines) End() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(time.Second):
	}
}
