// Package check counts run-time checks of the system's invariants. The checks
// are cheap enough to stay enabled in production. A failure is counted and does
// not stop the process.
package check

import (
	"sync/atomic"
)

// Invariant identifies one of the guarantees in docs/design.md.
type Invariant string

// Invariants, one for each guarantee.
const (
	// CacheIsolation: cached blocks are reused only within the same account,
	// model version and engine incarnation.
	CacheIsolation Invariant = "cache-isolation"
	// StreamIntegrity: the chunks of a stream arrive in order, complete and
	// without duplicates.
	StreamIntegrity Invariant = "stream-integrity"
	// WarmRestart: a restarted router is ready in time and does not become
	// unready again.
	WarmRestart Invariant = "warm-restart"
	// AccountBinding: a request runs for the client account of its key.
	AccountBinding Invariant = "account-binding"
	// KeySecrecy: no message contains a caller's key.
	KeySecrecy Invariant = "key-secrecy"
	// KeyWithdrawal: a withdrawn key stops working within a bounded time.
	KeyWithdrawal Invariant = "key-withdrawal"
	// RateLimit: no account spends more tokens than its rate and burst allow.
	RateLimit Invariant = "rate-limit"
	// AnswerMatch: every caller receives exactly one answer, that of its own
	// request.
	AnswerMatch Invariant = "answer-match"
	// TrueNotRun: a request that is refused as not run has not run and will not
	// run.
	TrueNotRun Invariant = "true-not-run"
	// AtMostOnce: a non-idempotent call runs at most once.
	AtMostOnce Invariant = "at-most-once"
	// Drain: a leaving endpoint accepts no new work.
	Drain Invariant = "drain"
	// GracefulStop: a router that shuts down gracefully completes the requests
	// in progress.
	GracefulStop Invariant = "graceful-stop"
	// NoteMonotonic: the configuration revision of a router never decreases.
	NoteMonotonic Invariant = "note-monotonic"
)

// All lists every invariant.
var All = []Invariant{
	CacheIsolation, StreamIntegrity, WarmRestart, AccountBinding, KeySecrecy,
	KeyWithdrawal, RateLimit, AnswerMatch, TrueNotRun, AtMostOnce, Drain,
	GracefulStop, NoteMonotonic,
}

// Counts holds the number of checks of an invariant and how many of them failed.
type Counts struct {
	Checked int64 `json:"checked"`
	Failed  int64 `json:"failed"`
}

// Monitor counts the checks of one process or one test run. It is safe for
// concurrent use. A nil Monitor ignores all checks.
type Monitor struct {
	// OnFail, if set, is called with the detail of each failure. It must not be
	// changed after the first check.
	OnFail func(Invariant, string)
	counts [13]struct{ checked, failed atomic.Int64 }
}

// Check counts one check of inv, which fails unless ok is set. detail is called
// only if the check fails and OnFail is set.
func (m *Monitor) Check(inv Invariant, ok bool, detail func() string) {
	if m == nil {
		return
	}
	c := &m.counts[index(inv)]
	c.checked.Add(1)
	if ok {
		return
	}
	c.failed.Add(1)
	if m.OnFail != nil {
		m.OnFail(inv, detail())
	}
}

// Counts returns the counts of one invariant.
func (m *Monitor) Counts(inv Invariant) Counts {
	c := &m.counts[index(inv)]
	return Counts{Checked: c.checked.Load(), Failed: c.failed.Load()}
}

func index(inv Invariant) int {
	for i, other := range All {
		if inv == other {
			return i
		}
	}
	panic("check: unknown invariant " + string(inv))
}
