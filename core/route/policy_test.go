package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fakeEngine prefills one request at a time and caches its most recently used blocks.
type fakeEngine struct {
	id          proto.EndpointID
	incarnation int
	busyUntil   proto.Instant
	// lastUsed holds the cached blocks, at most maxBlocks.
	lastUsed  map[proto.BlockHash]proto.Instant
	maxBlocks int
}

// matched returns the number of leading blocks that the engine caches.
func (e *fakeEngine) matched(blocks []proto.BlockHash) int {
	for i, b := range blocks {
		if _, ok := e.lastUsed[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (e *fakeEngine) report(now proto.Instant, blocks []proto.BlockHash) proto.Report {
	queued := max(0, e.busyUntil.Sub(now)) / DefaultCosts().PrefillToken
	return proto.Report{Endpoint: e.id, Incarnation: proto.Incarnation(fmt.Sprint(e.incarnation)), QueuedTokens: int64(queued), MatchedBlocks: e.matched(blocks)}
}

// run serves a request. It returns the time to first token and the number of tokens
// prefilled. imported is the number of leading blocks available from a peer, or 0.
func (e *fakeEngine) run(now proto.Instant, q Query, imported int) (time.Duration, int64) {
	costs := DefaultCosts()
	cached := e.matched(q.Blocks)
	work := time.Duration(0)
	if imported > cached {
		work = costs.ImportSetup + time.Duration((imported-cached)*PieceTokens)*costs.PeerToken
		cached = imported
	}
	prefilled := q.PromptTokens - int64(cached)*PieceTokens
	work += time.Duration(prefilled) * costs.PrefillToken
	e.busyUntil = max(e.busyUntil, now).Add(work)
	for i := len(q.Blocks) - 1; i >= 0; i-- {
		e.lastUsed[q.Blocks[i]] = now
	}
	for len(e.lastUsed) > e.maxBlocks {
		oldest, at := proto.BlockHash(0), proto.Never
		for b, lastUsed := range e.lastUsed {
			if lastUsed < at || lastUsed == at && b < oldest {
				oldest, at = b, lastUsed
			}
		}
		delete(e.lastUsed, oldest)
	}
	return e.busyUntil.Sub(now), prefilled
}

// promptTokens is the length of every prompt: 10 blocks and a remainder.
const promptTokens = 20_500

// simulation runs requests through one placement policy, under one condition, with 18
// fake engines and 3 routers.
type simulation struct {
	policy         string
	condition      string
	views          []*View
	engines        []*fakeEngine
	pendingReports []reportEvent
	nextEngine     int
	// requests and probes count the requests and the probes of the policy "view".
	requests, probes int
	// laggedQueues holds the engines' queue delays, which are updated every 200 ms.
	laggedQueues []time.Duration
}

// reportEvent is a report that reaches a router at a given time.
type reportEvent struct {
	at     proto.Instant
	view   *View
	report proto.Report
	blocks []proto.BlockHash
}

// measurements holds the results of a simulation.
type measurements struct {
	// hitRate is the share of prompt tokens that were not prefilled. wasted is the
	// share that was prefilled although another engine cached it.
	hitRate, wasted float64
	// afterChange is the hit rate of the first 100 requests of the first router
	// after 30 s, peersAfterChange that of its peers at the same time.
	afterChange, peersAfterChange float64
	p50, p95, p99                 time.Duration
}

func (sim *simulation) engine(id proto.EndpointID) *fakeEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.id == id })]
}

func (sim *simulation) newViews(seed uint64) {
	if sim.policy != "view" && sim.views != nil {
		return // the baselines use only the rankings of a view
	}
	sim.views = nil
	for i := range uint64(3) {
		sim.views = append(sim.views, newTestView(seed*10+i, len(sim.engines)))
	}
}

// place returns the engine for a request and the number of leading blocks that it can
// import.
func (sim *simulation) place(now proto.Instant, v *View, q Query) (*fakeEngine, int) {
	switch sim.policy {
	case "round robin":
		sim.nextEngine++
		return sim.engines[sim.nextEngine%len(sim.engines)], 0
	case "least loaded":
		return sim.lowest(func(i int, _ *fakeEngine) float64 { return float64(sim.laggedQueues[i]) }), 0
	case "whole hash":
		return sim.home(v, q, len(q.Blocks)), 0
	case "shared hash":
		return sim.home(v, q, 6), 0
	case "oracle":
		return sim.lowest(func(_ int, e *fakeEngine) float64 {
			uncached := q.PromptTokens - int64(e.matched(q.Blocks))*PieceTokens
			return float64(max(0, e.busyUntil.Sub(now))) + 2*float64(uncached)*float64(DefaultCosts().PrefillToken)
		}), 0
	}
	c, _ := v.Choose(now, q)
	sim.requests++
	sim.probes += len(c.ProbeEndpoints)
	if len(c.ProbeEndpoints) > 0 {
		for _, id := range c.ProbeEndpoints {
			v.Observe(now, sim.engine(id).report(now, q.Blocks), q.Blocks)
		}
		c, _ = v.Choose(now, q)
	}
	imported := 0
	if c.ImportFrom != nil {
		imported = min(c.ImportFrom.Blocks, sim.engine(c.ImportFrom.Endpoint).matched(q.Blocks))
	}
	v.AttemptStarted(now, c.Endpoint, q)
	return sim.engine(c.Endpoint), imported
}

// home returns the first home of the prefix with the given number of blocks.
func (sim *simulation) home(v *View, q Query, depth int) *fakeEngine {
	s := v.snap.Load()
	return sim.engine(s.endpoints[s.models["m"].forBlock(uint64(q.Blocks[depth-1]))[0]].id)
}

// lowest returns the engine with the lowest score.
func (sim *simulation) lowest(score func(int, *fakeEngine) float64) *fakeEngine {
	best, lowest := 0, math.Inf(1)
	for i, e := range sim.engines {
		if s := score(i, e); s < lowest {
			best, lowest = i, s
		}
	}
	return sim.engines[best]
}

// run serves 60 s of requests at the given rate per second.
func (sim *simulation) run(seed uint64, rate float64) measurements {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range 18 {
		sim.engines = append(sim.engines, &fakeEngine{id: proto.EndpointID(fmt.Sprintf("e%d", i)), lastUsed: map[proto.BlockHash]proto.Instant{}, maxBlocks: 120})
	}
	sim.laggedQueues = make([]time.Duration, len(sim.engines))
	sim.newViews(seed)
	var result measurements
	var ttfts []time.Duration
	var prompt, prefilled, wasted int64
	var afterChange, counted [2]int64
	end, nextLagUpdate, changed := 60*second, proto.Instant(0), false
	for now := proto.Instant(0); now < end; now = now.Add(time.Duration(random.ExpFloat64() / rate * 1e9)) {
		if !changed && now > 30*second {
			changed = true
			sim.applyCondition(seed)
		}
		if now >= nextLagUpdate {
			nextLagUpdate = now.Add(200 * time.Millisecond)
			for i, e := range sim.engines {
				sim.laggedQueues[i] = max(0, e.busyUntil.Sub(now))
			}
		}
		sim.deliverReports(now)
		q := sim.request(now, random)
		v := sim.views[random.IntN(len(sim.views))]
		mostCached := 0
		for _, e := range sim.engines {
			mostCached = max(mostCached, e.matched(q.Blocks))
		}
		e, imported := sim.place(now, v, q)
		reportBefore := e.report(now, q.Blocks)
		ttft, missed := e.run(now, q, imported)
		sim.pendingReports = append(sim.pendingReports, reportEvent{now.Add(3 * time.Millisecond), v, reportBefore, q.Blocks}, reportEvent{now.Add(ttft), v, e.report(now.Add(ttft), q.Blocks), q.Blocks})
		if changed && counted[0] < 100 {
			peer := min(1, slices.Index(sim.views, v))
			counted[peer]++
			afterChange[peer] += missed
		}
		if now > 10*second {
			ttfts = append(ttfts, ttft)
			prompt += q.PromptTokens
			prefilled += missed
			wasted += max(0, missed-(q.PromptTokens-int64(mostCached)*PieceTokens))
		}
	}
	slices.Sort(ttfts)
	quantile := func(share float64) time.Duration {
		return ttfts[int(share*float64(len(ttfts)-1))].Round(time.Millisecond)
	}
	result.afterChange = 1 - float64(afterChange[0])/float64(counted[0]*promptTokens)
	result.peersAfterChange = 1 - float64(afterChange[1])/float64(counted[1]*promptTokens)
	result.hitRate = 1 - float64(prefilled)/float64(prompt)
	result.wasted = float64(wasted) / float64(prompt)
	result.p50, result.p95, result.p99 = quantile(0.5), quantile(0.95), quantile(0.99)
	return result
}

// applyCondition applies the restart or the crash of the condition, if it has one.
func (sim *simulation) applyCondition(seed uint64) {
	switch sim.condition {
	case "restart":
		sim.newViews(seed + 100)
		sim.pendingReports = nil
	case "restart one":
		sim.views[0] = newTestView(seed+1000, len(sim.engines))
	case "crash":
		for _, e := range sim.engines[:2] {
			clear(e.lastUsed)
			e.incarnation++
		}
	}
}

// deliverReports delivers the reports that are due.
func (sim *simulation) deliverReports(now proto.Instant) {
	slices.SortStableFunc(sim.pendingReports, func(a, b reportEvent) int { return int(a.at - b.at) })
	for len(sim.pendingReports) > 0 && sim.pendingReports[0].at <= now {
		event := sim.pendingReports[0]
		sim.pendingReports = sim.pendingReports[1:]
		if sim.policy == "view" {
			event.view.Observe(event.at, event.report, event.blocks)
		}
		if event.blocks != nil && event.report.MatchedBlocks == len(event.blocks) {
			event.view.AttemptEnded(event.at, event.report.Endpoint, Query{Class: proto.ClassGenerate, Model: "m"})
		}
	}
}

// request returns a random prompt of nested prefixes: 2 blocks of one of 5 client
// accounts, 4 of one of 20 catalogs of decreasing popularity, 2 of a session and 2
// unique blocks.
func (sim *simulation) request(now proto.Instant, random *rand.Rand) Query {
	account := uint64(random.IntN(5))
	catalog := uint64(20 * math.Pow(random.Float64(), 3))
	if sim.condition == "hot shift" {
		catalog += uint64(now/(3*second)) * 7
	}
	session := uint64(now/(10*second))*50 + uint64(random.IntN(50))
	unique := random.Uint64()
	var pieces []uint64
	for i, part := range []uint64{account, account, catalog, catalog, catalog, catalog, session, session, unique, unique} {
		pieces = append(pieces, mix(part+uint64(i+1)<<40))
	}
	return Query{Account: "a", Class: proto.ClassGenerate, Model: "m", PromptTokens: promptTokens, Blocks: ChainHashes(Salt{Account: "a"}, pieces)}
}

// Guards against a change that makes the policy worse than the baselines with a few
// fake engines; -v logs the measurements. "whole hash" hashes the whole prefix; "shared
// hash" is given the depth up to which requests share blocks, which no router knows.
func TestPolicyAgainstBaselines(t *testing.T) {
	for seed := range uint64(3) {
		for _, condition := range []string{"calm", "hot shift", "restart", "crash"} {
			t.Run(fmt.Sprintf("%s %d", condition, seed+1), func(t *testing.T) {
				t.Parallel()
				results := map[string]measurements{}
				for _, policy := range []string{"round robin", "least loaded", "whole hash", "shared hash", "view", "oracle"} {
					run := simulation{policy: policy, condition: condition}
					m := run.run(seed+1, 12)
					results[policy] = m
					t.Logf("%-12s hit %.3f wasted %.3f p50 %v p95 %v p99 %v probes %d/%d", policy, m.hitRate, m.wasted, m.p50, m.p95, m.p99, run.probes, run.requests)
				}
				checkBaselines(t, condition, results)
			})
		}
	}
}

// checkBaselines compares the policy "view" with the baselines.
func checkBaselines(t *testing.T, condition string, results map[string]measurements) {
	t.Helper()
	v := results["view"]
	for _, baseline := range []string{"round robin", "least loaded", "whole hash"} {
		b := results[baseline]
		if v.p99 >= b.p99 || v.hitRate <= b.hitRate || v.wasted >= b.wasted/3 {
			t.Errorf("%s: %+v is no better than %s with %+v", condition, v, baseline, b)
		}
	}
	if v.p99 >= results["shared hash"].p99 {
		t.Errorf("%s: p99 %v is no better than that of a hash of the shared prefix", condition, v.p99)
	}
}

// Guards against a restarted router that chooses endpoints without the cached prefix
// where its peers choose those with it (warm-restart). Its hit rate over its first 100
// requests may be at most 0.02 below its peers', as a mean of 20 seeds.
func TestWarmRestart(t *testing.T) {
	t.Parallel()
	afterChange, peersAfterChange := 0.0, 0.0
	const seeds = 20
	var all [seeds]measurements
	var group sync.WaitGroup
	for seed := range all {
		group.Go(func() {
			run := simulation{policy: "view", condition: "restart one"}
			all[seed] = run.run(uint64(seed)+1, 12)
		})
	}
	group.Wait()
	for _, m := range all {
		afterChange += m.afterChange / seeds
		peersAfterChange += m.peersAfterChange / seeds
	}
	t.Logf("hit rate %.3f over 100 requests after a restart, peers %.3f", afterChange, peersAfterChange)
	if afterChange < peersAfterChange-0.02 {
		t.Errorf("hit rate %.3f over 100 requests after a restart, peers %.3f", afterChange, peersAfterChange)
	}
}
