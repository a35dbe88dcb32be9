// Package auditlog reads the audit stream of the log service, exports it to
// files and verifies it.
package auditlog

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("auditlog")

const (
	// recordsPerRead is the maximum number of records in one read, about 2 MB when
	// full.
	recordsPerRead = 32
	// offsetBeyondHead is beyond any head: a read there returns only the bounds.
	offsetBeyondHead proto.Offset = 1 << 62
	// maxReadAttempts is the number of consecutive failed reads after which the
	// log is reported as unreachable, retryInterval the time between them.
	maxReadAttempts = 5
	retryInterval   = 500 * time.Millisecond
)

// Bounds is the range of offsets that a stream holds: First inclusive to Head
// exclusive.
type Bounds struct {
	First proto.Offset `json:"first"`
	Head  proto.Offset `json:"head"`
}

// Source yields the records of an audit stream in order. Read calls record for
// each and stops at its first error.
type Source interface {
	Bounds(ctx context.Context) (Bounds, error)
	Read(ctx context.Context, b Bounds, record func(proto.Record) error) error
}

// Log reads the audit stream from the log service.
type Log struct {
	client    *transport.LogClient
	responses chan proto.Envelope
	lastCall  uint64
}

// NewLog returns a reader of the log service at addr. The caller must close it.
func NewLog(client *transport.Client, addr string) *Log {
	l := &Log{responses: make(chan proto.Envelope, 1)}
	l.client = transport.NewLogClient(client, addr, transport.NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
		l.responses <- env
		return true
	})
	return l
}

// Close stops the reader. No read may be in progress.
func (l *Log) Close() error { return l.client.Stop() }

// Bounds implements Source.
func (l *Log) Bounds(ctx context.Context) (Bounds, error) {
	m, err := l.read(ctx, offsetBeyondHead, 1)
	return Bounds{First: m.First, Head: m.Head}, err
}

// Read implements Source. It fails if the log drops records before they are
// read, so that no gap goes unnoticed.
func (l *Log) Read(ctx context.Context, b Bounds, record func(proto.Record) error) error {
	for next := b.First; next < b.Head; {
		m, err := l.read(ctx, next, recordsPerRead)
		if err != nil {
			return err
		}
		if m.First > next {
			return Error.New("the log dropped offsets %d to %d while they were read; try again", next, m.First-1)
		}
		if len(m.Records) == 0 {
			return Error.New("the log has no record at offset %d, although its head is %d", next, m.Head)
		}
		for _, rec := range m.Records {
			if rec.Offset != next {
				return Error.New("the log sent offset %d in place of %d", rec.Offset, next)
			}
			if next >= b.Head {
				break
			}
			if err := record(rec); err != nil {
				return err
			}
			next++
		}
	}
	return nil
}

// UnreachableError reports that the log service did not respond.
type UnreachableError struct{ Detail string }

// Error implements error.
func (e *UnreachableError) Error() string { return "the log service did not answer: " + e.Detail }

// read reads up to limit records, with retries.
func (l *Log) read(ctx context.Context, from proto.Offset, limit int) (proto.LogRecords, error) {
	detail := ""
	for range maxReadAttempts {
		l.lastCall++
		l.client.Send(proto.Envelope{
			From: proto.Addr{Role: proto.RoleOperator}, To: proto.Log,
			Msg: proto.LogRead{Call: l.lastCall, Stream: proto.StreamAudit, From: from, Max: limit},
		})
		switch m := (<-l.responses).Msg.(type) {
		case proto.LogRecords:
			return m, nil
		case proto.LogFailed:
			detail = m.Detail
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return proto.LogRecords{}, &UnreachableError{Detail: detail}
		}
	}
	return proto.LogRecords{}, &UnreachableError{Detail: detail}
}
