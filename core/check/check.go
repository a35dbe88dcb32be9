// Package check holds the run-time invariants of the program: cheap checks
// that stay on in production and count instead of stopping the process.
package check

import (
	"sync/atomic"
)

// Invariant names one of the promises of the design page.
type Invariant string

// Invariants, one for each promise.
const (
	CacheIsolation  Invariant = "cache-isolation"
	StreamIntegrity Invariant = "stream-integrity"
	WarmRestart     Invariant = "warm-restart"
	AccountBinding  Invariant = "account-binding"
	KeySecrecy      Invariant = "key-secrecy"
	KeyWithdrawal   Invariant = "key-withdrawal"
	RateLimit       Invariant = "rate-limit"
	AnswerMatch     Invariant = "answer-match"
	TrueNotRun      Invariant = "true-not-run"
	AtMostOnce      Invariant = "at-most-once"
	Drain           Invariant = "drain"
	GracefulStop    Invariant = "graceful-stop"
	NoteMonotonic   Invariant = "note-monotonic"
)

// All lists every invariant.
var All = []Invariant{
	CacheIsolation, StreamIntegrity, WarmRestart, AccountBinding, KeySecrecy,
	KeyWithdrawal, RateLimit, AnswerMatch, TrueNotRun, AtMostOnce, Drain,
	GracefulStop, NoteMonotonic,
}

// Counts holds how often an invariant was checked and how often it failed.
type Counts struct {
	Checked int64 `json:"checked"`
	Failed  int64 `json:"failed"`
}

// Monitor counts the checks of one process or one test run. It is safe for
// concurrent use. OnFail, if set before use, is called on each failure.
type Monitor struct {
	OnFail func(Invariant, string)
	counts [13]struct{ checked, failed atomic.Int64 }
}

// Check counts one check of inv and reports a failure unless ok holds.
// detail is only called on a failure.
func (s *Monitor) Check(inv Invariant, ok bool, detail func() string) {
	if s == nil {
		return
	}
	c := &s.counts[index(inv)]
	c.checked.Add(1)
	if ok {
		return
	}
	c.failed.Add(1)
	if s.OnFail != nil {
		s.OnFail(inv, detail())
	}
}

// Counts returns the counts of one invariant.
func (s *Monitor) Counts(inv Invariant) Counts {
	c := &s.counts[index(inv)]
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
