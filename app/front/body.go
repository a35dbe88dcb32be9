package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/kumquatsill/kumquatsill/app/budget"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// firstSegmentBytes is the size of the first segment of a body, smallSegmentBytes that of
	// the next ones until firstReservation is full, largeSegmentBytes that of the others.
	firstSegmentBytes = 4 << 10
	smallSegmentBytes = 60 << 10
	largeSegmentBytes = 256 << 10
	// firstReservation is what has to arrive of a body of announced length before memory for
	// all of it is reserved: an announced length costs the sender nothing.
	firstReservation = firstSegmentBytes + smallSegmentBytes
	// bodyProgressTime is the time within which a body must make progress. It is the idle
	// time that the platform allows connections.
	bodyProgressTime = 15 * time.Second
	// progressStep is how much later a new deadline for progress must be to be set.
	progressStep = time.Second
)

// Reasons of refusals for what callers send.
const (
	reasonTooLarge   = "body_too_large"
	reasonNoProgress = "body_no_progress"
	reasonNoMemory   = "no_memory"
)

var errNoMemory = errors.New("no memory for the body")

// body is the body of a request in segments, so that it grows without being copied.
type body struct {
	segments [][]byte
	size     int64
	// holder is nil if there is no body.
	holder *membudget.Holder
}

// releaseBody releases the body, which no further attempt can use. Its size stays known.
func (x *request) releaseBody() {
	if x.body.holder == nil {
		return
	}
	x.body.segments = nil
	x.body.holder.Release()
	x.body.holder = nil
}

// bodyReader reads the body of one request within the budget.
type bodyReader struct {
	budget.Reading
	x      *request
	source io.Reader
	// announced is the length that the head gives, or -1.
	announced int64
	reserved  int64
	// limited is set if the budget has a limit, so that the body must make progress.
	limited bool
	// progressDue is the time until which progress must be made.
	progressDue proto.Instant
	// last receives the end of a body of announced length that is complete.
	last [1]byte
}

// bodyLimit returns the limit of the size of a body.
func (x *request) bodyLimit() int64 {
	if x.config.MaxBody <= 0 {
		return defaultMaxBody
	}
	return x.config.MaxBody
}

func (x *request) readBody() bool {
	limit := x.bodyLimit()
	if x.r.ContentLength > limit {
		return x.refuseBody(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	}
	if x.r.Body == http.NoBody {
		return !x.isTooLate() || x.reject(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	}
	r := x.newBodyReader(limit)
	stopCheck := newCheckTimer(stopPollInterval, func() time.Duration {
		if x.isTooLate() {
			r.Expire()
		}
		return stopPollInterval
	})
	err := r.read()
	stopCheck.Stop()
	cause := r.End()
	var tooLarge *http.MaxBytesError
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case x.isTooLate():
		r.Clear()
		return x.reject(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	case errors.Is(err, errNoMemory) && cause != membudget.Stalled, cause == membudget.BeyondShare:
		return x.refuseUnread(r, http.StatusServiceUnavailable, reasonNoMemory, budget.RetryAfter)
	case cause == membudget.Stalled, timedOut && r.progressDue < x.deadline:
		return x.refuseUnread(r, http.StatusRequestTimeout, reasonNoProgress, 0)
	case timedOut:
		return x.refuseUnread(r, http.StatusRequestTimeout, "body_not_in_time", 0)
	case errors.As(err, &tooLarge):
		x.releaseBody()
		r.Clear()
		return x.refuseBody(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	}
	r.Clear()
	if err != nil {
		x.log = x.log.With("error", err.Error())
		return x.reject(http.StatusBadRequest, "body_not_read", 0)
	}
	x.body.holder.Keep()
	return true
}

func (x *request) newBodyReader(limit int64) *bodyReader {
	now := driver.Now()
	r := &bodyReader{
		Reading: budget.Reading{Control: http.NewResponseController(x.w)}, x: x, source: http.MaxBytesReader(x.w, x.r.Body, limit),
		announced: x.r.ContentLength, limited: x.front.memory.budget.Limit() > 0,
	}
	address, _, _ := net.SplitHostPort(x.r.RemoteAddr)
	x.body.holder = x.front.memory.budget.NewHolder(now, membudget.Bodies, string(x.accountID()), address, r.Interrupt)
	r.Holder = x.body.holder
	r.extend(now)
	return r
}

// refuseUnread refuses a request whose body has not arrived. The deadline stays in the past,
// so that net/http does not wait for the rest of the body before it sends the response.
func (x *request) refuseUnread(r *bodyReader, status int, reason string, retryAfter time.Duration) bool {
	x.releaseBody()
	r.Expire()
	x.w.Header().Set("Connection", "close")
	return x.refuseBody(status, reason, retryAfter)
}

// refuseBody refuses a request because of its body. If the budget has a limit, such refusals
// are logged by reason and second, as many clients may cause them at the same time.
func (x *request) refuseBody(status int, reason string, retryAfter time.Duration) bool {
	if x.front.memory.budget.Limit() <= 0 {
		return x.reject(status, reason, retryAfter)
	}
	x.front.metrics.refused(reason)
	x.front.memory.countRefusal(reason)
	x.respond(status, retryAfter)
	return false
}

// extend sets the read deadline: that of the request, or that for progress if it is
// earlier.
func (r *bodyReader) extend(now proto.Instant) {
	due := r.x.deadline
	if r.limited {
		due = min(due, now.Add(bodyProgressTime))
	}
	r.progressDue = due
	r.SetDeadline(due.Sub(now))
}

// read reads the body to its end.
func (r *bodyReader) read() error {
	for {
		room, err := r.room()
		if err != nil {
			return err
		}
		n, err := r.source.Read(room)
		r.arrived(n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// arrived records that n bytes were read into the room.
func (r *bodyReader) arrived(n int) {
	b := &r.x.body
	if n == 0 || r.announced >= 0 && b.size >= r.announced {
		return
	}
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+n]
	b.size += int64(n)
	if now := driver.Now(); b.holder.Progress(now, n) && r.limited && now.Add(bodyProgressTime-progressStep) > r.progressDue {
		r.extend(now)
	}
}

// room returns the rest of the last segment, or a new one if it is full.
func (r *bodyReader) room() ([]byte, error) {
	b := &r.x.body
	if r.announced >= 0 && b.size >= r.announced {
		return r.last[:], nil
	}
	if n := len(b.segments); n > 0 {
		if last := b.segments[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	size := r.nextSegment()
	if !r.reserve(size) {
		return nil, errNoMemory
	}
	segment := make([]byte, 0, size)
	b.segments = append(b.segments, segment)
	return segment[:size], nil
}

// nextSegment returns the size of the next segment.
func (r *bodyReader) nextSegment() int64 {
	have := r.x.body.size
	if r.announced < 0 {
		// A body of unknown length at most doubles.
		return max(firstSegmentBytes, min(have, smallSegmentBytes))
	}
	size := int64(largeSegmentBytes)
	switch {
	case have == 0:
		size = firstSegmentBytes
	case have < firstReservation:
		size = firstReservation - have
	}
	return min(size, r.announced-have)
}

// reserve reserves memory for a segment, or for the whole rest of a body of announced length
// of which some has arrived. It waits for memory that others are told to release.
func (r *bodyReader) reserve(size int64) bool {
	need := r.x.body.size + size
	if need <= r.reserved {
		return true
	}
	if r.announced >= 0 && r.x.body.size >= firstReservation {
		need = r.announced
	}
	if !budget.Reserve(r.x.body.holder, need-r.reserved, r.x.front.memory.interrupt) {
		return false
	}
	r.reserved = need
	return true
}
