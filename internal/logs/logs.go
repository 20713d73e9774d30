// Package logs writes log/slog records as lines of key=value text, each with its time in UTC, its level and its event. A
// separate goroutine writes the lines, so that a reader that does not read the log cannot block the program: lines are
// dropped while the goroutine's queue is full. Lines of an event beyond its limit per second are dropped too. Both kinds of
// dropped lines are counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// LineWriter queues log lines for an io.Writer. Its exported fields may be used from any goroutine.
type LineWriter struct {
	Level       slog.LevelVar // minimum level
	RateLimit   atomic.Int64  // maximum number of lines per event and second, errors excepted; 0: unlimited
	Dropped     atomic.Int64  // lines dropped because the queue was full or closed
	RateLimited atomic.Int64  // lines dropped because their event exceeded RateLimit
	mutex       sync.RWMutex  // of closed
	closed      bool          // queue is closed
	queue       chan []byte
	done        chan struct{} // closed after Close, once all queued lines are written
}

const maxQueuedLines = 1024

// flushTimeout is how long Close waits for the queued lines to be written.
const flushTimeout = time.Second

// Start starts the goroutine that writes lines to out and makes the default slog logger log to it.
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

// Handler returns a handler that formats records as lines and writes them to out, subject to Level and RateLimit.
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
	counts map[string]int64 // number of lines by event
}

// sampler is a slog.Handler that drops records whose event has exceeded the rate limit.
type sampler struct {
	slog.Handler
	lines   *LineWriter
	counter *rateCounter
}

// Handle implements slog.Handler. It drops the record if its event has exceeded the rate limit in this second.
func (s *sampler) Handle(ctx context.Context, record slog.Record) error {
	if limit := s.lines.RateLimit.Load(); limit > 0 && record.Level < slog.LevelError && s.counter.overLimit(record, limit) {
		s.lines.RateLimited.Add(1)
		return nil
	}
	return s.Handler.Handle(ctx, record)
}

// overLimit counts a record and reports whether its event has exceeded the limit in this second.
func (c *rateCounter) overLimit(record slog.Record, limit int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if second := record.Time.Unix(); second != c.second || c.counts == nil {
		c.second, c.counts = second, make(map[string]int64)
	}
	c.counts[record.Message]++
	return c.counts[record.Message] > limit
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.lines, s.counter}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.lines, s.counter}
}

// Write implements io.Writer by queueing a copy of the line. It never blocks: if the queue is full or closed, the line is dropped and
// counted. A goroutine may still write after Close, with a logger that it took before.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	if l.closed {
		l.Dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.Dropped.Add(1)
	}
	return len(line), nil
}

// Close discards all later log records and waits up to flushTimeout for the queued lines to be written.
func (l *LineWriter) Close() {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	l.closeQueue()
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

func (l *LineWriter) closeQueue() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	close(l.queue)
}
