package route

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const second = proto.Instant(time.Second)

// testConfig returns a configuration with engines in 3 failure domains and 3 services.
func testConfig(engines int) *note.Config {
	cfg := note.Empty()
	cfg.Models["m"] = note.Model{Name: "m", Version: "1"}
	for i := range engines {
		id := proto.EndpointID(fmt.Sprintf("e%d", i))
		cfg.Endpoints[id] = note.Endpoint{ID: id, Kind: note.KindEngine, Domain: proto.Domain(fmt.Sprint(i % 3)), Models: []string{"m"}}
	}
	for i := range 3 {
		id := proto.EndpointID(fmt.Sprintf("s%d", i))
		cfg.Endpoints[id] = note.Endpoint{ID: id, Kind: note.KindService, Domain: proto.Domain(fmt.Sprint(i)), Service: "orders"}
	}
	return cfg
}

// configuredSnapshots holds configured snapshots by number of engines. Rankings are the
// same in every View, and slow to compute under the race detector.
var configuredSnapshots sync.Map

func configuredSnapshot(engines int) *snapshot {
	if s, ok := configuredSnapshots.Load(engines); ok {
		return s.(*snapshot)
	}
	v := NewView(ViewConfig{})
	v.Configure(0, testConfig(engines))
	configuredSnapshots.Store(engines, v.snap.Load())
	return v.snap.Load()
}

func newTestView(seed uint64, engines int) *View {
	// Large enough for all blocks of a test, but no larger, because large allocations
	// are slow under the race detector.
	const memory = 1 << 20
	v := NewView(ViewConfig{Domain: "0", Seed: seed, CacheTableBytes: memory})
	first := configuredSnapshot(engines)
	models := map[string]*group{"m": {homes: first.models["m"].homes, inFlight: &atomic.Int64{}}}
	v.snap.Store(&snapshot{endpoints: first.endpoints, models: models})
	v.Configure(0, testConfig(engines))
	return v
}

// generateQuery returns a query for total pieces, of which the first shared ones depend
// only on family.
func generateQuery(family, request uint64, shared, total int) Query {
	pieces := make([]uint64, total)
	for i := range pieces {
		pieces[i] = mix(family<<32 + uint64(i))
		if i >= shared {
			pieces[i] = mix(family<<32 + request<<8 + uint64(i) + 1<<62)
		}
	}
	blocks := ChainHashes(Salt{Account: "a", Model: "m", Version: "1"}, pieces)
	return Query{Account: "a", Class: proto.ClassGenerate, Model: "m", Version: "1", Blocks: blocks, PromptTokens: int64(total) * PieceTokens}
}

func mustChoose(t *testing.T, v *View, now proto.Instant, q Query) Choice {
	t.Helper()
	c, cause := v.Choose(now, q)
	if cause != "" {
		t.Fatalf("refused: %s", cause)
	}
	return c
}

// reportAll observes a report of every engine with the same queue and no matching
// blocks.
func reportAll(v *View, now proto.Instant, engines int, queued int64) {
	for i := range engines {
		v.Observe(now, proto.Report{Endpoint: proto.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: "1", QueuedTokens: queued}, nil)
	}
}

// Guards against blocks that match those of another account, model, version or adapter,
// also if the fields of both salts concatenate to the same string.
func TestChainSalt(t *testing.T) {
	pieces := []uint64{1, 2, 3}
	base := ChainHashes(Salt{"a", "m", "1", "x"}, pieces)
	for _, salt := range []Salt{{"b", "m", "1", "x"}, {"a", "n", "1", "x"}, {"a", "m", "2", "x"}, {"a", "m", "1", ""}, {"am", "", "1", "x"}} {
		for i, block := range ChainHashes(salt, pieces) {
			if block == base[i] {
				t.Errorf("salt %v matches at depth %d", salt, i+1)
			}
		}
	}
	other := ChainHashes(Salt{"a", "m", "1", "x"}, []uint64{1, 9, 3})
	if other[0] != base[0] || other[1] == base[1] || other[2] == base[2] {
		t.Error("chain hashes must match up to the first differing piece only")
	}
}

// Guards against restarted routers that place requests differently from their peers, and
// against many of them choosing the same endpoint.
func TestNewViewsPlaceLikePeers(t *testing.T) {
	t.Parallel()
	q := generateQuery(7, 1, 5, 8)
	peer := newTestView(1, 18)
	reportAll(peer, 0, 18, 0)
	home := mustChoose(t, peer, 0, q).Endpoint
	counts := map[proto.EndpointID]int{}
	for seed := range uint64(100) {
		v := newTestView(seed+10, 18)
		c := mustChoose(t, v, 0, q)
		counts[c.Endpoint]++
		if len(c.ProbeEndpoints) < 2 {
			t.Fatalf("a new view must probe first, probes %v", c.ProbeEndpoints)
		}
		for _, id := range c.ProbeEndpoints {
			v.Observe(0, proto.Report{Endpoint: id, Incarnation: "1"}, nil)
		}
		if got := mustChoose(t, v, 0, q).Endpoint; got != home {
			t.Errorf("seed %d: after probes %s, peer chooses %s", seed, got, home)
		}
	}
	if len(counts) > 2 || counts[home] == 0 || counts[home] > 70 {
		t.Errorf("first choices %v, want two homes and not mainly %s", counts, home)
	}
}

// Guards against requests with a common prefix being scattered, against too few endpoints
// serving many prefixes, and against a match from before the engine restarted.
func TestFamiliesStayTogether(t *testing.T) {
	t.Parallel()
	used := map[proto.EndpointID]bool{}
	for family := range uint64(60) {
		v := newTestView(1, 18)
		reportAll(v, 0, 18, 0)
		first := mustChoose(t, v, 0, generateQuery(family, 1, 5, 8))
		v.AttemptStarted(0, first.Endpoint, generateQuery(family, 1, 5, 8))
		v.AttemptEnded(0, first.Endpoint, generateQuery(family, 1, 5, 8))
		reportAll(v, second/2, 18, 0)
		next := mustChoose(t, v, second/2, generateQuery(family, 2, 5, 8))
		if next.Endpoint != first.Endpoint || next.MatchedBlocks < 4 {
			t.Errorf("family %d: %s then %s, matched %d", family, first.Endpoint, next.Endpoint, next.MatchedBlocks)
		}
		used[first.Endpoint] = true
		v.Observe(second, proto.Report{Endpoint: first.Endpoint, Incarnation: "2"}, nil)
		if c := mustChoose(t, v, second, generateQuery(family, 3, 5, 8)); c.MatchedBlocks != 0 {
			t.Errorf("family %d: matched %d blocks of an earlier incarnation", family, c.MatchedBlocks)
		}
	}
	if len(used) < 14 {
		t.Errorf("60 families use %d of 18 endpoints", len(used))
	}
}

// Guards against a lost or busy home whose requests wait because the home on standby
// counts less than a home in use: the homes in use and one more are equal candidates.
func TestStandbyHomeCountsLikeAHomeInUse(t *testing.T) {
	v := newTestView(1, 18)
	q := generateQuery(3, 0, 4, 4)
	s := v.snap.Load()
	d := decision{view: v, snap: s, now: second, q: &q, importPeer: -1}
	const depth, spread = 1, 1
	d.addHomes(s.group(q), uint64(q.Blocks[depth-1]), depth, spread)
	if d.count != spread+2 {
		t.Fatalf("%d candidates, want the %d homes in use and one on standby", d.count, spread+1)
	}
	for rank := range d.count {
		if got := d.candidates[rank].homeProbability; got != prior(depth) {
			t.Errorf("home of rank %d caches the prefix with probability %v, want %v", rank, got, prior(depth))
		}
	}
}

// Guards against a hot prefix that saturates its home, and against a spread that never
// narrows or narrows as soon as the load ends.
func TestHotPrefixSpread(t *testing.T) {
	v := newTestView(1, 18)
	reportAll(v, 0, 18, 0)
	q := generateQuery(3, 0, 4, 4)
	spread := func() uint8 {
		var entry cacheEntry
		v.cacheTable.get(uint64(q.Blocks[2]), &entry)
		return entry.spread
	}
	used := map[proto.EndpointID]bool{}
	for i := range 40 {
		now := proto.Instant(i) * proto.Instant(10*time.Millisecond)
		hot := generateQuery(3, uint64(i), 4, 8)
		c := mustChoose(t, v, now, hot)
		used[c.Endpoint] = true
		v.AttemptStarted(now, c.Endpoint, hot)
	}
	wide := spread()
	if wide == 0 || len(used) < 3 {
		t.Fatalf("spread %d over %d endpoints under load", wide, len(used))
	}
	at := 20 * second
	v.AttemptStarted(at, "e0", q)
	v.AttemptStarted(at+second, "e0", q)
	reportAll(v, at+second, 18, 0)
	if got := spread(); got < wide-1 {
		t.Errorf("spread %d a second after the load ended, was %d", got, wide)
	}
	for i := range 60 {
		v.AttemptStarted(at.Add(time.Duration(i)*time.Second), "e0", q)
	}
	if got := spread(); got != 0 {
		t.Errorf("spread %d after a minute without load", got)
	}
}

// Guards against choosing an endpoint that is leaving, unhealthy, excluded, down or on
// another version, and against one failed connection excluding an endpoint.
func TestExclusion(t *testing.T) {
	q := generateQuery(5, 1, 3, 4)
	cfg := testConfig(6)
	for name, apply := range map[string]func(v *View, id proto.EndpointID, q *Query){
		"leaving": func(v *View, id proto.EndpointID, _ *Query) {
			v.Observe(0, proto.Report{Endpoint: id, Leaving: true}, nil)
		},
		"leaving by note": func(v *View, id proto.EndpointID, _ *Query) {
			e := cfg.Endpoints[id]
			e.Leaving = true
			cfg.Endpoints[id] = e
			v.Configure(0, cfg)
		},
		"down": func(v *View, id proto.EndpointID, _ *Query) {
			v.Observe(0, proto.Report{Endpoint: id, Down: true}, nil)
		},
		"suspect": func(v *View, id proto.EndpointID, _ *Query) {
			v.ObserveFailureOn(0, id, member.PathTraffic)
			v.ObserveFailureOn(0, id, member.PathNewConnection)
		},
		"version": func(v *View, id proto.EndpointID, _ *Query) {
			v.Observe(0, proto.Report{Endpoint: id, Versions: map[string]string{"m": "2"}}, nil)
		},
		"excluded": func(_ *View, id proto.EndpointID, q *Query) { q.Exclude = append(q.Exclude, id) },
	} {
		v := newTestView(1, 6)
		request := q
		seen := map[proto.EndpointID]bool{}
		for range 6 {
			c := mustChoose(t, v, 0, request)
			if seen[c.Endpoint] {
				t.Errorf("%s: %s chosen again", name, c.Endpoint)
			}
			seen[c.Endpoint] = true
			apply(v, c.Endpoint, &request)
		}
		if _, cause := v.Choose(0, request); cause != proto.CauseNoEndpoint {
			t.Errorf("%s: cause %q with no endpoint left", name, cause)
		}
	}
	v := newTestView(1, 1)
	v.ObserveFailure(0, "e0")
	v.ObserveFailure(0, "e0")
	mustChoose(t, v, 0, q)
}

// Guards against refusing a request while some endpoint has capacity or an unknown load,
// and against accepting one that cannot start before its deadline.
func TestAdmission(t *testing.T) {
	v := newTestView(1, 18)
	q := generateQuery(5, 1, 3, 4)
	q.Timeout = 2 * time.Second
	mustChoose(t, v, 0, q)
	reportAll(v, 0, 18, 50_000)
	if c, cause := v.Choose(0, q); cause != proto.CauseOverload || c.ExpectedDelay < 2*time.Second {
		t.Errorf("all endpoints 5 s behind: cause %q, wait %v", cause, c.ExpectedDelay)
	}
	v.Observe(0, proto.Report{Endpoint: "e9", Incarnation: "1"}, nil)
	if c := mustChoose(t, v, 0, q); c.Endpoint != "e9" {
		t.Errorf("chose %s, only e9 has capacity", c.Endpoint)
	}
	mustChoose(t, v, 10*second, q)
}

// Guards against prefilling blocks that can be imported from a peer, and against imports
// that take longer than prefilling.
func TestImport(t *testing.T) {
	v := newTestView(1, 18)
	reportAll(v, 0, 18, 0)
	q := generateQuery(5, 1, 8, 8)
	v.Observe(0, proto.Report{Endpoint: "e1", Incarnation: "1", QueuedTokens: 100_000, MatchedBlocks: 8}, q.Blocks)
	c := mustChoose(t, v, 0, q)
	if c.Endpoint == "e1" || c.ImportFrom == nil || c.ImportFrom.Endpoint != "e1" || c.ImportFrom.Blocks != 8 {
		t.Errorf("choice %+v, want an import of 8 blocks from e1", c)
	}
	slow := NewView(ViewConfig{Costs: Costs{ImportSetup: time.Minute}})
	slow.Configure(0, testConfig(18))
	slow.Observe(0, proto.Report{Endpoint: "e1", QueuedTokens: 100_000, MatchedBlocks: 8}, q.Blocks)
	if c := mustChoose(t, slow, 0, q); c.ImportFrom != nil {
		t.Errorf("import %+v although prefilling takes less time", c.ImportFrom)
	}
}

// Guards against plain calls that all queue at one endpoint, or that go to another
// failure domain without need.
func TestServiceLeastWait(t *testing.T) {
	v := newTestView(1, 3)
	q := Query{Class: proto.ClassCall, Service: "orders"}
	counts := map[proto.EndpointID]int{}
	for range 30 {
		c := mustChoose(t, v, 0, q)
		counts[c.Endpoint]++
		v.AttemptStarted(0, c.Endpoint, q)
	}
	if counts["s0"] != 10 || counts["s1"] != 10 {
		t.Errorf("30 calls spread as %v", counts)
	}
	for id, n := range counts {
		for range n {
			v.AttemptEnded(0, id, q)
		}
	}
	if c := mustChoose(t, v, 0, q); c.Endpoint != "s0" {
		t.Errorf("idle: chose %s, s0 is in the router's own domain", c.Endpoint)
	}
	if _, cause := v.Choose(0, Query{Class: proto.ClassCall, Service: "x"}); cause != proto.CauseUnknownRoute {
		t.Errorf("unknown service: cause %q", cause)
	}
}

// Guards against a second home in the first one's failure domain, and against trying the
// endpoints of a lost failure domain one after another.
func TestFailureDomains(t *testing.T) {
	v := newTestView(1, 18)
	s := v.snap.Load()
	for hash := range uint64(numSlots) {
		homes := s.models["m"].forBlock(hash)
		if s.endpoints[homes[0]].domain == s.endpoints[homes[1]].domain {
			t.Fatalf("slot %d: both first homes in one domain", hash)
		}
	}
	for i := 0; i < 12; i += 3 {
		v.ObserveFailure(0, proto.EndpointID(fmt.Sprintf("e%d", i)))
	}
	for family := range uint64(50) {
		if c := mustChoose(t, v, 0, generateQuery(family, 1, 4, 4)); s.byID[c.Endpoint].domain == "0" {
			t.Errorf("family %d goes to %s in the lost domain", family, c.Endpoint)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 150, 600} {
		b.Run(fmt.Sprint("short/", n), func(b *testing.B) {
			v, q := newTestView(1, n), Query{Class: proto.ClassGenerate, Model: "m", PromptTokens: 500}
			for b.Loop() {
				v.Choose(1, q)
			}
		})
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newTestView(1, n)
			reportAll(v, 0, n, 1000)
			queries := make([]Query, 1024)
			for i := range queries {
				queries[i] = generateQuery(uint64(i%200), uint64(i), 8, 16)
				c, _ := v.Choose(0, queries[i])
				v.Observe(0, proto.Report{Endpoint: c.Endpoint, Incarnation: "1", MatchedBlocks: 8}, queries[i].Blocks)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := queries[i%len(queries)]
				c, _ := v.Choose(1, q)
				v.AttemptStarted(1, c.Endpoint, q)
				v.AttemptEnded(1, c.Endpoint, q)
			}
		})
	}
}

// Guards against a View that exceeds its memory limit at the target number of endpoints.
func TestMemoryBound(t *testing.T) {
	if size := int(unsafe.Sizeof(cacheEntry{})); size != cacheEntryBytes {
		t.Fatalf("an entry takes %d bytes, entryBytes is %d", size, cacheEntryBytes)
	}
	cfg := testConfig(600)
	for i := range 600 {
		id := proto.EndpointID(fmt.Sprintf("e%d", i))
		e := cfg.Endpoints[id]
		e.Models = []string{fmt.Sprintf("m%d", i%22)}
		cfg.Endpoints[id] = e
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := NewView(ViewConfig{})
	v.Configure(0, cfg)
	for i := range uint64(20_000) {
		q := generateQuery(i, i, 8, 16)
		v.Observe(0, proto.Report{Endpoint: proto.EndpointID(fmt.Sprintf("e%d", i%600)), MatchedBlocks: 16}, q.Blocks)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("heap of a View with 600 endpoints and 22 models: %d bytes", size)
	if size > 8<<20 {
		t.Errorf("a View takes %d bytes", size)
	}
	runtime.KeepAlive(v)
}

// Guards against data races and lost counts between the request path and a configuration
// change. The race detector finds the races.
func TestConcurrentUse(t *testing.T) {
	v := newTestView(1, 18)
	var wg sync.WaitGroup
	for worker := range uint64(4) {
		wg.Go(func() {
			for i := range uint64(300) {
				q := generateQuery(i%5, worker*1000+i, 3, 5)
				c, _ := v.Choose(1, q)
				v.AttemptStarted(1, c.Endpoint, q)
				v.Observe(1, proto.Report{Endpoint: c.Endpoint, Incarnation: "1", MatchedBlocks: 3}, q.Blocks)
				v.ObserveFailure(1, c.Endpoint)
				v.AttemptEnded(1, c.Endpoint, q)
			}
		})
	}
	for i := range 5 {
		v.Configure(1, testConfig(14+i))
	}
	wg.Wait()
	if n := v.snap.Load().models["m"].inFlight.Load(); n != 0 {
		t.Errorf("%d attempts in flight, want 0", n)
	}
}

func BenchmarkConfigure(b *testing.B) {
	cfg := testConfig(600)
	for b.Loop() {
		NewView(ViewConfig{}).Configure(0, cfg)
	}
}
