package endpointstate_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// longestPause is the stated bound of a pause.
const longestPause = 60 * time.Second

func pause(d time.Duration) endpointstate.Report { return endpointstate.Report{Pause: d} }

// Guards against requests during a pause, a pause that outlasts its time or the bound, and
// a later answer that shortens it.
func TestPauseEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		named []time.Duration
		want  time.Duration
	}{
		{"one", []time.Duration{3 * time.Second}, 3 * time.Second},
		{"a shorter one later", []time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		{"a longer one later", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"huge", []time.Duration{math.MaxInt64}, longestPause},
		{"beyond the bound", []time.Duration{longestPause + time.Millisecond}, longestPause},
		{"beyond the bound again", []time.Duration{90 * time.Second, 1e9 * time.Second}, longestPause},
		{"none", []time.Duration{0}, 0},
		{"negative", []time.Duration{-time.Second}, 0},
	} {
		r := newTracker("r")
		for _, d := range c.named {
			r.Observe(now, endpoint, pause(d))
		}
		r.Observe(now, endpoint, endpointstate.Report{HasLimit: true})
		if c.want > 0 {
			if p := r.Check(now.Add(c.want-time.Millisecond), endpoint); p.OK || p.Reason != endpointstate.Paused || p.Wait != time.Millisecond {
				t.Errorf("%s: before the end: %+v", c.name, p)
			}
		}
		if p := r.Check(now.Add(c.want), endpoint); !p.OK {
			t.Errorf("%s: after the end: %+v", c.name, p)
		}
	}
}

// Guards against leaving out the next incarnation of an endpoint.
func TestPauseEndsWithTheIncarnation(t *testing.T) {
	r := newTracker("r")
	r.Observe(now, endpoint, pause(time.Minute))
	next := endpoint
	next.Started++
	if p := r.Check(now, next); !p.OK {
		t.Errorf("%+v", p)
	}
}

// Guards against requests during a pause, or beyond a limit, that an endpoint named which
// had started anew under its identifier, before its registration was read.
func TestWordOfANewIncarnationHoldsOnceItIsRegistered(t *testing.T) {
	const startedAt = 1000 // Unix milliseconds
	next := endpoint
	next.Started = startedAt
	for _, c := range []struct {
		name   string
		saidAt int64
		holds  bool
	}{{"before its start", startedAt - 1, false}, {"at its start", startedAt, true}, {"after its start", startedAt + 400, true}} {
		r := newTracker("r")
		r.Observe(now, endpoint, endpointstate.Report{Pause: time.Minute, SaidAt: 1})
		r.Observe(now, endpoint, endpointstate.Report{Pause: 3 * time.Second, Limit: named(1), HasLimit: true, SaidAt: c.saidAt})
		at := now.Add(time.Second)
		r.Begin(at, next)
		if p := r.Check(at, next); p.OK == c.holds || c.holds && (p.Reason != endpointstate.Paused || p.Wait != 2*time.Second) {
			t.Errorf("%s: %+v", c.name, p)
		}
		r.Take(now.Add(4*time.Second), next)
		if p := r.Check(now.Add(4*time.Second), next); c.holds != (p.Reason == endpointstate.LimitReached) {
			t.Errorf("%s: after the pause: %+v", c.name, p)
		}
		if r.IsLeaving(next) {
			t.Errorf("%s: leaves", c.name)
		}
	}
}

// Guards against a pause that the limit's trials, or the last resort of an endpoint that
// leaves, do not respect, and against telling callers that such an endpoint comes back.
func TestPauseComesBeforeOtherStatements(t *testing.T) {
	r := newTracker("r")
	r.Observe(now, endpoint, endpointstate.Report{Limit: named(0), HasLimit: true, Leaving: true, Pause: 50 * time.Second})
	for at := now; at < now.Add(50*time.Second); at = at.Add(100 * time.Millisecond) {
		if p := r.Check(at, endpoint); p.OK || p.LastResort || p.Wait > 0 {
			t.Fatalf("%v after the answer: %+v", at.Sub(now), p)
		}
	}
}

// Guards against more control calls than an endpoint allows during a pause, also one that
// goes on, and against none for which there is need.
func TestFewControlCallsDuringAPause(t *testing.T) {
	r := newTracker("r")
	r.Observe(now, endpoint, pause(2*time.Second))
	urgent := 0
	for i := range 20 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		if r.AdmitCall(at, endpoint, false) {
			t.Fatalf("a call without need after %v", at.Sub(now))
		}
		if r.AdmitCall(at, endpoint, true) {
			urgent++
			r.Observe(at, endpoint, pause(2*time.Second))
		}
	}
	if urgent < 1 || urgent > 2 {
		t.Errorf("%d urgent calls", urgent)
	}
	later := now.Add(time.Minute)
	if !r.AdmitCall(later, endpoint, false) {
		t.Error("no calls after the pause")
	}
}

// Pattern: a third of the endpoints refuse each router for some seconds, again and again.
// Guards against more than two requests from one router between half a second after such an
// answer and the end of the time, in fleets of 3 and of 103 routers.
func TestFleetLeavesPausedEndpointsAlone(t *testing.T) {
	const (
		endpoints = 9
		allowed   = 2
		named     = 3 * time.Second
		slack     = 500 * time.Millisecond
		tick      = 50 * time.Millisecond
		played    = 20 * time.Second
	)
	for _, size := range []int{3, 103} {
		most := 0
		for i := range size {
			r := newTracker(fmt.Sprint("r", i))
			refusedAt := map[proto.EndpointID]proto.Instant{}
			late := map[proto.EndpointID]int{}
			for at := now; at < now.Add(played); at = at.Add(tick) {
				n := (int(at.Sub(now)/tick) + i) % endpoints
				e := endpointstate.Endpoint{ID: proto.EndpointID(fmt.Sprint("e", n)), Started: 1}
				if !r.Check(at, e).OK {
					continue
				}
				if since := at.Sub(refusedAt[e.ID]); refusedAt[e.ID] != 0 && since > slack && since < named {
					late[e.ID]++
					most = max(most, late[e.ID])
				}
				if n < endpoints/3 {
					if at.Sub(refusedAt[e.ID]) >= named {
						refusedAt[e.ID], late[e.ID] = at, 0
					}
					r.Observe(at, e, pause(named))
				}
			}
		}
		if most > allowed {
			t.Errorf("%d routers: %d requests within one pause, %d are allowed", size, most, allowed)
		}
	}
}
