// Package intent decides whether a call that may not be repeated may run. It
// folds the intents and outcomes of the intent-N streams. A Table belongs to
// a router's control machine, contains no I/O and is not safe for concurrent use.
package intent

import (
	"slices"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("intent")

const (
	// DefaultRetention is how long the log keeps the intent streams at least.
	DefaultRetention = time.Hour
	// decisionTimeout is below the exchange's own limit of 4 s, so that the
	// table normally answers first.
	decisionTimeout = 3500 * time.Millisecond
	retryAfter      = 2 * time.Second
	maxWaiters      = 2048
	pruneInterval   = time.Minute
	// defaultMaxKeys and defaultMaxBytes bound memory; see docs/decisions/at-most-once.md.
	defaultMaxKeys  = 100_000
	defaultMaxBytes = 4 << 20
)

// Log is the part of the log client that a Table uses.
type Log interface {
	Append(now proto.Instant, stream string, kind proto.RecordKind, body any) (proto.RecordID, error)
	SetDeadline(id proto.RecordID, at proto.Instant)
	Abandon(id proto.RecordID)
	Follow(stream string, from proto.Offset)
	NextOffset(stream string) proto.Offset
	HeadReadAt(stream string) (proto.Instant, bool)
	Reachable(now proto.Instant) bool
}

// Config holds the settings of a Table.
type Config struct {
	// Self is the router's address; Router names this life of the router.
	Self   proto.Addr
	Router proto.RouterID
	// Shards is the number of intent streams. A Table keeps it for its life.
	Shards int
	// Retention is how long the log keeps a record at least; 0 means DefaultRetention.
	Retention time.Duration
	// MaxKeys is the number of keys above which new ones are refused, MaxBytes
	// the size of recorded answers above which only their verdict is kept.
	// 0 means the default.
	MaxKeys, MaxBytes int
	Checks            *check.Monitor
}

// DuplicateWindow returns the age up to which a repeated key is recognised. The rest
// of the retention covers clocks that differ and reads that lag.
func (c Config) DuplicateWindow() time.Duration { return c.Retention * 3 / 4 }

// Counters count what a Table did.
type Counters struct {
	Granted, Duplicate, Replayed, Refused, LateIntents, Malformed, Gaps, ResponsesDropped int64
}

// waiter is a request that waits for the decision on its key.
type waiter struct {
	request     proto.RequestID
	fingerprint proto.Fingerprint
	until       proto.Instant
}

// pendingIntent is an intent that was appended and is not decided.
type pendingIntent struct {
	id      proto.RecordID
	key     string
	seq     uint64
	shard   *shard
	waiters []waiter
}

// grant is an intent that won and that its request may act on.
type grant struct {
	intent proto.Intent
	since  proto.Instant
}

// Table decides the intents of one router.
type Table struct {
	proto.Outbox
	cfg         Config
	log         Log
	routers     []proto.RouterID
	shards      map[string]*shard
	followed    []*shard
	pending     map[string]*pendingIntent
	byID        map[proto.RecordID]*pendingIntent
	waiterCount int
	// nextExpiry is the earliest end of a wait, or earlier; pruneAt is when
	// grants are looked through next.
	nextExpiry    proto.Instant
	nextPrune     proto.Instant
	grants        map[proto.RequestID]grant
	responseBytes int
	counters      Counters
	faults        faults
}

// faults switch single rules off, for the tests of the checks.
type faults struct{ skipIntent, decideEarly, trustLate bool }

// New returns a Table that follows no stream until SetRouters.
func New(cfg Config, log Log) *Table {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxKeys == 0 {
		cfg.MaxKeys = defaultMaxKeys
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	cfg.Shards = max(cfg.Shards, 1)
	return &Table{
		Outbox: proto.NewOutbox(cfg.Self), cfg: cfg, log: log,
		shards: map[string]*shard{}, pending: map[string]*pendingIntent{},
		byID: map[proto.RecordID]*pendingIntent{}, grants: map[proto.RequestID]grant{}, nextExpiry: proto.Never,
	}
}

// SetRouters sets the live routers, with this one. A stream that is followed
// once stays followed for the life of the router.
func (t *Table) SetRouters(routers []proto.RouterID) {
	t.routers = slices.Clone(routers)
	for i := range t.cfg.Shards {
		name := proto.StreamIntentPrefix + strconv.Itoa(i)
		if t.shards[name] != nil || !slices.Contains(Followers(name, routers), t.cfg.Router) {
			continue
		}
		t.shards[name] = newShard(name)
		t.followed = append(t.followed, t.shards[name])
		t.log.Follow(name, 0)
	}
}

// Counters returns the counters.
func (t *Table) Counters() Counters { return t.counters }

// Size returns the number of keys and the bytes of recorded answers in memory.
func (t *Table) Size() (keys, responseBytes int) {
	for _, s := range t.followed {
		keys += len(s.keys)
	}
	return keys, t.responseBytes
}

// Ready reports whether the routers are known and every followed stream was
// read to its head once.
func (t *Table) Ready() bool {
	for _, s := range t.followed {
		if !t.ready(s) {
			return false
		}
	}
	return len(t.routers) > 0
}

func (t *Table) ready(s *shard) bool {
	_, read := t.log.HeadReadAt(s.name)
	return read && t.log.NextOffset(s.name) <= s.folded
}

// HandleWanted takes an exchange's request for an intent. An IntentDecided follows.
func (t *Table) HandleWanted(now proto.Instant, m proto.IntentWanted) {
	if m.KeyAge > t.cfg.DuplicateWindow() {
		t.refuse(m.Request, proto.CauseKeyTooOld, 0)
		return
	}
	s := t.shards[StreamOf(m.Key, t.cfg.Shards)]
	if s == nil {
		t.forward(m)
		return
	}
	if k := s.keys[m.Key]; k != nil && !k.allowsRetry(m.Fingerprint) {
		t.replay(m.Request, m.Fingerprint, k)
		return
	}
	t.requestIntent(now, s, m)
}

// forward names a follower of the key's stream. The router itself is not one.
func (t *Table) forward(m proto.IntentWanted) {
	for _, r := range Followers(StreamOf(m.Key, t.cfg.Shards), t.routers) {
		if r != t.cfg.Router {
			t.decide(proto.IntentDecided{Request: m.Request, Verdict: proto.NotRun, ForwardTo: r})
			return
		}
	}
	t.refuse(m.Request, proto.CauseNotReady, retryAfter)
}

func (t *Table) requestIntent(now proto.Instant, s *shard, m proto.IntentWanted) {
	keys, _ := t.Size()
	w := waiter{request: m.Request, fingerprint: m.Fingerprint, until: now.Add(decisionTimeout)}
	t.nextExpiry = min(t.nextExpiry, w.until)
	switch c := t.pending[m.Key]; {
	case !t.ready(s):
		t.refuse(m.Request, proto.CauseNotReady, retryAfter)
	case !t.log.Reachable(now):
		t.refuse(m.Request, proto.CauseLogUnavailable, retryAfter)
	case keys >= t.cfg.MaxKeys || t.waiterCount >= maxWaiters:
		t.refuse(m.Request, proto.CauseOverload, retryAfter)
	case t.faults.skipIntent:
		t.grant(now, proto.Intent{Stream: s.name, Key: m.Key}, m.Request)
	case c != nil:
		c.waiters = append(c.waiters, w)
		t.waiterCount++
	default:
		t.append(now, s, m, w)
	}
}

func (t *Table) append(now proto.Instant, s *shard, m proto.IntentWanted, w waiter) {
	rec := Record{Key: m.Key, Fingerprint: m.Fingerprint, Router: t.cfg.Router, Seq: s.seq + 1}
	id, err := t.log.Append(now, s.name, KindIntent, rec)
	if err != nil {
		t.refuse(m.Request, proto.CauseLogUnavailable, retryAfter)
		return
	}
	s.seq++
	c := &pendingIntent{id: id, key: m.Key, seq: s.seq, shard: s, waiters: []waiter{w}}
	t.pending[m.Key], t.byID[id] = c, c
	t.waiterCount++
}

// Event takes an event of the log client. The owner passes every event of an
// intent stream, in order, before it calls another method.
func (t *Table) Event(now proto.Instant, ev ledger.Event) {
	s := t.shards[ev.Stream]
	if s == nil {
		return
	}
	switch ev.Kind {
	case ledger.EventRecord:
		t.handleRecord(now, s, ev)
	case ledger.EventGap:
		t.counters.Gaps++
		s.skipGap(ev.Offset)
	case ledger.EventConfirmed:
		t.handleConfirmation(now, s, ev)
	case ledger.EventAbsent, ledger.EventRefused, ledger.EventUnknown:
		t.failPending(t.byID[ev.ID])
	}
}

func (t *Table) handleRecord(now proto.Instant, s *shard, ev ledger.Event) {
	s.folded = max(s.folded, ev.Offset+1)
	switch ev.Record.Kind {
	case KindIntent:
		r, err := decode[Record](ev.Record.Body)
		if err != nil || r.Key == "" {
			t.counters.Malformed++
			return
		}
		won := s.foldIntent(now, ev.Offset, r)
		if r.Router == t.cfg.Router {
			t.handleOwnIntent(now, s, ev.Offset, r, won)
		}
	case KindOutcome:
		o, err := decode[Outcome](ev.Record.Body)
		if err != nil || o.Key == "" {
			t.counters.Malformed++
			return
		}
		t.handleOutcome(now, s, o)
	default:
		t.counters.Malformed++
	}
}

func (t *Table) handleOutcome(now proto.Instant, s *shard, o Outcome) {
	before := 0
	if k := s.keys[o.Key]; k != nil {
		before = k.responseBytes()
	}
	contradiction := s.foldOutcome(now, o)
	t.cfg.Checks.Check(check.TrueNotRun, !contradiction, func() string {
		return "the call of intent " + s.name + "/" + strconv.FormatInt(int64(o.Intent), 10) + " ran after a recorded not_run"
	})
	if k := s.keys[o.Key]; k != nil {
		t.responseBytes += k.responseBytes() - before
		for t.responseBytes > t.cfg.MaxBytes && s.withoutResponse < len(s.expiryQueue) {
			t.responseBytes -= s.dropOldestResponse()
			t.counters.ResponsesDropped++
		}
	}
}

// handleOwnIntent decides the claim of a record that this router appended, which it has
// now read. A record without a claim was refused before: nothing is
// dispatched for it, and the key is freed for another attempt.
func (t *Table) handleOwnIntent(now proto.Instant, s *shard, at proto.Offset, r Record, won bool) {
	intent := proto.Intent{Stream: s.name, Offset: at, Key: r.Key}
	c := t.pending[r.Key]
	switch {
	case c != nil && (won || c.seq == r.Seq):
		// A late record of an earlier claim serves the requests that wait now.
		t.resolve(now, s, c, intent, won)
		if c.seq != r.Seq {
			t.log.Abandon(c.id)
		}
	case won:
		t.counters.LateIntents++
		t.freeKey(now, s, intent)
	}
}

func (t *Table) resolve(now proto.Instant, s *shard, c *pendingIntent, intent proto.Intent, won bool) {
	t.removePending(c)
	k := s.keys[c.key]
	granted := false
	for _, w := range c.waiters {
		switch {
		case won && !granted && k.sameContent(w.fingerprint):
			granted = true
			t.grant(now, intent, w.request)
		case k == nil || k.allowsRetry(w.fingerprint):
			t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
		default:
			t.replay(w.request, w.fingerprint, k)
		}
	}
	if won && !granted {
		t.freeKey(now, s, intent)
	}
}

// handleConfirmation handles a record of this router that retention removed before it
// was read. Otherwise the decision waits until the record itself is read.
func (t *Table) handleConfirmation(now proto.Instant, s *shard, ev ledger.Event) {
	c := t.byID[ev.ID]
	if c == nil {
		return
	}
	intent := proto.Intent{Stream: s.name, Offset: ev.Offset, Key: c.key}
	if t.faults.decideEarly {
		t.removePending(c)
		t.grant(now, intent, c.waiters[0].request)
		return
	}
	if ev.Offset < s.folded {
		t.failPending(c)
		t.freeKey(now, s, intent)
	}
}

func (t *Table) grant(now proto.Instant, intent proto.Intent, request proto.RequestID) {
	t.counters.Granted++
	t.grants[request] = grant{intent: intent, since: now}
	t.decide(proto.IntentDecided{Request: request, Intent: &intent, Verdict: proto.NotRun})
}

// replay tells a repeated key what became of the first call.
func (t *Table) replay(request proto.RequestID, f proto.Fingerprint, k *keyState) {
	d := proto.IntentDecided{Request: request, Cause: proto.CauseDuplicate, Verdict: proto.MayHaveRun, RetryAfter: retryAfter}
	switch {
	case !k.sameContent(f):
		t.refuse(request, proto.CauseKeyReused, 0)
		return
	case k.ended && k.verdict == proto.Ran && k.replay != nil:
		d = proto.IntentDecided{Request: request, Verdict: proto.Ran, Outcome: &proto.CallerFinish{
			Request: request, Status: k.replay.Status, ContentType: k.replay.ContentType,
			Body: k.replay.Body, Usage: k.replay.Usage, Replayed: true,
		}}
		t.counters.Replayed++
	case k.ended && k.verdict == proto.Ran:
		d.Verdict, d.RetryAfter = proto.Ran, 0
	}
	t.counters.Duplicate++
	t.decide(d)
}

func (t *Table) refuse(request proto.RequestID, cause proto.Cause, after time.Duration) {
	t.counters.Refused++
	t.decide(proto.IntentDecided{Request: request, Cause: cause, Verdict: proto.NotRun, RetryAfter: after})
}

func (t *Table) decide(d proto.IntentDecided) { t.Send(t.cfg.Self, d) }

// failPending ends a claim without a decision of the log. Nothing was dispatched.
func (t *Table) failPending(c *pendingIntent) {
	if c == nil {
		return
	}
	t.removePending(c)
	for _, w := range c.waiters {
		t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
	}
}

func (t *Table) removePending(c *pendingIntent) {
	if t.pending[c.key] == c {
		delete(t.pending, c.key)
	}
	delete(t.byID, c.id)
	t.waiterCount -= len(c.waiters)
}

// freeKey records that the call of an intent did not run, so that the key may
// be used again.
func (t *Table) freeKey(now proto.Instant, s *shard, intent proto.Intent) {
	if t.faults.trustLate {
		t.grant(now, intent, proto.RequestID("late-"+intent.Key))
		return
	}
	t.appendOutcome(now, s, Outcome{Key: intent.Key, Intent: intent.Offset, Verdict: proto.NotRun}, now)
}

// appendOutcome logs an outcome. A not_run must not enter the log when other
// routers may have forgotten the intent, hence the deadline.
func (t *Table) appendOutcome(now proto.Instant, s *shard, o Outcome, since proto.Instant) {
	limit := since.Add(t.cfg.DuplicateWindow() / 2)
	if !now.Before(limit) {
		return
	}
	o.Router, o.Seq = t.cfg.Router, s.seq+1
	id, err := t.log.Append(now, s.name, KindOutcome, o)
	if err != nil {
		return // the intent stays without an outcome, which is true
	}
	s.seq++
	t.log.SetDeadline(id, limit)
}
