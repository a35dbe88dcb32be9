package api

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/app/budget"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// firstBytes is the first size of a body's buffer, announcedBytes what has to arrive of a
	// body of announced length before its whole length is allocated.
	firstBytes     = 4 << 10
	announcedBytes = 64 << 10
	// progressTime is the time within which a body must make progress, if there is a memory
	// limit.
	progressTime = 15 * time.Second
	// refusalReportInterval is the least time between two log lines on refused bodies.
	refusalReportInterval = time.Second
)

var errNoMemory = errors.New("no memory for the body")

// bodyReader reads the body of one request within the budget.
type bodyReader struct {
	budget.Reading
	source    io.Reader
	announced int64
	data      []byte
	limited   bool
	// end is the deadline of the body, due the earlier one until which progress must be made.
	end, due proto.Instant
	// last receives the end of a body of announced length that is complete.
	last [1]byte
}

// readBody reads the whole body within the size limit, the budget and the timeout. The holder
// is released when the body is not used any more; it is nil if there is none.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, key string) ([]byte, *membudget.Holder, *Problem) {
	tooLarge := newProblem(proto.CauseTooLarge, proto.NotRun, "The body exceeds the limit of this router.")
	if r.ContentLength > s.limits.Body {
		w.Header().Set("Connection", "close")
		s.refusals.count("too large")
		return nil, nil, tooLarge
	}
	b := s.newBodyReader(w, r, key)
	err := b.read(s)
	cause := b.End()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	var size *http.MaxBytesError
	var problem *Problem
	switch {
	case errors.Is(err, errNoMemory) && cause != membudget.Stalled, cause == membudget.BeyondShare:
		s.refusals.count("no memory")
		problem = newProblem(proto.CauseOverload, proto.NotRun, "This router has no memory for the body.").withRetry(budget.RetryAfter)
	case cause == membudget.Stalled, timedOut:
		s.refusals.count("no progress")
		problem = badRequest("The body did not arrive in time.").withStatus(http.StatusRequestTimeout)
	case errors.As(err, &size):
		s.refusals.count("too large")
		b.Holder.Release()
		return nil, nil, tooLarge
	case err != nil:
		problem = badRequest("The body ended early.")
	default:
		b.Clear()
		b.Holder.Keep()
		return b.data, b.Holder, nil
	}
	b.Holder.Release()
	b.Expire() // net/http does not wait for the rest of the body
	w.Header().Set("Connection", "close")
	return nil, nil, problem
}

func (s *Server) newBodyReader(w http.ResponseWriter, r *http.Request, key string) *bodyReader {
	now := driver.Now()
	b := &bodyReader{
		Reading: budget.Reading{Control: http.NewResponseController(w)}, source: http.MaxBytesReader(w, r.Body, s.limits.Body),
		announced: r.ContentLength, limited: s.budget.Limit() > 0, end: now.Add(s.limits.BodyTimeout),
	}
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	account := ""
	if key != "" {
		account = string(s.router.View().Config.Keys[note.HashKey(key)].Account)
	}
	b.Holder = s.budget.NewHolder(now, membudget.Bodies, account, address, b.Interrupt)
	b.extend(now)
	return b
}

// extend sets the read deadline.
func (b *bodyReader) extend(now proto.Instant) {
	b.due = b.end
	if b.limited {
		b.due = min(b.due, now.Add(progressTime))
	}
	b.SetDeadline(b.due.Sub(now))
}

// read reads the body to its end.
func (b *bodyReader) read(s *Server) error {
	for {
		complete := b.announced >= 0 && int64(len(b.data)) >= b.announced
		room := b.last[:]
		if !complete {
			if len(b.data) == cap(b.data) && !b.grow(s) {
				return errNoMemory
			}
			room = b.data[len(b.data):cap(b.data)]
		}
		n, err := b.source.Read(room)
		if !complete {
			b.data = b.data[:len(b.data)+n]
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if now := driver.Now(); b.Holder.Progress(now, n) && b.limited && now.Add(progressTime-time.Second) > b.due {
			b.extend(now)
		}
	}
}

// grow enlarges the buffer: to the announced length once some has arrived, else to twice its
// size. Both buffers count until the old one was copied.
func (b *bodyReader) grow(s *Server) bool {
	old := int64(cap(b.data))
	size := max(firstBytes, 2*old)
	if b.announced >= 0 {
		if old >= announcedBytes {
			size = b.announced
		}
		size = min(size, b.announced)
	}
	if !budget.Reserve(b.Holder, size, interruptAll) {
		return false
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.Holder.Shrink(old)
	return true
}

func interruptAll(holders []*membudget.Holder) {
	for _, h := range holders {
		h.Interrupt()
	}
}

// refusals counts refused bodies and logs them, one line for each reason and second.
type refusals struct {
	mu     sync.Mutex
	log    *slog.Logger
	counts map[string]*refusalCount
}

type refusalCount struct {
	waiting int
	due     bool
}

// count counts a refusal. The first one of a second starts the timer that logs them.
func (r *refusals) count(reason string) {
	if r.log == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[reason]
	if c == nil {
		c = &refusalCount{}
		r.counts[reason] = c
	}
	c.waiting++
	if c.due {
		return
	}
	c.due = true
	time.AfterFunc(refusalReportInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.log.Warn("bodies refused", "reason", reason, "count", c.waiting)
		c.waiting, c.due = 0, false
	})
}
