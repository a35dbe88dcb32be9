package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Violation is a promise that was broken.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns one line.
func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// observations is what callers and endpoints saw of one run.
type observations struct {
	attempts []attempt
	// runs holds the runs of each request, by its id.
	runs            map[string][]hosting.Run
	revoked         map[string]time.Time
	eventsPerStream int
	// keyCheckMargin is how long a process must have been undisturbed before a request
	// for its use of a withdrawn key to count, and how long beyond the bound such
	// a key may work.
	keyCheckMargin time.Duration
}

func (f *Fleet) observations(attempts []attempt) observations {
	w := observations{attempts: attempts, runs: map[string][]hosting.Run{}, revoked: f.revoked, keyCheckMargin: 3 * time.Second}
	for _, e := range f.endpoints {
		w.eventsPerStream = e.engine.Events
		for _, r := range e.engine.Runs() {
			w.runs[r.AttemptID] = append(w.runs[r.AttemptID], r)
		}
	}
	return w
}

// check returns every promise that was broken.
func (w *observations) check() []Violation {
	var out []Violation
	fail := func(promise, format string, args ...any) {
		out = append(out, Violation{promise, fmt.Sprintf(format, args...)})
	}
	for _, a := range w.attempts {
		runs := w.runs[a.id]
		repeatable := a.kind == "look" || a.kind == "sheet"
		if len(runs) > 1 && !repeatable {
			fail("at-most-once", "%s %s ran %d times", a.kind, a.id, len(runs))
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if refused && len(runs) > 0 && !repeatable {
			fail("true-not-run", "%s %s was answered %d and ran", a.kind, a.id, a.status)
		}
		if a.status == http.StatusOK && a.complete {
			w.checkResponse(a, fail)
		}
		w.checkKeyWithdrawal(a, runs, fail)
		for _, r := range runs {
			checkRun(a, r, fail)
		}
	}
	return out
}

func (w *observations) checkResponse(a attempt, fail func(string, string, ...any)) {
	if a.kind == "order" || a.kind == "look" {
		if a.body != "answer to "+a.id {
			fail("answer-match", "%s got %q", a.id, a.body)
		}
		return
	}
	next := 1
	for line := range strings.Lines(a.body) {
		id, ok := strings.CutPrefix(line, "id: ")
		if !ok {
			continue
		}
		if strings.TrimSpace(id) != fmt.Sprint(next) {
			fail("stream-integrity", "%s has event %s in place of %d", a.id, strings.TrimSpace(id), next)
			return
		}
		next++
	}
	if next != w.eventsPerStream+1 {
		fail("stream-integrity", "%s ended after %d of %d events", a.id, next-1, w.eventsPerStream)
	}
}

// checkKeyWithdrawal checks that a key that was withdrawn does not work any more, through
// processes that had time to learn of it undisturbed.
func (w *observations) checkKeyWithdrawal(a attempt, runs []hosting.Run, fail func(string, string, ...any)) {
	at, withdrawn := w.revoked[a.key]
	if !withdrawn || len(runs) == 0 || a.router.undisturbedFor() < time.Since(a.sentAt)+w.keyCheckMargin {
		return
	}
	if late := a.sentAt.Sub(at); late > maxConfigDelay+w.keyCheckMargin {
		fail("key-withdrawal", "%s ran %v after its key was withdrawn", a.id, late.Round(time.Millisecond))
	}
}

func checkRun(a attempt, r hosting.Run, fail func(string, string, ...any)) {
	if r.Key != "" {
		fail("key-secrecy", "an endpoint saw the key of %s", a.id)
	}
	if r.Account != "t1" {
		fail("account-binding", "%s ran for account %q", a.id, r.Account)
	}
	if want := fmt.Sprintf("m.%d.", r.Version); r.Salt != "" && r.Salt != want {
		fail("cache-isolation", "%s ran on version %d with salt %q", a.id, r.Version, r.Salt)
	}
}
