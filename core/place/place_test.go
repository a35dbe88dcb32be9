package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

const (
	model     = "m"
	storeAddr = "10.9.0.1:80"
	start     = proto.Instant(time.Hour)
)

// fixture holds a placer with engines in two failure domains and a cache store.
type fixture struct {
	t      testing.TB
	now    proto.Instant
	placer *place.Placer
	table  *discovery.Table
	store  *place.StoreIndex
	states *endpointstate.Tracker
}

func newFixture(t testing.TB, engines int) *fixture {
	r := &fixture{
		t: t, now: start, table: discovery.NewTable(), store: place.NewStoreIndex(),
		states: endpointstate.New(endpointstate.Router{ID: "r", Domain: "a"}),
	}
	r.placer = place.New(place.Config{Domain: "a", Costs: place.DefaultCosts(), Seed: 1, States: r.states})
	r.placer.SetLimits(place.Limits{VersionLifetime: 6 * time.Second, HeartbeatTimeout: 3 * time.Second})
	r.placer.Configure(config(t))
	r.placer.SetStore(storeAddr, r.store)
	for i := range engines {
		domain := proto.Domain("a")
		if i%2 == 1 {
			domain = "b"
		}
		r.put(&discovery.Endpoint{
			ID: engineID(i), Service: "s", Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Domain: domain, Slots: 8, Started: 1,
			Versions: map[string]int64{model: 1},
		})
	}
	return r
}

func config(t testing.TB) *serving.Config {
	t.Helper()
	cfg, err := serving.New(serving.Spec{Services: []*serving.Service{
		{Name: "s", Engine: &serving.Engine{CacheTokens: 90_000, TokenBytes: 160_000, LinkBitsPerSecond: 550e9}},
		{Name: "plain"},
		{Name: "store", Store: &serving.CacheStore{Addr: storeAddr, Domain: "a", LinkBitsPerSecond: 230e9}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func engineID(i int) proto.EndpointID { return proto.EndpointID(fmt.Sprint("e", i)) }

func (r *fixture) put(e *discovery.Endpoint) {
	r.table.Put(r.now, e)
	r.placer.Update(r.table.Snapshot())
}

func (r *fixture) query(own string) *place.Query {
	return &place.Query{
		Service: "s", Model: model, Bytes: 2000,
		Parts: []place.Part{{ID: "top", Tokens: 2500}, {ID: "thing", Tokens: 3800}, {ID: own, Tokens: 500}},
		Salt:  func(version int64) string { return fmt.Sprint(model, version) },
	}
}

func (r *fixture) choose(q *place.Query) place.Choice {
	r.t.Helper()
	c, ok := r.placer.Choose(r.now, q)
	if !ok {
		r.t.Fatal("no endpoint can take the request")
	}
	return c
}

// send starts an attempt and ends it successfully after the time took.
func (r *fixture) send(q *place.Query, took time.Duration) place.Choice {
	r.t.Helper()
	c := r.choose(q)
	a := r.placer.StartAttempt(r.now, q, c)
	r.now = r.now.Add(took)
	r.placer.RecordFirstByte(r.now, a)
	r.placer.EndAttempt(r.now, a, true)
	return c
}

// Guards against recomputing shared parts: requests with the same parts go to
// the engine that holds them.
func TestRequestsGoToCachedParts(t *testing.T) {
	r := newFixture(t, 6)
	first := r.send(r.query("x1"), 300*time.Millisecond)
	for i := range 5 {
		c := r.send(r.query(fmt.Sprint("y", i)), 50*time.Millisecond)
		if c.Endpoint.ID != first.Endpoint.ID || c.CachedTokens != 6300 || c.RecomputedTokens != 0 {
			t.Fatalf("request %d went to %s, which holds %d shared tokens", i, c.Endpoint.ID, c.CachedTokens)
		}
	}
}

// Guards against sending all requests to the one engine that holds their parts:
// when it is busy, another engine fetches the parts from it.
func TestBusyHolderIsASource(t *testing.T) {
	r := newFixture(t, 6)
	first := r.send(r.query("x"), 300*time.Millisecond)
	for i := range 8 {
		q := r.query(fmt.Sprint("y", i))
		if c := r.choose(q); c.Endpoint.ID != first.Endpoint.ID {
			if c.Source != first.Endpoint.Addr || c.RecomputedTokens != 0 {
				t.Fatalf("the parts are fetched from %q, %d tokens are recomputed", c.Source, c.RecomputedTokens)
			}
			return
		}
		r.placer.StartAttempt(r.now, q, r.choose(q))
	}
	t.Fatal("eight requests in a row went to one engine")
}

// Guards against fetching from an engine that has not prefilled the parts yet.
func TestPartsBeingPrefilledAreNoSource(t *testing.T) {
	r := newFixture(t, 2)
	q := r.query("x")
	c := r.choose(q)
	r.placer.StartAttempt(r.now, q, c)
	q = r.query("y")
	q.Exclude = []proto.EndpointID{c.Endpoint.ID}
	if other := r.choose(q); other.Source == c.Endpoint.Addr {
		t.Fatal("the parts are fetched from an engine that is still prefilling them")
	}
}

// Guards against using cache entries of older weights: a new version clears the
// modelled cache of the engine, and its salt gives other keys.
func TestNewWeightsDropParts(t *testing.T) {
	r := newFixture(t, 1)
	r.send(r.query("x"), 300*time.Millisecond)
	r.placer.ObserveVersion("e0", model, 2)
	c := r.choose(r.query("y"))
	if c.CachedTokens != 0 || c.Version != 2 || c.Salt != "m2" {
		t.Fatalf("version %d, salt %q, %d tokens held", c.Version, c.Salt, c.CachedTokens)
	}
}

// Guards against requests that begin on a version that was replaced too long
// ago, however low the cost of the engine is otherwise.
func TestRetiredVersionIsNotUsed(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.RecordVersion(r.now, model, 2)
	r.now = r.now.Add(7 * time.Second)
	if _, ok := r.placer.Choose(r.now, r.query("x")); ok {
		t.Fatal("an engine was used whose version was replaced 7 s ago")
	}
	r.placer.ObserveVersion("e1", model, 2)
	if c := r.choose(r.query("x")); c.Endpoint.ID != "e1" {
		t.Fatal("the engine with the new version was not used")
	}
}

// Guards against a request that is queued at an engine, for example for 2 s,
// until its version has been replaced for too long.
func TestLateEngineRetiresSooner(t *testing.T) {
	r := newFixture(t, 1)
	a := r.placer.StartAttempt(r.now, r.query("x"), r.choose(r.query("x")))
	r.placer.RecordFirstByte(r.now.Add(4*time.Second), a)
	r.now = r.now.Add(4 * time.Second)
	r.placer.RecordVersion(r.now.Add(-4500*time.Millisecond), model, 2)
	if _, ok := r.placer.Choose(r.now, r.query("y")); ok {
		t.Fatal("a request may begin 7 s after its version was replaced")
	}
}

// Guards against a restarted router that takes an old version for one that was
// replaced only now: peers report when versions were announced.
func TestPeersTellSinceWhenVersionsAreNamed(t *testing.T) {
	r := newFixture(t, 1)
	r.placer.RecordVersion(r.now, model, 3)
	r.placer.HandlePeerVersion(model, 2, r.now.Add(-7*time.Second))
	if _, ok := r.placer.Choose(r.now, r.query("x")); ok {
		t.Fatal("an engine was used whose version was replaced 7 s ago")
	}
}

// Guards against requests to engines that were just ordered to load weights.
func TestLoadingEnginesGetNoWork(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.SetLoading("e0", r.now.Add(time.Second))
	for i := range 5 {
		if c := r.send(r.query(fmt.Sprint(i)), time.Millisecond); c.Endpoint.ID != "e1" {
			t.Fatal("a loading engine got a request")
		}
	}
	r.placer.SetLoading("e1", r.now.Add(time.Second))
	if _, ok := r.placer.Choose(r.now, r.query("x")); ok {
		t.Fatal("a loading engine got a request")
	}
	r.placer.ObserveVersion("e0", model, 2)
	if c := r.choose(r.query("x")); c.Endpoint.ID != "e0" {
		t.Fatal("the engine that has loaded the version gets no request")
	}
}

// Guards against further requests to an engine that no longer responds. An
// engine that responds does not count as silent.
func TestSilentEngineIsAvoided(t *testing.T) {
	r := newFixture(t, 2)
	q := r.query("x")
	c := r.choose(q)
	r.placer.StartAttempt(r.now, q, c)
	r.now = r.now.Add(2 * time.Second)
	if !r.placer.IsSilent(r.now, c.Endpoint.ID) || len(r.placer.Silent(r.now)) != 1 {
		t.Fatal("the engine does not count as silent")
	}
	if next := r.choose(r.query("y")); next.Endpoint.ID == c.Endpoint.ID {
		t.Fatal("the silent engine got another request")
	}
	other := r.choose(r.query("z"))
	a := r.placer.StartAttempt(r.now, r.query("z"), other)
	r.placer.RecordFirstByte(r.now, a)
	if r.placer.IsSilent(r.now, other.Endpoint.ID) {
		t.Fatal("an engine that responds counts as silent")
	}
}

// Guards against a router that has to fail itself to learn of a silent engine
// although a peer has reported it.
func TestPeersReportSilentEngines(t *testing.T) {
	r := newFixture(t, 2)
	first := r.choose(r.query("x"))
	r.placer.HandleSilent(r.now, first.Endpoint.ID)
	if c := r.choose(r.query("x")); c.Endpoint.ID == first.Endpoint.ID {
		t.Fatal("the silent engine got a request")
	}
}

// Guards against fetching over the store's link while it is busy for longer
// than an engine waits: the engine would not start such a transfer.
func TestBusyStoreIsNoSource(t *testing.T) {
	r := newFixture(t, 1)
	r.store.SetAlive(true)
	r.store.Put("m1", "top")
	r.store.Put("m1", "thing")
	if c := r.choose(r.query("x")); c.Source != storeAddr || c.FetchedTokens != 6300 {
		t.Fatalf("source %q, %d tokens fetched", c.Source, c.FetchedTokens)
	}
	r.placer.HandleAttemptNotice(r.now, place.AttemptNotice{Endpoint: "e0", Started: 1, Transfer: place.Transfer{Store: storeAddr, DurationMillis: 2000}})
	if c := r.choose(r.query("x")); c.Source == storeAddr {
		t.Fatal("the store is a source although its link is busy for 2 s")
	}
}

// Guards against fetching parts from an engine that a store holds, too: the
// engine may have evicted them for its running requests, and they would be
// recomputed. While the store's link is busy, the engine is the better source.
func TestStoreIsTheSaferSource(t *testing.T) {
	r := newFixture(t, 4)
	others := []proto.EndpointID{"e1", "e3"} // of the other failure domain
	q := r.query("x")
	q.Exclude = others
	holder := r.send(q, 300*time.Millisecond).Endpoint
	r.store.SetAlive(true)
	r.store.Put("m1", "top")
	r.store.Put("m1", "thing")
	q = r.query("y")
	q.Exclude = append(others, holder.ID)
	if c := r.choose(q); c.Source != storeAddr || c.RecomputedTokens != 0 {
		t.Errorf("source %q, %d tokens recomputed", c.Source, c.RecomputedTokens)
	}
	r.placer.HandleAttemptNotice(r.now, place.AttemptNotice{Endpoint: holder.ID, Started: 1, Transfer: place.Transfer{Store: storeAddr, DurationMillis: 300}})
	if c := r.choose(q); c.Source != holder.Addr || c.RecomputedTokens != 0 {
		t.Errorf("source %q while the store's link is busy", c.Source)
	}
}

// Guards against copying parts to the store more than once: only newly computed
// parts are copied, and none while the store does not respond.
func TestOnlyNewPartsGoToTheStore(t *testing.T) {
	r := newFixture(t, 1)
	if c := r.choose(r.query("x")); c.Destination != "" {
		t.Fatal("parts are copied to a store that does not respond")
	}
	r.store.SetAlive(true)
	if c := r.send(r.query("x"), 300*time.Millisecond); c.Destination != storeAddr {
		t.Fatal("newly computed parts are not copied to the store")
	}
	if c := r.choose(r.query("y")); c.Destination != "" {
		t.Fatal("parts that the engine holds are copied to the store again")
	}
}

// Guards against sending requests to another failure domain without need.
func TestOwnDomainIsPreferred(t *testing.T) {
	r := newFixture(t, 4)
	for i := range 8 {
		q := &place.Query{Service: "s", Model: model, Bytes: 20_000, Parts: []place.Part{{ID: fmt.Sprint(i), Tokens: 100}},
			Salt: func(int64) string { return "" }}
		if c := r.send(q, 10*time.Millisecond); c.Endpoint.Domain != "a" {
			t.Fatalf("request %d went to domain %s", i, c.Endpoint.Domain)
		}
	}
}

// Guards against an engine that is slower than expected keeping its share of the
// requests: one such engine held 62 of 68.
func TestSlowEngineGetsFewerRequests(t *testing.T) {
	r := newFixture(t, 3)
	counts := map[proto.EndpointID]int{}
	for i := range 60 {
		q := r.query(fmt.Sprint("x", i))
		q.Parts = q.Parts[2:]
		c := r.choose(q)
		took := 20 * time.Millisecond
		if c.Endpoint.ID == "e0" {
			took = 800 * time.Millisecond
		}
		a := r.placer.StartAttempt(r.now, q, c)
		r.placer.RecordFirstByte(r.now.Add(took), a)
		r.placer.EndAttempt(r.now.Add(took), a, true)
		r.now = r.now.Add(40 * time.Millisecond)
		counts[c.Endpoint.ID]++
	}
	if counts["e0"] > 15 {
		t.Fatalf("requests by engine %v, e0 is forty times slower", counts)
	}
}

// Guards against requests to an endpoint that has just failed, and against never
// trying it again.
func TestFailingEndpointIsPaused(t *testing.T) {
	r := newFixture(t, 2)
	q := r.query("x")
	c := r.choose(q)
	r.placer.EndAttempt(r.now, r.placer.StartAttempt(r.now, q, c), false)
	if next := r.choose(q); next.Endpoint.ID == c.Endpoint.ID {
		t.Fatal("the endpoint that failed is chosen again at once")
	}
	r.now = r.now.Add(5 * time.Second)
	for range 50 {
		if next := r.send(r.query("x"), 50*time.Millisecond); next.Endpoint.ID == c.Endpoint.ID {
			return
		}
		r.placer.SetLoading(engineID(1-int(c.Endpoint.ID[1]-'0')), r.now.Add(time.Second))
	}
	t.Fatal("the endpoint that failed is never tried again")
}

// Guards against applying the state of an engine to its next incarnation.
func TestRestartResetsState(t *testing.T) {
	r := newFixture(t, 1)
	q := r.query("x")
	old := r.placer.StartAttempt(r.now, q, r.choose(q))
	r.now = r.now.Add(2 * time.Second)
	r.put(&discovery.Endpoint{ID: "e0", Service: "s", Addr: "10.0.0.1:80", Domain: "a", Slots: 8, Started: 2, Versions: map[string]int64{model: 1}})
	r.placer.EndAttempt(r.now, old, false)
	if r.placer.IsSilent(r.now, "e0") {
		t.Fatal("the new incarnation counts as silent because of a request to the old one")
	}
	if c := r.choose(r.query("y")); c.CachedTokens != 0 {
		t.Fatal("the new incarnation counts as holding the parts of the old one")
	}
}

// Guards against taking an engine for silent that responds to other routers, and
// against learning its lag only from this router's few requests. Otherwise
// streams are moved away from engines that are merely busy, once 47 of 176.
func TestPeersReportResponsesAndLag(t *testing.T) {
	r := newFixture(t, 2)
	q := r.query("x")
	c := r.choose(q)
	r.placer.StartAttempt(r.now, q, c)
	for range 10 {
		r.now = r.now.Add(200 * time.Millisecond)
		r.placer.HandleSeen(r.now, place.Seen{Endpoint: c.Endpoint.ID, LagMillis: 900})
	}
	if r.placer.IsSilent(r.now, c.Endpoint.ID) {
		t.Fatal("an engine that responds to other routers counts as silent")
	}
	if next := r.choose(r.query("y")); next.Endpoint.ID == c.Endpoint.ID {
		t.Fatalf("chosen despite a lag of 0.9 s, expected time to first byte %v", next.ExpectedTTFB)
	}
}

// Guards against repeatedly sending requests to an engine with the wrong version
// assumed; one engine refused 67 requests in 4 s.
func TestMismatchedVersionIsLearned(t *testing.T) {
	r := newFixture(t, 1)
	r.placer.RecordVersion(r.now, model, 3)
	r.placer.HandleVersionMismatch(r.now, "e0", model, 1)
	if c := r.choose(r.query("x")); c.Version != 3 {
		t.Fatalf("version %d is expected of an engine that does not run 1", c.Version)
	}
	r.placer.HandleVersionMismatch(r.now, "e0", model, 1) // refusal of a request that was in flight
	if c := r.choose(r.query("x")); c.Version != 3 {
		t.Fatal("a late refusal has changed the known version")
	}
	r.placer.HandleVersionMismatch(r.now, "e0", model, 3)
	if c := r.choose(r.query("x")); c.Version != 1 {
		t.Fatalf("version %d is expected, the registry says 1", c.Version)
	}
}

// Guards against a router that takes engines for ones without cache because it
// has read the endpoints before the configuration, as may happen at startup.
func TestConfigurationAfterEndpointsSetsMemory(t *testing.T) {
	placer := place.New(place.Config{Domain: "a", Costs: place.DefaultCosts(), Seed: 1})
	table := discovery.NewTable()
	table.Put(start, &discovery.Endpoint{ID: "e0", Service: "s", Addr: "10.0.0.1:80", Domain: "a", Slots: 8, Versions: map[string]int64{model: 1}})
	placer.Update(table.Snapshot())
	placer.Configure(config(t))
	r := &fixture{t: t, now: start, placer: placer, table: table}
	r.send(r.query("x"), 300*time.Millisecond)
	if c := r.choose(r.query("y")); c.CachedTokens != 6300 {
		t.Errorf("the engine counts as holding %d of 6300 shared tokens that it has just prefilled", c.CachedTokens)
	}
}

// Guards against a source that cannot serve the parts: an engine that holds no
// part of a prompt is not a source for it.
func TestEngineWithoutPartsIsNoSource(t *testing.T) {
	r := newFixture(t, 2)
	r.send(r.query("x"), 300*time.Millisecond)
	if c := r.choose(r.query("y")); c.Source != "" {
		t.Errorf("only %s holds the prompt, but the source is %s", c.Endpoint.ID, c.Source)
	}
}

// Guards against taking an engine for silent that has not responded to the last
// request yet but sends events of other streams.
func TestEngineThatSendsEventsIsNotSilent(t *testing.T) {
	r := newFixture(t, 1)
	q := r.query("x")
	stream := r.placer.StartAttempt(r.now, q, r.choose(q))
	r.placer.RecordFirstByte(r.now, stream)
	r.placer.StartAttempt(r.now, q, r.choose(q))
	r.now = r.now.Add(3 * time.Second)
	if !r.placer.IsSilent(r.now, "e0") {
		t.Fatal("an engine without any response for 3 s does not count as silent")
	}
	stream.RecordProgress(r.now)
	if r.placer.IsSilent(r.now, "e0") {
		t.Fatal("an engine that has just sent an event counts as silent")
	}
}

// Guards against requests that are sent to an old version so late that they
// begin after its lifetime, including the time that they are queued.
func TestOldVersionStopsBeforeLifetimeEnds(t *testing.T) {
	r := newFixture(t, 2)
	r.placer.SetLimits(place.Limits{VersionLifetime: 6 * time.Second, VersionStartMargin: 2 * time.Second})
	checkTimeLeft := func(after time.Duration, version int64, want time.Duration) {
		t.Helper()
		if left := r.placer.StartTimeLeft(start.Add(after), model, version); left != want {
			t.Errorf("%v after the start, requests may begin on version %d for another %v, want %v", after, version, left, want)
		}
	}
	checkTimeLeft(0, 1, 6*time.Second)
	r.placer.RecordVersion(start, model, 2)
	r.placer.RecordVersion(start.Add(time.Second), model, 3)
	checkTimeLeft(time.Second, 1, 5*time.Second)
	checkTimeLeft(time.Second, 2, 6*time.Second)
	checkTimeLeft(7*time.Second, 1, -time.Second)
	checkTimeLeft(7*time.Second, 3, 6*time.Second)
	if c := r.choose(&place.Query{Service: "s", Model: model, Salt: func(int64) string { return "" }}); c.StartWithin != 6*time.Second {
		t.Errorf("a request has to begin within %v, want 6s", c.StartWithin)
	}
	for after, want := range map[time.Duration]bool{3 * time.Second: true, 4100 * time.Millisecond: false} {
		_, ok := r.placer.Choose(start.Add(after), &place.Query{Service: "s", Model: model, Salt: func(int64) string { return "" }})
		if ok != want {
			t.Errorf("%v after a newer version was announced: old version chosen: %v", after, ok)
		}
	}
}
