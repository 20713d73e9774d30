// Package logs writes log/slog records as lines of key=value text, each with its time in UTC, its level and its event. A
// separate goroutine writes the lines, so that a blocked reader of the log does not block the program: lines are dropped
// while its queue is full. Lines of one event beyond a limit per second are dropped too. Both are counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// LineWriter queues log lines for a writer. Its exported fields may be used from any goroutine.
type LineWriter struct {
	Level       slog.LevelVar // minimum level
	RateLimit   atomic.Int64  // maximum lines per event and second, except errors; 0: unlimited
	Dropped     atomic.Int64  // lines dropped because the queue was full
	RateLimited atomic.Int64  // lines dropped beyond RateLimit
	queue       chan []byte
	done        chan struct{} // closed once the queue is written
}

const maxQueuedLines = 1024

// flushTimeout is how long Close waits for the queued lines to be written.
const flushTimeout = time.Second

// Start starts writing lines to out and makes them the destination of the default slog logger.
func Start(out io.Writer) *LineWriter {
	l := &LineWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.queue {
			out.Write(line)
		}
	}()
	slog.SetDefault(slog.New(l.Handler(l)))
	return l
}

// Handler returns a handler that formats records as lines, limited by Level and RateLimit, and writes them to out.
func (l *LineWriter) Handler(out io.Writer) slog.Handler {
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
	return &sampler{text, l, new(rateCounter)}
}

// rateCounter counts the lines of each event in the current second.
type rateCounter struct {
	mutex  sync.Mutex
	second int64            // Unix time
	counts map[string]int64 // by event
}

// sampler is a handler that drops records beyond the limit of their event.
type sampler struct {
	slog.Handler
	lines   *LineWriter
	counter *rateCounter
}

// Handle implements slog.Handler. It drops the record if its event is over the limit in this second.
func (s *sampler) Handle(ctx context.Context, record slog.Record) error {
	if limit := s.lines.RateLimit.Load(); limit > 0 && record.Level < slog.LevelError && s.counter.overLimit(record, limit) {
		s.lines.RateLimited.Add(1)
		return nil
	}
	return s.Handler.Handle(ctx, record)
}

// overLimit counts a record and reports whether its event is over the limit in this second.
func (s *rateCounter) overLimit(record slog.Record, limit int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now := record.Time.Unix(); now != s.second || s.counts == nil {
		s.second, s.counts = now, make(map[string]int64)
	}
	s.counts[record.Message]++
	return s.counts[record.Message] > limit
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.lines, s.counter}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.lines, s.counter}
}

// Write implements io.Writer by queueing a line. It never blocks: if the queue is full, the line is dropped and counted.
func (l *LineWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.Dropped.Add(1)
	}
	return len(line), nil
}

// Close discards further log records and waits up to flushTimeout for the queued lines to be written.
func (l *LineWriter) Close() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}
