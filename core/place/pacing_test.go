package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

const (
	testGap     = 200 * time.Millisecond
	testLatency = 400 * time.Millisecond
)

// pacedConfig is config with a route of streams that limits gaps.
func pacedConfig(t testing.TB) *serving.Config {
	t.Helper()
	cfg, err := serving.New(serving.Spec{
		Services: []*serving.Service{{Name: "s", Engine: &serving.Engine{CacheTokens: 90_000, TokenBytes: 160_000, LinkBitsPerSecond: 550e9}}},
		Routes: []*serving.Route{{
			Name: "chat", Host: "h", Prefix: "/", Kind: serving.Stream, Targets: []serving.Target{{Service: "s", Weight: 1}},
			TargetGap: testGap, TargetLatency: testLatency, PromptParts: true, Attempts: 1,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// stream returns a query of a stream with a prompt that no other request shares.
func (r *fixture) stream(own string, tokens int64) *place.Query {
	q := r.query(own)
	q.Parts = []place.Part{{ID: own, Tokens: tokens}}
	q.TargetGap, q.TargetLatency = testGap, testLatency
	return q
}

// simulated is an engine as the tests simulate it: the time between two events grows
// with the number of running requests, and stall is added in the middle of a stream.
type simulated struct {
	interval, perRunning, token, stall time.Duration
	slowdown                           int
}

var usualEngine = simulated{interval: 6 * time.Millisecond, perRunning: time.Millisecond / 2, token: 9 * time.Microsecond, slowdown: 100}

// run sends one stream to an engine by a choice restricted to it, and records its events.
func (r *fixture) run(i int, e simulated, tokens int64, events int) {
	q := r.stream(fmt.Sprint("own", r.now), tokens)
	q.Only = []proto.EndpointID{engineID(i)}
	a := r.placer.StartAttempt(r.now, q, r.choose(q))
	r.now = r.now.Add(e.interval + time.Duration(tokens)*e.token)
	r.placer.ObserveLoad(r.now, a, place.EndpointLoad{Running: 1, Slots: 8, Slowdown: e.slowdown})
	a.MeasureFirst(0)
	r.placer.RecordFirstByte(r.now, a)
	var timing pace.Timing
	for n := range events {
		if n == events/2 {
			r.now = r.now.Add(e.stall)
		}
		timing.Record(r.now, a.Running(), 0)
		a.RecordProgress(r.now)
		r.now = r.now.Add(e.interval + e.perRunning)
	}
	r.placer.ObserveStream(r.now, a, &timing)
	r.placer.EndAttempt(r.now, a, true)
}

// teach runs some streams on each engine.
func (r *fixture) teach(engines []simulated) {
	for range 25 {
		for i, e := range engines {
			r.run(i, e, 2890, 20)
		}
	}
}

// shares returns how many of some concurrent streams each engine gets.
func (r *fixture) shares(engines, streams int, tokens int64) []int {
	r.now = r.now.Add(2 * time.Second)
	got := make([]int, engines)
	for n := range streams {
		q := r.stream(fmt.Sprint("share", n), tokens)
		c := r.choose(q)
		r.placer.StartAttempt(r.now, q, c)
		for i := range got {
			if c.Endpoint.ID == engineID(i) {
				got[i]++
			}
		}
	}
	return got
}

// Guards against slow endpoints among fast ones that get an equal share of the work.
func TestSlowEndpointsGetLessWork(t *testing.T) {
	r := newFixture(t, 4)
	r.placer.Configure(pacedConfig(t))
	slow := usualEngine
	slow.interval, slow.perRunning, slow.token = 3*slow.interval, 3*slow.perRunning, 3*slow.token
	r.teach([]simulated{usualEngine, usualEngine, slow, slow})
	got := r.shares(4, 24, 826)
	if slowShare := got[2] + got[3]; slowShare < 2 || slowShare > 8 {
		t.Errorf("streams per engine: %v", got)
	}
}

// Guards against endpoints that are slowed for tenths of a second again and again and get
// streams that would break their permitted gap.
func TestInterruptedEndpointsAreAvoided(t *testing.T) {
	r := newFixture(t, 4)
	r.placer.Configure(pacedConfig(t))
	interrupted := usualEngine
	interrupted.stall = 350 * time.Millisecond
	r.teach([]simulated{usualEngine, usualEngine, interrupted, usualEngine})
	if got := r.shares(4, 12, 826); got[2] != 0 {
		t.Errorf("streams per engine: %v", got)
	}
}

// Guards against work for an endpoint that has just reported that it is slowed, and
// against avoiding it once the report is out of date.
func TestReportedSlowdownCountsForAWhile(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.Configure(pacedConfig(t))
	r.teach([]simulated{usualEngine, usualEngine})
	e, _ := r.table.Snapshot().ByID[engineID(0)], 0
	r.now = r.now.Add(2 * time.Second)
	r.placer.ObserveEndpointLoad(r.now, e, place.EndpointLoad{Slots: 8, Slowdown: 900})
	q := r.stream("new", 2890)
	for range 10 {
		if c := r.choose(q); c.Endpoint.ID != engineID(1) {
			t.Fatal("chosen while it is slowed")
		}
	}
	r.now = r.now.Add(3 * time.Second)
	q.Only = []proto.EndpointID{engineID(0)}
	if c := r.choose(q); c.ExpectedTTFB > 100*time.Millisecond {
		t.Errorf("%v expected after the slowdown", c.ExpectedTTFB)
	}
}

// Guards against a long prompt that is processed between the events of short interactive
// streams at an endpoint too slow for it.
func TestLongPromptsAvoidEndpointsWithStreamsThatCannotWait(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.Configure(pacedConfig(t))
	slow := usualEngine
	slow.token = 250 * time.Microsecond // a chunk of a prompt takes longer than the permitted gap
	for range 25 {
		r.run(0, slow, 500, 20)
		r.run(1, usualEngine, 500, 20)
	}
	r.now = r.now.Add(2 * time.Second)
	occupy := r.stream("interactive", 50)
	occupy.Only = []proto.EndpointID{engineID(1)}
	for range 3 {
		r.placer.StartAttempt(r.now, occupy, r.choose(occupy))
	}
	occupy.Only = []proto.EndpointID{engineID(0)}
	r.placer.StartAttempt(r.now, occupy, r.choose(occupy))
	if c := r.choose(r.stream("long", 2890)); c.Endpoint.ID != engineID(1) {
		t.Errorf("the long prompt goes to %s", c.Endpoint.ID)
	}
}

// Guards against a restarted endpoint that is avoided for what the incarnation before it
// did.
func TestRestartedEndpointIsJudgedAnew(t *testing.T) {
	r := newFixture(t, 3)
	r.placer.Configure(pacedConfig(t))
	interrupted := usualEngine
	interrupted.stall = 500 * time.Millisecond
	r.teach([]simulated{interrupted, usualEngine, usualEngine})
	again := *r.table.Snapshot().ByID[engineID(0)]
	again.Started = 2
	r.put(&again)
	if got := r.shares(3, 24, 826); got[0] < 4 {
		t.Errorf("streams per engine: %v", got)
	}
}

// Guards against work for an endpoint whose streams have just stopped, and against taking
// a pause of the router itself for that.
func TestEndpointWhoseStreamsHaveStoppedIsAvoided(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.Configure(pacedConfig(t))
	r.teach([]simulated{usualEngine, usualEngine})
	q := r.stream("running", 50)
	q.Only = []proto.EndpointID{engineID(0)}
	a := r.placer.StartAttempt(r.now, q, r.choose(q))
	r.placer.RecordFirstByte(r.now, a)
	r.now = r.now.Add(150 * time.Millisecond)
	next := r.stream("next", 50)
	if c := r.choose(next); c.Endpoint.ID != engineID(1) {
		t.Error("chosen while its stream has stopped")
	}
	next.Only = q.Only
	stopped := r.choose(next).ExpectedTTFB
	next.Behind = 150 * time.Millisecond
	if behind := r.choose(next).ExpectedTTFB; behind > stopped-100*time.Millisecond {
		t.Errorf("%v expected after a pause of the router, %v after a stop", behind, stopped)
	}
}
