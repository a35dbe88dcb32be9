// Package intent decides whether a call that may run at most once may run now.
// It applies the intent and outcome records of the intent-N streams. A Table is
// part of a router's control machine, performs no I/O and is not safe for
// concurrent use.
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
	// DefaultRetention is the minimum time for which the log keeps the records
	// of the intent streams.
	DefaultRetention = time.Hour
	// decisionTimeout is shorter than the exchange's own limit of 4 s, so that
	// the table normally decides before the exchange gives up.
	decisionTimeout = 3500 * time.Millisecond
	// retryAfter is the time after which a refused request may be sent again.
	retryAfter = 2 * time.Second
	// maxWaiters is the maximum number of requests that wait for a decision.
	maxWaiters = 2048
	// pruneInterval is the time between two removals of outdated grants.
	pruneInterval = time.Minute
	// defaultMaxKeys and defaultMaxBytes limit memory; see docs/decisions/at-most-once.md.
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
	// Self is the router's address, Router the ID of this incarnation of it.
	Self   proto.Addr
	Router proto.RouterID
	// Shards is the number of intent streams. It is fixed for the lifetime of a
	// Table.
	Shards int
	// Retention is the minimum time for which the log keeps a record; 0 means
	// DefaultRetention.
	Retention time.Duration
	// MaxKeys is the number of keys from which on new keys are refused. MaxBytes
	// is the total size of recorded responses above which the oldest are dropped
	// and only their verdict is kept. 0 means the default.
	MaxKeys, MaxBytes int
	Checks            *check.Monitor
}

// DuplicateWindow returns the age up to which a repeated key is recognised. It is
// shorter than the retention to allow for clocks that differ and reads that lag.
func (c Config) DuplicateWindow() time.Duration { return c.Retention * 3 / 4 }

// Counters counts the decisions of a Table and the records it has read.
// LateIntents counts intents of this router that were read after their requests
// had been refused.
type Counters struct {
	Granted, Duplicate, Replayed, Refused, LateIntents, Malformed, Gaps, ResponsesDropped int64
}

// waiter is a request that waits for the decision on its key until a deadline.
type waiter struct {
	request     proto.RequestID
	fingerprint proto.Fingerprint
	until       proto.Instant
}

// pendingIntent is an intent that was appended and is not decided yet.
type pendingIntent struct {
	id      proto.RecordID
	key     string
	seq     uint64
	shard   *shard
	waiters []waiter
}

// grant is an intent that won its key and permits a request to be dispatched.
type grant struct {
	intent proto.Intent
	since  proto.Instant
}

// Table decides the intents of the requests of one router.
type Table struct {
	proto.Outbox
	cfg     Config
	log     Log
	routers []proto.RouterID
	// shards holds the followed streams by name, followed the same in order.
	shards   map[string]*shard
	followed []*shard
	// pending holds the undecided intents by key, byID by record.
	pending map[string]*pendingIntent
	byID    map[proto.RecordID]*pendingIntent
	// waiterCount is the number of waiters of all pending intents.
	waiterCount int
	// nextExpiry is at or before the earliest deadline of a waiter. nextPrune is
	// when outdated grants are removed next.
	nextExpiry proto.Instant
	nextPrune  proto.Instant
	grants     map[proto.RequestID]grant
	// responseBytes is the total size of the recorded responses in memory.
	responseBytes int
	counters      Counters
	faults        faults
}

// faults disable single rules, to test that the race test detects their absence.
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

// SetRouters sets the live routers, including this one. Once the router follows a
// stream, it follows it until the process ends.
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

// Counters returns a copy of the counters.
func (t *Table) Counters() Counters { return t.counters }

// Size returns the number of keys and the bytes of recorded responses in memory.
func (t *Table) Size() (keys, responseBytes int) {
	for _, s := range t.followed {
		keys += len(s.keys)
	}
	return keys, t.responseBytes
}

// Ready reports whether the routers are known and every followed stream has been
// read to its head.
func (t *Table) Ready() bool {
	for _, s := range t.followed {
		if !t.ready(s) {
			return false
		}
	}
	return len(t.routers) > 0
}

// ready reports whether a stream has been read to its head and all records that
// were read are applied.
func (t *Table) ready(s *shard) bool {
	_, read := t.log.HeadReadAt(s.name)
	return read && t.log.NextOffset(s.name) <= s.applied
}

// HandleWanted handles an exchange's request for an intent. The table replies with
// an IntentDecided message, at once or later.
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

// forward tells the exchange which router follows the key's stream, since this
// router does not.
func (t *Table) forward(m proto.IntentWanted) {
	for _, r := range Followers(StreamOf(m.Key, t.cfg.Shards), t.routers) {
		if r != t.cfg.Router {
			t.decide(proto.IntentDecided{Request: m.Request, Verdict: proto.NotRun, ForwardTo: r})
			return
		}
	}
	t.refuse(m.Request, proto.CauseNotReady, retryAfter)
}

// requestIntent appends an intent for a request, adds the request to a pending
// intent of the same key, or refuses it.
func (t *Table) requestIntent(now proto.Instant, s *shard, m proto.IntentWanted) {
	keys, _ := t.Size()
	w := waiter{request: m.Request, fingerprint: m.Fingerprint, until: now.Add(decisionTimeout)}
	t.nextExpiry = min(t.nextExpiry, w.until)
	switch p := t.pending[m.Key]; {
	case !t.ready(s):
		t.refuse(m.Request, proto.CauseNotReady, retryAfter)
	case !t.log.Reachable(now):
		t.refuse(m.Request, proto.CauseLogUnavailable, retryAfter)
	case keys >= t.cfg.MaxKeys || t.waiterCount >= maxWaiters:
		t.refuse(m.Request, proto.CauseOverload, retryAfter)
	case t.faults.skipIntent:
		t.grant(now, proto.Intent{Stream: s.name, Key: m.Key}, m.Request)
	case p != nil:
		p.waiters = append(p.waiters, w)
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
	p := &pendingIntent{id: id, key: m.Key, seq: s.seq, shard: s, waiters: []waiter{w}}
	t.pending[m.Key], t.byID[id] = p, p
	t.waiterCount++
}

// Event handles an event of the log client. The owner must pass every event of an
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
	s.applied = max(s.applied, ev.Offset+1)
	switch ev.Record.Kind {
	case KindIntent:
		r, err := decode[Record](ev.Record.Body)
		if err != nil || r.Key == "" {
			t.counters.Malformed++
			return
		}
		won := s.applyIntent(now, ev.Offset, r)
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
	contradiction := s.applyOutcome(now, o)
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

// handleOwnIntent decides the pending intent of a record that this router appended
// and has now read. If there is none, its requests were already refused: nothing
// is dispatched, and the key is freed for another attempt.
func (t *Table) handleOwnIntent(now proto.Instant, s *shard, at proto.Offset, r Record, won bool) {
	intent := proto.Intent{Stream: s.name, Offset: at, Key: r.Key}
	p := t.pending[r.Key]
	switch {
	case p != nil && (won || p.seq == r.Seq):
		// A late record of an earlier intent for the same key also decides the
		// requests that wait now.
		t.resolve(now, s, p, intent, won)
		if p.seq != r.Seq {
			t.log.Abandon(p.id)
		}
	case won:
		t.counters.LateIntents++
		t.freeKey(now, s, intent)
	}
}

// resolve decides the waiters of a pending intent. If the intent won the key, one
// of them is granted it; the others are treated as duplicates.
func (t *Table) resolve(now proto.Instant, s *shard, p *pendingIntent, intent proto.Intent, won bool) {
	t.removePending(p)
	k := s.keys[p.key]
	granted := false
	for _, w := range p.waiters {
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

// handleConfirmation handles the confirmation of an append by this router. The
// intent is decided when the record itself is read, unless retention removed the
// record before that.
func (t *Table) handleConfirmation(now proto.Instant, s *shard, ev ledger.Event) {
	p := t.byID[ev.ID]
	if p == nil {
		return
	}
	intent := proto.Intent{Stream: s.name, Offset: ev.Offset, Key: p.key}
	if t.faults.decideEarly {
		t.removePending(p)
		t.grant(now, intent, p.waiters[0].request)
		return
	}
	if ev.Offset < s.applied {
		t.failPending(p)
		t.freeKey(now, s, intent)
	}
}

func (t *Table) grant(now proto.Instant, intent proto.Intent, request proto.RequestID) {
	t.counters.Granted++
	t.grants[request] = grant{intent: intent, since: now}
	t.decide(proto.IntentDecided{Request: request, Intent: &intent, Verdict: proto.NotRun})
}

// replay answers a request whose key was used before with the outcome of the first
// call.
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

// failPending refuses the waiters of an intent that the log did not decide.
// Nothing was dispatched for them.
func (t *Table) failPending(p *pendingIntent) {
	if p == nil {
		return
	}
	t.removePending(p)
	for _, w := range p.waiters {
		t.refuse(w.request, proto.CauseLogUnavailable, retryAfter)
	}
}

func (t *Table) removePending(p *pendingIntent) {
	if t.pending[p.key] == p {
		delete(t.pending, p.key)
	}
	delete(t.byID, p.id)
	t.waiterCount -= len(p.waiters)
}

// freeKey records that the call of an intent did not run, so that the key can be
// used again.
func (t *Table) freeKey(now proto.Instant, s *shard, intent proto.Intent) {
	if t.faults.trustLate {
		t.grant(now, intent, proto.RequestID("late-"+intent.Key))
		return
	}
	t.appendOutcome(now, s, Outcome{Key: intent.Key, Intent: intent.Offset, Verdict: proto.NotRun}, now)
}

// appendOutcome appends an outcome to the log. The append has a deadline, since a
// not_run must not enter the log after other routers may have evicted the intent.
func (t *Table) appendOutcome(now proto.Instant, s *shard, o Outcome, since proto.Instant) {
	limit := since.Add(t.cfg.DuplicateWindow() / 2)
	if !now.Before(limit) {
		return
	}
	o.Router, o.Seq = t.cfg.Router, s.seq+1
	id, err := t.log.Append(now, s.name, KindOutcome, o)
	if err != nil {
		return // without an outcome, the intent stays at may_have_run
	}
	s.seq++
	t.log.SetDeadline(id, limit)
}
