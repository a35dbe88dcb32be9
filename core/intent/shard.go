package intent

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// keyState is the state of one key according to the log.
type keyState struct {
	// intent is the offset of the intent that won the key.
	intent proto.Offset
	// fingerprint is empty if retention removed the intent record.
	fingerprint proto.Fingerprint
	// seenAt is when this router read the intent.
	seenAt proto.Instant
	// ended is set once the outcome of the intent is recorded.
	ended   bool
	verdict proto.Verdict
	// replay is the recorded response; nil if there is none or it was dropped.
	replay *Response
}

// expiryEntry is an entry of the queue of keys in the order in which their intents
// were read.
type expiryEntry struct {
	key    string
	intent proto.Offset
	seenAt proto.Instant
}

// writer is the last record of one router on a stream.
type writer struct {
	seq    uint64
	seenAt proto.Instant
}

// shard is the state of one intent stream. Which intents win depends only on the
// records of the stream; clocks only decide when state is evicted.
type shard struct {
	name string
	// applied is the offset after the last record that was applied.
	applied     proto.Offset
	keys        map[string]*keyState
	expiryQueue []expiryEntry
	// withoutResponse is the number of entries at the front of expiryQueue whose
	// responses were dropped.
	withoutResponse int
	writers         map[proto.RouterID]writer
	// seq is the sequence number of the last record that this router appended.
	seq uint64
}

func newShard(name string) *shard {
	return &shard{name: name, keys: map[string]*keyState{}, writers: map[proto.RouterID]writer{}}
}

// isDuplicate reports whether a record is the second copy of a retried append, or
// an abandoned append that reached the log after a later one. The log client
// appends one batch at a time, in order, so the sequence numbers of the first
// copies of records that were not abandoned increase.
func (s *shard) isDuplicate(now proto.Instant, r proto.RouterID, seq uint64) bool {
	w := s.writers[r]
	if seq <= w.seq {
		return true
	}
	s.writers[r] = writer{seq: seq, seenAt: now}
	return false
}

// applyIntent applies the intent record at an offset and reports whether it wins
// its key.
func (s *shard) applyIntent(now proto.Instant, at proto.Offset, r Record) bool {
	if s.isDuplicate(now, r.Router, r.Seq) {
		return false
	}
	k := s.keys[r.Key]
	if k != nil && !k.allowsRetry(r.Fingerprint) {
		return false
	}
	s.keys[r.Key] = &keyState{intent: at, fingerprint: r.Fingerprint, seenAt: now}
	s.expiryQueue = append(s.expiryQueue, expiryEntry{key: r.Key, intent: at, seenAt: now})
	return true
}

// allowsRetry reports whether a later intent with this fingerprint may supersede
// the current one.
func (k *keyState) allowsRetry(f proto.Fingerprint) bool {
	return k.ended && k.verdict == proto.NotRun && k.sameContent(f)
}

// sameContent reports whether a fingerprint matches the key's first request, or
// that request's fingerprint is not known any more.
func (k *keyState) sameContent(f proto.Fingerprint) bool {
	return k.fingerprint == "" || k.fingerprint == f
}

// applyOutcome applies an outcome record. An outcome of an intent that does not
// hold its key has no effect. applyOutcome returns true if the call ran although
// a not_run was recorded for it.
func (s *shard) applyOutcome(now proto.Instant, o Outcome) (contradiction bool) {
	if s.isDuplicate(now, o.Router, o.Seq) {
		return false
	}
	k := s.keys[o.Key]
	if k == nil {
		if o.Verdict == proto.NotRun {
			return false
		}
		// Retention has removed the intent but not its outcome yet.
		k = &keyState{intent: o.Intent, seenAt: now}
		s.keys[o.Key] = k
		s.expiryQueue = append(s.expiryQueue, expiryEntry{key: o.Key, intent: o.Intent, seenAt: now})
	}
	if k.intent != o.Intent || k.ended && k.verdict == proto.Ran {
		return false
	}
	contradiction = k.ended && k.verdict == proto.NotRun && o.Verdict == proto.Ran
	k.ended, k.verdict, k.replay = true, o.Verdict, o.Response
	return contradiction
}

// skipGap handles records that retention removed before this router read them. An
// intent among them may have superseded one that is recorded as not_run here, so
// no recorded not_run can be relied on any more.
func (s *shard) skipGap(to proto.Offset) {
	s.applied = max(s.applied, to)
	for _, k := range s.keys {
		if k.ended && k.verdict == proto.NotRun {
			k.ended = false
		}
	}
}

// evictExpired removes keys older than the retention and returns the bytes of the
// responses freed. Writers are kept for twice the retention.
func (s *shard) evictExpired(now proto.Instant, retention time.Duration) (freed int) {
	n := 0
	for n < len(s.expiryQueue) && now.Sub(s.expiryQueue[n].seenAt) >= retention {
		e := s.expiryQueue[n]
		if k := s.keys[e.key]; k != nil && k.intent == e.intent {
			freed += k.responseBytes()
			delete(s.keys, e.key)
		}
		n++
	}
	if n == 0 {
		return 0
	}
	s.expiryQueue = slices.Clone(s.expiryQueue[n:])
	s.withoutResponse = max(0, s.withoutResponse-n)
	for r, w := range s.writers {
		if now.Sub(w.seenAt) >= 2*retention {
			delete(s.writers, r)
		}
	}
	return freed
}

// dropOldestResponse drops the response of the oldest key that still has one,
// keeps its verdict, and returns the bytes freed.
func (s *shard) dropOldestResponse() (freed int) {
	e := s.expiryQueue[s.withoutResponse]
	s.withoutResponse++
	if k := s.keys[e.key]; k != nil && k.intent == e.intent {
		freed = k.responseBytes()
		k.replay = nil
	}
	return freed
}

func (k *keyState) responseBytes() int {
	if k.replay == nil {
		return 0
	}
	return len(k.replay.Body) + len(k.replay.ContentType)
}

func decode[T any](body json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, Error.Wrap(err)
}
