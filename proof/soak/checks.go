package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Violation reports one broken guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// observations holds what clients and endpoints recorded during one run.
type observations struct {
	attempts []attempt
	// runs holds the runs of each request on the endpoints, by its attempt id.
	runs            map[string][]hosting.Run
	revoked         map[string]time.Time
	isolations      []time.Time
	eventsPerStream int
	// keyCheckMargin is added to maxConfigDelay before the use of a withdrawn key, or of
	// an isolated account's cache entries, counts as a violation. It is also how long the
	// router must have been undisturbed before the request was sent for these checks to
	// apply.
	keyCheckMargin time.Duration
	conditions     conditions
}

func (f *Fleet) observations(attempts []attempt) observations {
	f.mu.Lock()
	isolations := slices.Clone(f.isolations)
	f.mu.Unlock()
	o := observations{attempts: attempts, runs: map[string][]hosting.Run{}, revoked: f.revoked, isolations: isolations, keyCheckMargin: 3 * time.Second}
	for _, e := range f.endpoints {
		o.eventsPerStream = e.engine.Events
		for _, r := range e.engine.Runs() {
			o.runs[r.AttemptID] = append(o.runs[r.AttemptID], r)
		}
	}
	return o
}

// check returns every violation of a guarantee.
func (o *observations) check() []Violation {
	var out []Violation
	fail := func(promise, format string, args ...any) {
		out = append(out, Violation{promise, fmt.Sprintf(format, args...)})
	}
	for _, a := range o.attempts {
		runs := o.runs[a.id]
		repeatable := a.kind == "look" || a.kind == "sheet"
		if len(runs) > 1 && !repeatable {
			fail("at-most-once", "%s %s ran %d times", a.kind, a.id, len(runs))
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if refused && len(runs) > 0 && !repeatable {
			fail("true-not-run", "%s %s got status %d although it ran", a.kind, a.id, a.status)
		}
		if a.status == http.StatusOK && a.complete {
			o.checkResponse(a, fail)
		}
		o.checkKeyWithdrawal(a, runs, fail)
		for _, r := range runs {
			checkRun(a, r, fail)
		}
	}
	o.checkSharing(fail)
	o.checkHarmfulPart(fail)
	o.checkLimit(fail)
	o.checkLeaving(fail)
	o.checkPauses(fail)
	return out
}

// checkResponse checks the body of a complete response: a plain response names
// its request, and a stream has all its events in order.
func (o *observations) checkResponse(a attempt, fail func(string, string, ...any)) {
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
			fail("stream-integrity", "%s has event %s instead of %d", a.id, strings.TrimSpace(id), next)
			return
		}
		next++
	}
	if next != o.eventsPerStream+1 {
		fail("stream-integrity", "%s ended after %d of %d events", a.id, next-1, o.eventsPerStream)
	}
}

// checkKeyWithdrawal checks that a request with a withdrawn key no longer runs.
// It covers only routers that had undisturbed time to learn of the withdrawal.
func (o *observations) checkKeyWithdrawal(a attempt, runs []hosting.Run, fail func(string, string, ...any)) {
	at, withdrawn := o.revoked[a.key]
	if !withdrawn || len(runs) == 0 || !o.knowsConfig(a) {
		return
	}
	if late := a.sentAt.Sub(at); late > maxConfigDelay+o.keyCheckMargin {
		fail("key-withdrawal", "%s ran %v after its key was withdrawn", a.id, late.Round(time.Millisecond))
	}
}

// knowsConfig reports whether the router of a request was undisturbed for long enough to
// know the configuration.
func (o *observations) knowsConfig(a attempt) bool {
	return a.router.undisturbedFor() >= time.Since(a.sentAt)+o.keyCheckMargin
}

// isIsolated reports whether t2 was isolated for the whole time between two instants.
func (o *observations) isIsolated(from, to time.Time) bool {
	before := func(at time.Time) int {
		return len(o.isolations) - len(slices.DeleteFunc(slices.Clone(o.isolations), at.After))
	}
	return before(from)%2 == 1 && before(from) == before(to)
}

// checkSharing checks that no request finds cache entries of the other account while one of
// the two is isolated: no earlier run of the other account has had the salt.
func (o *observations) checkSharing(fail func(string, string, ...any)) {
	first := map[string]map[string]time.Time{}
	for _, runs := range o.runs {
		for _, r := range runs {
			if first[r.Salt] == nil {
				first[r.Salt] = map[string]time.Time{}
			}
			if at, ok := first[r.Salt][r.Account]; !ok || r.At.Before(at) {
				first[r.Salt][r.Account] = r.At
			}
		}
	}
	other := map[string]string{"t1": "t2", "t2": "t1"}
	for _, a := range o.attempts {
		for _, r := range o.runs[a.id] {
			made, ok := first[r.Salt][other[r.Account]]
			if r.Salt != "" && ok && made.Before(r.At) && o.knowsIsolation(a, r.At) {
				fail("cache-sharing", "%s of %s has salt %q, as an earlier run of %s, and t2 is isolated", a.id, r.Account, r.Salt, other[r.Account])
			}
		}
	}
}

// knowsIsolation reports whether the router of a request must have known, until it ran, that
// t2 is isolated: it had time to learn of it, or had sent a request of t2 with a salt that
// names t2.
func (o *observations) knowsIsolation(a attempt, ranAt time.Time) bool {
	if o.knowsConfig(a) && o.isIsolated(a.sentAt.Add(-maxConfigDelay-o.keyCheckMargin), ranAt) {
		return true
	}
	return slices.ContainsFunc(o.attempts, func(b attempt) bool {
		if b.router != a.router || b.key != secondKey || !b.sentAt.Before(a.sentAt) {
			return false
		}
		return slices.ContainsFunc(o.runs[b.id], func(r hosting.Run) bool {
			return strings.HasSuffix(r.Salt, "t2") && r.At.Before(a.sentAt) && o.isIsolated(r.At, ranAt) && !a.router.disturbedBetween(r.At, ranAt)
		})
	})
}

// checkRun checks what an endpoint received with one run.
func checkRun(a attempt, r hosting.Run, fail func(string, string, ...any)) {
	if r.Key != "" {
		fail("key-secrecy", "an endpoint received the key of %s", a.id)
	}
	account := "t1"
	if a.key == secondKey {
		account = "t2"
	}
	if r.Account != account {
		fail("account-binding", "%s of %s ran for account %q", a.id, account, r.Account)
	}
	if version := fmt.Sprintf("m.%d.", r.Version); r.Salt != "" && !strings.HasPrefix(r.Salt, version) {
		fail("cache-isolation", "%s ran on version %d with salt %q", a.id, r.Version, r.Salt)
	}
}
