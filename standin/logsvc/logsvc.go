// Package logsvc simulates the append-only log service for tests and development.
package logsvc

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// Outage is a failure mode of the service.
type Outage int

// Failure modes.
const (
	NoOutage Outage = iota
	// Refusing rejects every call.
	Refusing
	// Silent ignores every call: it has no effect and gets no response.
	Silent
)

// Config holds the limits and faults of the service.
type Config struct {
	Seed   uint64
	Faults faultqueue.Faults
	// AppendsPerSecond limits LogAppend calls; the burst is the limit of one second.
	// 0 means 500.
	AppendsPerSecond int
	// Retention is the age at which records expire; 0 means never.
	Retention time.Duration
	// MaxRecords is the maximum number of records retained per stream; 0 means no
	// limit.
	MaxRecords int
	// OnAppend, if set, is called for each appended record.
	OnAppend func(now proto.Instant, stream string, r proto.Record)
}

type stream struct {
	first   proto.Offset
	records []proto.Record
	times   []proto.Instant
}

// head returns the offset of the next record.
func (s *stream) head() proto.Offset { return s.first + proto.Offset(len(s.records)) }

// waiting is a read that waits for records until its deadline.
type waiting struct {
	from     proto.Addr
	read     proto.LogRead
	deadline proto.Instant
}

// Service simulates the log service. It implements proto.Machine.
type Service struct {
	cfg     Config
	out     *faultqueue.Queue
	now     proto.Instant
	outage  Outage
	streams map[string]*stream
	waiting []waiting
	// tokens is the level of the token bucket that limits appends.
	tokens float64
	// AppendCalls counts accepted LogAppend calls per stream.
	AppendCalls map[string]int
}

// New returns a service whose streams are all empty.
func New(cfg Config) *Service {
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = 500
	}
	return &Service{
		cfg:         cfg,
		out:         faultqueue.New(proto.Log, cfg.Seed, cfg.Faults),
		streams:     map[string]*stream{},
		tokens:      float64(cfg.AppendsPerSecond),
		AppendCalls: map[string]int{},
	}
}

// Queue returns the send queue, which injects the faults of responses.
func (s *Service) Queue() *faultqueue.Queue { return s.out }

// SetOutage sets the failure mode; NoOutage ends an outage.
func (s *Service) SetOutage(o Outage) { s.outage = o }

// Records returns the retained records of a stream.
func (s *Service) Records(name string) []proto.Record {
	return slices.Clone(s.stream(name).records)
}

// Seed appends a record for test setup, without rate limit or faults, and returns
// its offset.
func (s *Service) Seed(name string, r proto.Record) proto.Offset {
	return s.append(name, []proto.Record{r})
}

// KeepNewest removes all but the newest records of a stream, as retention does.
func (s *Service) KeepNewest(name string, records int) {
	st := s.stream(name)
	n := max(0, len(st.records)-records)
	st.first += proto.Offset(n)
	st.records = st.records[n:]
	st.times = st.times[n:]
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

// Step implements proto.Machine.
func (s *Service) Step(now proto.Instant, in proto.Envelope) {
	s.Tick(now)
	if s.outage == Silent {
		return
	}
	switch m := in.Msg.(type) {
	case proto.LogAppend:
		s.handleAppend(in.From, m)
	case proto.LogRead:
		s.handleRead(in.From, m)
	}
}

func (s *Service) handleAppend(from proto.Addr, m proto.LogAppend) {
	reject := func(detail string) {
		s.out.Send(s.now, from, proto.LogFailed{Call: m.Call, Stream: m.Stream, Rejected: true, Detail: detail})
	}
	switch {
	case s.outage == Refusing:
		reject("the log service is unavailable")
		return
	case s.out.ShouldRefuse():
		reject("the append was refused")
		return
	case m.Stream == "" || len(m.Records) == 0:
		reject("the append names no stream or has no records")
		return
	case s.tokens < 1:
		reject("too many appends per second")
		return
	}
	s.tokens--
	s.AppendCalls[m.Stream]++
	first := s.append(m.Stream, m.Records)
	if !s.out.NoResponse() {
		s.out.Send(s.now, from, proto.LogAppended{Call: m.Call, Stream: m.Stream, First: first})
	}
}

func (s *Service) append(name string, records []proto.Record) proto.Offset {
	st := s.stream(name)
	first := st.head()
	for _, r := range records {
		r.Offset = st.head()
		st.records = append(st.records, r)
		st.times = append(st.times, s.now)
		if s.cfg.OnAppend != nil {
			s.cfg.OnAppend(s.now, name, r)
		}
	}
	s.expire(st)
	s.completeReads(name)
	return first
}

func (s *Service) handleRead(from proto.Addr, m proto.LogRead) {
	if s.outage == Refusing || s.out.ShouldRefuse() {
		s.out.Send(s.now, from, proto.LogFailed{Call: m.Call, Stream: m.Stream, Rejected: true, Detail: "the log service is unavailable"})
		return
	}
	if m.Wait > 0 && m.From >= s.stream(m.Stream).head() {
		s.waiting = append(s.waiting, waiting{from: from, read: m, deadline: s.now.Add(m.Wait)})
		return
	}
	s.sendRecords(from, m)
}

// sendRecords responds to a read with up to m.Max retained records from m.From on.
func (s *Service) sendRecords(to proto.Addr, m proto.LogRead) {
	st := s.stream(m.Stream)
	from := min(max(m.From, st.first), st.head())
	records := st.records[from-st.first:]
	if m.Max > 0 && len(records) > m.Max {
		records = records[:m.Max]
	}
	s.out.Send(s.now, to, proto.LogRecords{
		Call: m.Call, Stream: m.Stream, First: st.first, Head: st.head(), Records: slices.Clone(records),
	})
}

// completeReads responds to the waiting reads for which records have arrived.
func (s *Service) completeReads(name string) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		if w.read.Stream != name || w.read.From >= s.stream(name).head() {
			return false
		}
		s.sendRecords(w.from, w.read)
		return true
	})
}

// expire removes the records beyond MaxRecords and those older than Retention.
// Offsets of the other records do not change.
func (s *Service) expire(st *stream) {
	n := 0
	if s.cfg.MaxRecords > 0 {
		n = max(0, len(st.records)-s.cfg.MaxRecords)
	}
	for s.cfg.Retention > 0 && n < len(st.records) && s.now.Sub(st.times[n]) > s.cfg.Retention {
		n++
	}
	st.first += proto.Offset(n)
	st.records = st.records[n:]
	st.times = st.times[n:]
}

// Tick implements proto.Machine.
func (s *Service) Tick(now proto.Instant) {
	elapsed := max(0, now.Sub(s.now))
	s.now = max(s.now, now)
	bound := float64(s.cfg.AppendsPerSecond)
	s.tokens = min(bound, s.tokens+bound*elapsed.Seconds())
	for _, st := range s.streams {
		s.expire(st)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		if s.now.Before(w.deadline) {
			return false
		}
		if s.outage == NoOutage {
			s.sendRecords(w.from, w.read)
		}
		return true
	})
}

// Wake implements proto.Machine.
func (s *Service) Wake() proto.Instant {
	wake := s.out.Wake()
	for _, w := range s.waiting {
		wake = min(wake, w.deadline)
	}
	return wake
}

// Take implements proto.Machine.
func (s *Service) Take() []proto.Envelope { return s.out.TakeDue(s.now) }
