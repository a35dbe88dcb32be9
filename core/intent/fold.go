package intent

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// state is what the log says about one key.
type state struct {
	// intent is the offset of the intent in force.
	intent proto.Offset
	// fingerprint is empty if retention removed the intent record.
	fingerprint proto.Fingerprint
	seen        proto.Instant
	// ended is set once an outcome is recorded.
	ended   bool
	verdict proto.Verdict
	answer  *Answer
}

// mark orders the state of keys by the instant at which an intent was read.
type mark struct {
	key    string
	intent proto.Offset
	seen   proto.Instant
}

type writer struct {
	seq  uint64
	seen proto.Instant
}

// shard is the fold of one intent stream. Which intents win is a function of
// the records of the stream alone; clocks only decide what is forgotten.
type shard struct {
	name string
	// folded is the offset after the last record that was folded.
	folded proto.Offset
	keys   map[string]*state
	marks  []mark
	// bare is the number of leading marks whose answers were dropped.
	bare    int
	writers map[proto.RouterID]writer
	// seq is the number of the last record that this router appended.
	seq uint64
}

func newShard(name string) *shard {
	return &shard{name: name, keys: map[string]*state{}, writers: map[proto.RouterID]writer{}}
}

// isCopy reports whether a record is the second copy of a repeated append, or
// an abandoned append that arrives after a later one. The log client appends
// one batch at a time in order, so the first copies of records that were not
// abandoned have rising numbers.
func (s *shard) isCopy(now proto.Instant, r proto.RouterID, seq uint64) bool {
	w := s.writers[r]
	if seq <= w.seq {
		return true
	}
	s.writers[r] = writer{seq: seq, seen: now}
	return false
}

// foldIntent reports whether the intent at this offset wins its key.
func (s *shard) foldIntent(now proto.Instant, at proto.Offset, r Record) bool {
	if s.isCopy(now, r.Router, r.Seq) {
		return false
	}
	k := s.keys[r.Key]
	if k != nil && !k.mayRunAgain(r.Fingerprint) {
		return false
	}
	s.keys[r.Key] = &state{intent: at, fingerprint: r.Fingerprint, seen: now}
	s.marks = append(s.marks, mark{key: r.Key, intent: at, seen: now})
	return true
}

// mayRunAgain reports whether a later intent supersedes this one.
func (k *state) mayRunAgain(f proto.Fingerprint) bool {
	return k.ended && k.verdict == proto.NotRun && k.sameContent(f)
}

func (k *state) sameContent(f proto.Fingerprint) bool {
	return k.fingerprint == "" || k.fingerprint == f
}

// foldOutcome records how an intent ended. An outcome of an intent that is
// not in force changes nothing. It reports whether a recorded not_run turned
// out to be false.
func (s *shard) foldOutcome(now proto.Instant, o Outcome) (contradiction bool) {
	if s.isCopy(now, o.Router, o.Seq) {
		return false
	}
	k := s.keys[o.Key]
	if k == nil {
		if o.Verdict == proto.NotRun {
			return false
		}
		// Retention removed the intent but not yet its outcome.
		k = &state{intent: o.Intent, seen: now}
		s.keys[o.Key] = k
		s.marks = append(s.marks, mark{key: o.Key, intent: o.Intent, seen: now})
	}
	if k.intent != o.Intent || k.ended && k.verdict == proto.Ran {
		return false
	}
	contradiction = k.ended && k.verdict == proto.NotRun && o.Verdict == proto.Ran
	k.ended, k.verdict, k.answer = true, o.Verdict, o.Answer
	return contradiction
}

// gap handles records that retention removed unread. They may have held an
// intent that superseded one which is known as not_run here.
func (s *shard) gap(to proto.Offset) {
	s.folded = max(s.folded, to)
	for _, k := range s.keys {
		if k.ended && k.verdict == proto.NotRun {
			k.ended = false
		}
	}
}

// forget drops what is older than the retention, and returns the freed body bytes.
func (s *shard) forget(now proto.Instant, retention time.Duration) (freed int) {
	n := 0
	for n < len(s.marks) && now.Sub(s.marks[n].seen) >= retention {
		m := s.marks[n]
		if k := s.keys[m.key]; k != nil && k.intent == m.intent {
			freed += k.bytes()
			delete(s.keys, m.key)
		}
		n++
	}
	if n == 0 {
		return 0
	}
	s.marks = slices.Clone(s.marks[n:])
	s.bare = max(0, s.bare-n)
	for r, w := range s.writers {
		if now.Sub(w.seen) >= 2*retention {
			delete(s.writers, r)
		}
	}
	return freed
}

// dropAnswer keeps only the verdict of the oldest key that still has its
// answer, and returns the freed bytes.
func (s *shard) dropAnswer() (freed int) {
	m := s.marks[s.bare]
	s.bare++
	if k := s.keys[m.key]; k != nil && k.intent == m.intent {
		freed = k.bytes()
		k.answer = nil
	}
	return freed
}

func (k *state) bytes() int {
	if k.answer == nil {
		return 0
	}
	return len(k.answer.Body) + len(k.answer.ContentType)
}

func decode[T any](body json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, Error.Wrap(err)
}
