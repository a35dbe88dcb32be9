package endpointstate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// drainTime is how long after an endpoint has said that it leaves it may be used.
const drainTime = 2 * time.Second

var leaves = endpointstate.Report{Leaving: true}

func newTracker(id string) *endpointstate.Tracker {
	r := endpointstate.New(endpointstate.Router{ID: proto.RouterID(id), Domain: "d0"})
	r.SetDrainTimeout(drainTime)
	return r
}

// Guards against requests to an endpoint that leaves where others take them, or after the
// drain time, and against a later answer that takes the statement back.
func TestLeavingEndpointIsTheLastResortForAWhile(t *testing.T) {
	r := newTracker("r")
	if !r.Observe(now, endpoint, leaves).Leaving {
		t.Fatal("not recorded")
	}
	r.Observe(now.Add(time.Second), endpoint, leaves)
	r.Observe(now.Add(time.Second), endpoint, endpointstate.Report{HasLimit: true})
	if p := r.Check(now.Add(drainTime-1), endpoint); p.OK || p.Reason != endpointstate.Leaving || !p.LastResort {
		t.Errorf("within the drain time: %+v", p)
	}
	if p := r.Check(now.Add(drainTime), endpoint); p.OK || p.LastResort {
		t.Errorf("after the drain time: %+v", p)
	}
}

// Guards against an endpoint that is used again when an older entry of the registry is
// read again, and against leaving out its next incarnation.
func TestLeavingOutlastsTheRegistration(t *testing.T) {
	r := newTracker("r")
	r.Observe(now, endpoint, leaves)
	gone := func(proto.EndpointID, int64) bool { return false }
	r.Retain(now.Add(time.Minute), gone)
	if !r.IsLeaving(endpoint) {
		t.Error("forgotten with its registration")
	}
	next := endpoint
	next.Started++
	if p := r.Check(now, next); !p.OK {
		t.Errorf("the next incarnation: %+v", p)
	}
	r.Retain(now.Add(time.Hour), gone)
	if r.IsLeaving(endpoint) {
		t.Error("never forgotten")
	}
}

// Pattern: a third of the endpoints say in their answers that they leave, while the
// registry lists them for a long time. Guards against requests later than the drain time
// after the first answer to any router, in fleets of 3 and of 103, and against routers that
// never hear of it.
func TestFleetLeavesOutLeavingEndpoints(t *testing.T) {
	const endpoints, rounds = 9, 200
	for _, size := range []int{3, 103} {
		var routers []*endpointstate.Tracker
		for i := range size {
			routers = append(routers, newTracker(fmt.Sprint("r", i)))
		}
		late := 0
		for round := range rounds {
			at := now.Add(time.Duration(round) * 50 * time.Millisecond)
			for i, r := range routers {
				e := endpointstate.Endpoint{ID: proto.EndpointID(fmt.Sprint("e", (round+i)%endpoints)), Started: 1}
				isLeaving := (round+i)%endpoints < endpoints/3
				if !r.Check(at, e).OK {
					continue
				}
				if isLeaving && at.Sub(now) > drainTime {
					late++
				}
				r.Observe(at, e, endpointstate.Report{Leaving: isLeaving})
			}
			for i, r := range routers {
				routers[(i+1+round)%size].Merge(at, r.Changes(at))
			}
		}
		if late > 0 {
			t.Errorf("%d routers: %d requests after the drain time", size, late)
		}
		for i := range endpoints / 3 {
			for _, r := range routers {
				if !r.IsLeaving(endpointstate.Endpoint{ID: proto.EndpointID(fmt.Sprint("e", i)), Started: 1}) {
					t.Errorf("%d routers: one has not heard that e%d leaves", size, i)
				}
			}
		}
	}
}
