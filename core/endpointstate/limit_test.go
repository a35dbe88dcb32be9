package endpointstate_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const now = proto.Instant(time.Hour)

var endpoint = endpointstate.Endpoint{ID: "e", Started: 1, Domain: "d0"}

func named(perSecond float64) endpointstate.Limit {
	return endpointstate.Limit{PerSecond: perSecond, Named: true}
}

// observeLimit records a limit and reports whether it has changed.
func observeLimit(t *endpointstate.Tracker, at proto.Instant, e endpointstate.Endpoint, l endpointstate.Limit) bool {
	return t.Observe(at, e, endpointstate.Report{Limit: l, HasLimit: true}).Limit
}

// send sends as much as a router may for a while and returns the number of requests.
func send(t *endpointstate.Tracker, from proto.Instant, d time.Duration) int {
	n := 0
	for at := from; at < from.Add(d); at = at.Add(10 * time.Millisecond) {
		if t.Check(at, endpoint).OK {
			t.Take(at, endpoint)
			n++
		}
	}
	return n
}

// Guards against sending more than the limit, or much less, through the only router.
func TestOneRouterKeepsTheLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 1.6, 20} {
		r := endpointstate.New(endpointstate.Router{ID: "r", Domain: "d0"})
		if !r.Check(now, endpoint).OK {
			t.Fatal("throttled without a limit")
		}
		observeLimit(r, now, endpoint, named(limit))
		if got, want := send(r, now, 20*time.Second), int(20*limit); got > want+1 || got < want-1 {
			t.Errorf("limit %v: %d requests in 20 s, want %d", limit, got, want)
		}
	}
}

// Guards against an endpoint that is never asked again after it has named a limit of 0,
// so that nobody learns when the limit ends.
func TestLimitOfZeroIsTriedNowAndThen(t *testing.T) {
	r := endpointstate.New(endpointstate.Router{ID: "r", Domain: "d0"})
	observeLimit(r, now, endpoint, named(0))
	if got := send(r, now, time.Minute); got < 1 || got > 10 {
		t.Errorf("%d requests in a minute", got)
	}
}

// Guards against a limit that outlasts its end, its endpoint or the endpoint's
// incarnation.
func TestLimitEnds(t *testing.T) {
	ends := map[string]func(r *endpointstate.Tracker) endpointstate.Endpoint{
		"an answer without limit": func(r *endpointstate.Tracker) endpointstate.Endpoint {
			observeLimit(r, now.Add(time.Second), endpoint, endpointstate.Limit{})
			return endpoint
		},
		"a peer's notice": func(r *endpointstate.Tracker) endpointstate.Endpoint {
			r.Merge(now.Add(time.Second), endpointstate.Notices{Limits: []endpointstate.LimitNotice{{Endpoint: endpoint.ID, Started: endpoint.Started, Ended: true}}})
			return endpoint
		},
		"deregistration": func(r *endpointstate.Tracker) endpointstate.Endpoint {
			r.Retain(now, func(proto.EndpointID, int64) bool { return false })
			return endpoint
		},
		"a restart": func(*endpointstate.Tracker) endpointstate.Endpoint {
			return endpointstate.Endpoint{ID: endpoint.ID, Started: 2, Domain: "d0"}
		},
	}
	for name, end := range ends {
		r := endpointstate.New(endpointstate.Router{ID: "r", Domain: "d0"})
		observeLimit(r, now, endpoint, named(1))
		if !r.Check(now.Add(time.Second), end(r)).OK {
			t.Errorf("%s: still throttled", name)
		}
	}
}

// Guards against an old notice that replaces a later observation.
func TestLaterObservationCounts(t *testing.T) {
	r := endpointstate.New(endpointstate.Router{ID: "r", Domain: "d0"})
	observeLimit(r, now, endpoint, named(1))
	observeLimit(r, now.Add(time.Second), endpoint, endpointstate.Limit{})
	r.Merge(now.Add(2*time.Second), endpointstate.Notices{Limits: []endpointstate.LimitNotice{{Endpoint: endpoint.ID, Started: endpoint.Started, PerSecond: 1, AgeMillis: 2000}}})
	if !r.Check(now.Add(2*time.Second), endpoint).OK {
		t.Error("throttled by an old notice")
	}
}

// Guards against an endpoint that nobody may use, or that too many routers share: of any
// fleet, at least one router sends and at most as many as the limit allows in a second.
func TestFewRoutersShareALimit(t *testing.T) {
	const limit = 3
	for _, size := range []int{1, 2, 3, 5, 103, 320} {
		for _, domains := range []int{1, 3} {
			senders := 0
			var fleet []endpointstate.Router
			for i := range size {
				fleet = append(fleet, endpointstate.Router{ID: proto.RouterID(fmt.Sprint("r", i)), Domain: proto.Domain(fmt.Sprint("d", i%domains))})
			}
			for i, self := range fleet {
				r := endpointstate.New(self)
				r.SetRouters(append(append([]endpointstate.Router(nil), fleet[:i]...), fleet[i+1:]...))
				observeLimit(r, now, endpoint, named(limit))
				if send(r, now, 10*time.Second) > 0 {
					senders++
				}
			}
			if senders < 1 || senders > limit {
				t.Errorf("%d of %d routers in %d failure domains send", senders, size, domains)
			}
		}
	}
}

// Guards against messages to peers that outgrow a datagram when all endpoints of a large
// fleet name a limit and leave.
func TestNoticesFitIntoAMessage(t *testing.T) {
	const maxBytes = 10_000
	r := endpointstate.New(endpointstate.Router{ID: "r", Domain: "d0"})
	for i := range 600 {
		e := endpointstate.Endpoint{ID: proto.EndpointID(fmt.Sprint("i-0123456789", i)), Started: 1770535996212, Domain: "d0"}
		r.Observe(now, e, endpointstate.Report{Limit: named(1.25), HasLimit: true, Leaving: true})
	}
	at := now.Add(time.Second)
	for name, notices := range map[string]endpointstate.Notices{"changes": r.Changes(at), "state": r.State(at)} {
		data, err := json.Marshal(notices)
		if err != nil {
			t.Fatal(err)
		}
		if len(notices.Limits) == 0 || len(notices.Leaving) == 0 || len(data) > maxBytes {
			t.Errorf("%s: %d bytes for %d limits", name, len(data), len(notices.Limits))
		}
	}
}
