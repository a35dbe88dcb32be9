package intent

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// keyState is what the log says about one key.
type keyState struct {
	// intent is the offset of the intent in force.
	intent proto.Offset
	// fingerprint is empty if retention removed the intent record.
	fingerprint proto.Fingerprint
	seenAt      proto.Instant
	// ended is set once an outcome is recorded.
	ended   bool
	verdict proto.Verdict
	replay  *Response
}

// expiryEntry orders the state of keys by the instant at which an intent was read.
type expiryEntry struct {
	key    string
	intent proto.Offset
	seenAt proto.Instant
}

type writer struct {
	seq    uint64
	seenAt proto.Instant
}

// shard is the fold of one intent stream. Which intents win is a function of
// the records of the stream alone; clocks only decide what is forgotten.
type shard struct {
	name string
	// folded is the offset after the last record that was folded.
	folded      proto.Offset
	keys        map[string]*keyState
	expiryQueue []expiryEntry
	// withoutResponse is the number of leading marks whose answers were dropped.
	withoutResponse int
	writers         map[proto.RouterID]writer
	// seq is the number of the last record that this router appended.
	seq uint64
}

func newShard(name string) *shard {
	return &shard{name: name, keys: map[string]*keyState{}, writers: map[proto.RouterID]writer{}}
}

// isDuplicate reports whether a record is the second copy of a repeated append, or
// an abandoned append that arrives after a later one. The log client appends
// one batch at a time in order, so the first copies of records that were not
// abandoned have rising numbers.
func (s *shard) isDuplicate(now proto.Instant, r proto.RouterID, seq uint64) bool {
	w := s.writers[r]
	if seq <= w.seq {
		return true
	}
	s.writers[r] = writer{seq: seq, seenAt: now}
	return false
}

// foldIntent reports whether the intent at this offset wins its key.
func (s *shard) foldIntent(now proto.Instant, at proto.Offset, r Record) bool {
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

// allowsRetry reports whether a later intent supersedes this one.
func (k *keyState) allowsRetry(f proto.Fingerprint) bool {
	return k.ended && k.verdict == proto.NotRun && k.sameContent(f)
}

func (k *keyState) sameContent(f proto.Fingerprint) bool {
	return k.fingerprint == "" || k.fingerprint == f
}

// foldOutcome records how an intent ended. An outcome of an intent that is
// not in force changes nothing. It reports whether a recorded not_run turned
// out to be false.
func (s *shard) foldOutcome(now proto.Instant, o Outcome) (contradiction bool) {
	if s.isDuplicate(now, o.Router, o.Seq) {
		return false
	}
	k := s.keys[o.Key]
	if k == nil {
		if o.Verdict == proto.NotRun {
			return false
		}
		// Retention removed the intent but not yet its outcome.
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

// skipGap handles records that retention removed unread. They may have held an
// intent that superseded one which is known as not_run here.
func (s *shard) skipGap(to proto.Offset) {
	s.folded = max(s.folded, to)
	for _, k := range s.keys {
		if k.ended && k.verdict == proto.NotRun {
			k.ended = false
		}
	}
}

// evictExpired drops what is older than the retention, and returns the freed body bytes.
func (s *shard) evictExpired(now proto.Instant, retention time.Duration) (freed int) {
	n := 0
	for n < len(s.expiryQueue) && now.Sub(s.expiryQueue[n].seenAt) >= retention {
		m := s.expiryQueue[n]
		if k := s.keys[m.key]; k != nil && k.intent == m.intent {
			freed += k.responseBytes()
			delete(s.keys, m.key)
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

// dropOldestResponse keeps only the verdict of the oldest key that still has its
// answer, and returns the freed bytes.
func (s *shard) dropOldestResponse() (freed int) {
	m := s.expiryQueue[s.withoutResponse]
	s.withoutResponse++
	if k := s.keys[m.key]; k != nil && k.intent == m.intent {
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
