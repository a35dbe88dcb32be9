package canary_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// single is one router that holds the lease and has no peers.
type single struct {
	table  *canary.Table
	now    proto.Instant
	stored canary.Status
}

func newSingle(releases ...string) *single {
	s := &single{table: canary.NewTable("r", 1), now: proto.Instant(time.Hour)}
	s.table.SetBounds(simBounds)
	s.endpoints(releases...)
	s.table.StatusesListed(map[string]bool{})
	return s
}

// endpoints registers three endpoints of each release, the earlier ones started first.
func (s *single) endpoints(releases ...string) {
	table := discovery.NewTable()
	for i, release := range releases {
		for n := range 3 {
			id := proto.EndpointID(release + string(rune('a'+n)))
			table.Put(s.now, &discovery.Endpoint{ID: id, Service: simService, Release: release, Started: int64(1 + 10*i + n)})
		}
	}
	s.table.Update(s.now, table.Snapshot())
}

func (s *single) order(to string, offset int64) {
	o := canary.Order{Service: simService, To: to, Duration: 4 * time.Second, At: proto.LogPosition{Era: 1, Offset: offset}}
	s.table.HandleOrder(s.now, o, true, nil)
}

// run serves requests for a time. New endpoints respond as the old ones do.
func (s *single) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(10 * time.Millisecond) {
		s.request()
		writes, _ := s.table.Step(s.now, canary.StepInput{HoldsLease: true, InContact: true})
		for _, w := range writes {
			s.stored = w.Status
			s.table.StatusWritten(s.now, w)
		}
	}
}

func (s *single) request() {
	p := s.table.Admit(s.now, canary.Query{Service: simService, Route: "a", IsFirst: true})
	for _, release := range []string{"v2", "v1", "v3"} {
		for n := range 3 {
			e := &discovery.Endpoint{ID: proto.EndpointID(release + string(rune('a'+n))), Service: simService, Release: release}
			if s.has(release) && p.Allows(e) {
				k := p.Start(s.now, e)
				s.table.End(s.now, k, canary.Answered, canary.Timing{FirstByte: 10 * time.Millisecond, Total: 20 * time.Millisecond})
				return
			}
		}
	}
	p.Cancel()
}

func (s *single) has(release string) bool { return s.table.Views(s.now)[0].Releases[release] > 0 }

// allows reports whether a request may go to a release without a rollout.
func (s *single) allows(release string) bool {
	p := s.table.Admit(s.now, canary.Query{Service: simService, Route: "a", IsFirst: true})
	defer p.Cancel()
	return !p.IsRestricted() || p.Allows(&discovery.Endpoint{ID: "x", Service: simService, Release: release})
}

// Guards against an order without endpoints of its release that never ends, a second order that
// disturbs a running rollout or is lost, and a repeated order that changes a final state.
func TestInvalidOrders(t *testing.T) {
	s := newSingle("v1", "v2")
	s.order("v9", 1)
	s.run(5 * time.Second)
	if s.stored != (canary.Status{State: canary.RolledBack, To: "v9"}) {
		t.Errorf("no endpoint: %+v", s.stored)
	}
	s.order("v2", 2)
	s.run(time.Second)
	s.order("v3", 3)
	s.run(100 * time.Millisecond)
	if s.stored != (canary.Status{State: canary.Running, To: "v2"}) {
		t.Errorf("second order: %+v", s.stored)
	}
	s.run(3 * time.Second)
	if v := s.table.Views(s.now)[0]; v.Established != "v2" || v.Rollout.To != "v3" {
		t.Errorf("after the first order: %+v %+v", v, v.Rollout)
	}
	s.run(4 * time.Second)
	s.order("v3", 4)
	s.run(5 * time.Second)
	if s.stored != (canary.Status{State: canary.RolledBack, To: "v3"}) {
		t.Errorf("repeated order: %+v", s.stored)
	}
}

// Guards against a restored store whose older order starts a rollout back to an earlier
// release.
func TestOlderOrderOfRestoredStoreIsIgnored(t *testing.T) {
	s := newSingle("v1", "v2")
	s.order("v2", 1)
	s.run(4 * time.Second)
	s.endpoints("v2", "v1")
	s.order("v1", 2)
	s.run(4 * time.Second)
	if s.stored != (canary.Status{State: canary.Completed, To: "v1"}) {
		t.Fatalf("%+v", s.stored)
	}
	s.order("v2", 1)
	s.run(4 * time.Second)
	if s.stored != (canary.Status{State: canary.Completed, To: "v1"}) || s.allows("v2") {
		t.Errorf("%+v", s.stored)
	}
}

// Guards against a new release that gets requests before an order, and against endpoints of the
// established release that do not, after a scale-out, a replacement or a status.
func TestEstablishedRelease(t *testing.T) {
	s := newSingle("v1")
	s.endpoints("v2", "v1") // v1 was replaced by younger endpoints
	if s.allows("v2") || !s.allows("v1") {
		t.Error("the release that was there first is not the established one")
	}
	s.endpoints("v2")
	if s.allows("v2") {
		t.Error("flapping endpoints lose their release")
	}
	s.now = s.now.Add(11 * time.Second)
	s.table.Step(s.now, canary.StepInput{InContact: true})
	if !s.allows("v2") {
		t.Error("no release is left after the old one is gone")
	}
	late := newSingle("v1", "v2")
	if late.allows("v2") {
		t.Error("a router that starts takes the new release for the established one")
	}
	late.table.HandleStatus(late.now, simService, canary.Status{State: canary.Completed, To: "v2"})
	if !late.allows("v2") || late.allows("v1") {
		t.Error("the status does not establish its release")
	}
	misled := newSingle("v2", "v1") // the endpoints of v1 have restarted
	misled.order("v2", 1)
	if misled.allows("v2") && !misled.allows("v1") {
		t.Error("an order's release is established without a status")
	}
}

// Guards against a router without contact that keeps the lease, so that no other one can take a
// verdict, and against a rollout that nobody ends after its deadline.
func TestRouterWithoutContactLeavesTheLease(t *testing.T) {
	s := newSingle("v1", "v2")
	s.order("v2", 1)
	s.table.Step(s.now, canary.StepInput{HoldsLease: true})
	if s.table.HasWork(s.now) {
		t.Error("the lease is kept without contact")
	}
	s.now = s.now.Add(4 * time.Second)
	if !s.table.HasWork(s.now) {
		t.Error("nobody ends the rollout")
	}
	s.table.Step(s.now, canary.StepInput{InContact: true})
	if !s.table.HasWork(s.now) {
		t.Error("the lease is not claimed with contact")
	}
}

// Guards against requests to a release that was rolled back, after the established one is gone.
func TestRolledBackReleaseIsNotEstablished(t *testing.T) {
	s := newSingle("v1", "v2")
	s.table.HandleStatus(s.now, simService, canary.Status{State: canary.RolledBack, To: "v2"})
	s.order("v3", 2)
	s.endpoints("v2")
	s.run(12 * time.Second)
	if s.allows("v2") {
		t.Error("the release is used")
	}
	s.endpoints("v2", "v1")
	s.run(11 * time.Second)
	if s.allows("v2") || !s.allows("v1") {
		t.Error("the endpoints of the old release are not used when they are back")
	}
}
