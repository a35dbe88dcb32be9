package front

import (
	"bytes"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxQueuedLines limits the number of log lines that wait to be written.
	maxQueuedLines = 4096
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// LogWriter writes log lines asynchronously, so that logging never blocks.
// Lines that do not fit into a bounded queue, or cannot be written, are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a LogWriter that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never fails and never blocks.
func (l *LogWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case l.lines <- copied:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and returns when they are written or the time
// limit has passed.
func (l *LogWriter) Close(limit time.Duration) {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

// run writes the queued lines to w, joining those that wait into one write.
func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	var batch []byte
	for line := range l.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < 64<<10; {
			select {
			case next, ok := <-l.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// A failed write, such as to a closed pipe, must not end the process.
		if n, err := w.Write(batch); err != nil {
			l.dropped.Add(int64(bytes.Count(batch[n:], []byte("\n"))))
		}
	}
}

// reportDrops returns a function that logs how many lines were dropped since
// its last call.
func (f *Front) reportDrops() func(proto.Instant) {
	last := int64(0)
	return func(proto.Instant) {
		if n := f.cfg.LogDropped(); n != last {
			f.log.Warn("log lines dropped", slog.Int64("lines", n-last), slog.Int64("total", n))
			last = n
		}
	}
}
