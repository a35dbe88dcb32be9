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

// fakeEngine prefills one request after another and keeps its most recently
// used blocks.
type fakeEngine struct {
	id    proto.EndpointID
	life  int
	busy  proto.Instant
	used  map[proto.BlockHash]proto.Instant
	limit int
}

func (e *fakeEngine) matched(blocks []proto.BlockHash) int {
	for i, b := range blocks {
		if _, ok := e.used[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (e *fakeEngine) report(now proto.Instant, blocks []proto.BlockHash) proto.Report {
	queued := max(0, e.busy.Sub(now)) / DefaultCosts().PrefillToken
	return proto.Report{Endpoint: e.id, Incarnation: proto.Incarnation(fmt.Sprint(e.life)), QueuedTokens: int64(queued), MatchedBlocks: e.matched(blocks)}
}

// run returns the time to first token and the tokens prefilled.
func (e *fakeEngine) run(now proto.Instant, q Query, imported int) (time.Duration, int64) {
	costs := DefaultCosts()
	held := e.matched(q.Blocks)
	work := time.Duration(0)
	if imported > held {
		work = costs.ImportSetup + time.Duration((imported-held)*PieceTokens)*costs.PeerToken
		held = imported
	}
	missed := q.PromptTokens - int64(held)*PieceTokens
	work += time.Duration(missed) * costs.PrefillToken
	e.busy = max(e.busy, now).Add(work)
	for i := len(q.Blocks) - 1; i >= 0; i-- {
		e.used[q.Blocks[i]] = now
	}
	for len(e.used) > e.limit {
		oldest, at := proto.BlockHash(0), proto.Never
		for b, used := range e.used {
			if used < at || used == at && b < oldest {
				oldest, at = b, used
			}
		}
		delete(e.used, oldest)
	}
	return e.busy.Sub(now), missed
}

// promptTokens is the length of every prompt: 10 blocks and a tail.
const promptTokens = 20_500

type trial struct {
	policy    string
	condition string
	views     []*View
	engines   []*fakeEngine
	events    []observation
	turn      int
	// requests and probes count what the view policy asked for.
	requests, probes int
	lagged           []time.Duration
}

type observation struct {
	at     proto.Instant
	view   *View
	report proto.Report
	blocks []proto.BlockHash
}

type figures struct {
	hit, wasted float64
	// after is the hit rate of the first 100 requests of the first router
	// after 30 s, peers that of its peers at the same time.
	after, peers  float64
	p50, p95, p99 time.Duration
}

func (t *trial) engine(id proto.EndpointID) *fakeEngine {
	return t.engines[slices.IndexFunc(t.engines, func(e *fakeEngine) bool { return e.id == id })]
}

func (t *trial) newViews(seed uint64) {
	if t.policy != "view" && t.views != nil {
		return // the baselines use no more of a view than its rankings
	}
	t.views = nil
	for i := range uint64(3) {
		t.views = append(t.views, newTestView(seed*10+i, len(t.engines)))
	}
}

// place returns the engine for a request and the blocks it imports.
func (t *trial) place(now proto.Instant, v *View, q Query) (*fakeEngine, int) {
	switch t.policy {
	case "round robin":
		t.turn++
		return t.engines[t.turn%len(t.engines)], 0
	case "least loaded":
		return t.least(func(i int, _ *fakeEngine) float64 { return float64(t.lagged[i]) }), 0
	case "whole hash":
		return t.home(v, q, len(q.Blocks)), 0
	case "shared hash":
		return t.home(v, q, 6), 0
	case "oracle":
		return t.least(func(_ int, e *fakeEngine) float64 {
			missed := q.PromptTokens - int64(e.matched(q.Blocks))*PieceTokens
			return float64(max(0, e.busy.Sub(now))) + 2*float64(missed)*float64(DefaultCosts().PrefillToken)
		}), 0
	}
	c, _ := v.Choose(now, q)
	t.requests++
	t.probes += len(c.ProbeEndpoints)
	if len(c.ProbeEndpoints) > 0 {
		for _, id := range c.ProbeEndpoints {
			v.Observe(now, t.engine(id).report(now, q.Blocks), q.Blocks)
		}
		c, _ = v.Choose(now, q)
	}
	imported := 0
	if c.ImportFrom != nil {
		imported = min(c.ImportFrom.Blocks, t.engine(c.ImportFrom.Endpoint).matched(q.Blocks))
	}
	v.AttemptStarted(now, c.Endpoint, q)
	return t.engine(c.Endpoint), imported
}

func (t *trial) home(v *View, q Query, depth int) *fakeEngine {
	s := v.snap.Load()
	return t.engine(s.endpoints[s.models["m"].of(uint64(q.Blocks[depth-1]))[0]].id)
}

func (t *trial) least(score func(int, *fakeEngine) float64) *fakeEngine {
	best, least := 0, math.Inf(1)
	for i, e := range t.engines {
		if s := score(i, e); s < least {
			best, least = i, s
		}
	}
	return t.engines[best]
}

// run serves 60 s of requests at the given rate per second.
func (t *trial) run(seed uint64, rate float64) figures {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range 18 {
		t.engines = append(t.engines, &fakeEngine{id: proto.EndpointID(fmt.Sprintf("e%d", i)), used: map[proto.BlockHash]proto.Instant{}, limit: 120})
	}
	t.lagged = make([]time.Duration, len(t.engines))
	t.newViews(seed)
	var f figures
	var firsts []time.Duration
	var prompt, prefilled, wasted int64
	var after, counted [2]int64
	end, lagAt, changed := 60*second, proto.Instant(0), false
	for now := proto.Instant(0); now < end; now = now.Add(time.Duration(random.ExpFloat64() / rate * 1e9)) {
		if !changed && now > 30*second {
			changed = true
			t.change(seed)
		}
		if now >= lagAt {
			lagAt = now.Add(200 * time.Millisecond)
			for i, e := range t.engines {
				t.lagged[i] = max(0, e.busy.Sub(now))
			}
		}
		t.deliver(now)
		q := t.request(now, random)
		v := t.views[random.IntN(len(t.views))]
		held := 0
		for _, e := range t.engines {
			held = max(held, e.matched(q.Blocks))
		}
		e, imported := t.place(now, v, q)
		before := e.report(now, q.Blocks)
		first, missed := e.run(now, q, imported)
		t.events = append(t.events, observation{now.Add(3 * time.Millisecond), v, before, q.Blocks}, observation{now.Add(first), v, e.report(now.Add(first), q.Blocks), q.Blocks})
		if changed && counted[0] < 100 {
			peer := min(1, slices.Index(t.views, v))
			counted[peer]++
			after[peer] += missed
		}
		if now > 10*second {
			firsts = append(firsts, first)
			prompt += q.PromptTokens
			prefilled += missed
			wasted += max(0, missed-(q.PromptTokens-int64(held)*PieceTokens))
		}
	}
	slices.Sort(firsts)
	at := func(share float64) time.Duration {
		return firsts[int(share*float64(len(firsts)-1))].Round(time.Millisecond)
	}
	f.after = 1 - float64(after[0])/float64(counted[0]*promptTokens)
	f.peers = 1 - float64(after[1])/float64(counted[1]*promptTokens)
	f.hit = 1 - float64(prefilled)/float64(prompt)
	f.wasted = float64(wasted) / float64(prompt)
	f.p50, f.p95, f.p99 = at(0.5), at(0.95), at(0.99)
	return f
}

func (t *trial) change(seed uint64) {
	switch t.condition {
	case "restart":
		t.newViews(seed + 100)
		t.events = nil
	case "restart one":
		t.views[0] = newTestView(seed+1000, len(t.engines))
	case "crash":
		for _, e := range t.engines[:2] {
			clear(e.used)
			e.life++
		}
	}
}

func (t *trial) deliver(now proto.Instant) {
	slices.SortStableFunc(t.events, func(a, b observation) int { return int(a.at - b.at) })
	for len(t.events) > 0 && t.events[0].at <= now {
		o := t.events[0]
		t.events = t.events[1:]
		if t.policy == "view" {
			o.view.Observe(o.at, o.report, o.blocks)
		}
		if o.blocks != nil && o.report.MatchedBlocks == len(o.blocks) {
			o.view.AttemptEnded(o.at, o.report.Endpoint, Query{Class: proto.ClassGenerate, Model: "m"})
		}
	}
}

// request draws a prompt of nested prefixes: 2 blocks of one of 5 accounts, 4
// of one of 20 catalogues of falling popularity, 2 of a session and 2 unique.
func (t *trial) request(now proto.Instant, random *rand.Rand) Query {
	account := uint64(random.IntN(5))
	catalogue := uint64(20 * math.Pow(random.Float64(), 3))
	if t.condition == "hot shift" {
		catalogue += uint64(now/(3*second)) * 7
	}
	session := uint64(now/(10*second))*50 + uint64(random.IntN(50))
	unique := random.Uint64()
	var pieces []uint64
	for i, part := range []uint64{account, account, catalogue, catalogue, catalogue, catalogue, session, session, unique, unique} {
		pieces = append(pieces, mix(part+uint64(i+1)<<40))
	}
	return Query{Account: "a", Class: proto.ClassGenerate, Model: "m", PromptTokens: promptTokens, Blocks: ChainHashes(Salt{Account: "a"}, pieces)}
}

// Guards against a change that makes the policy worse than its baselines in a
// small fake fleet; -v prints the figures. "whole hash" hashes the whole
// prefix; "shared hash" is told the depth up to which requests share blocks,
// which no router knows.
func TestPolicyAgainstBaselines(t *testing.T) {
	for seed := range uint64(3) {
		for _, condition := range []string{"calm", "hot shift", "restart", "crash"} {
			t.Run(fmt.Sprintf("%s %d", condition, seed+1), func(t *testing.T) {
				t.Parallel()
				results := map[string]figures{}
				for _, policy := range []string{"round robin", "least loaded", "whole hash", "shared hash", "view", "oracle"} {
					run := trial{policy: policy, condition: condition}
					f := run.run(seed+1, 12)
					results[policy] = f
					t.Logf("%-12s hit %.3f wasted %.3f p50 %v p95 %v p99 %v probes %d/%d", policy, f.hit, f.wasted, f.p50, f.p95, f.p99, run.probes, run.requests)
				}
				checkBaselines(t, condition, results)
			})
		}
	}
}

func checkBaselines(t *testing.T, condition string, results map[string]figures) {
	t.Helper()
	v := results["view"]
	for _, baseline := range []string{"round robin", "least loaded", "whole hash"} {
		b := results[baseline]
		if v.p99 >= b.p99 || v.hit <= b.hit || v.wasted >= b.wasted/3 {
			t.Errorf("%s: %+v is no better than %s with %+v", condition, v, baseline, b)
		}
	}
	if v.p99 >= results["shared hash"].p99 {
		t.Errorf("%s: p99 %v is no better than that of a hash of the shared prefix", condition, v.p99)
	}
}

// Guards against a restarted router that misses what its peers would hit
// (warm-restart): at most 0.02 below them over its first 100 requests, as a
// mean of 20 seeds.
func TestWarmRestart(t *testing.T) {
	t.Parallel()
	after, peers := 0.0, 0.0
	const seeds = 20
	var all [seeds]figures
	var group sync.WaitGroup
	for seed := range all {
		group.Go(func() {
			run := trial{policy: "view", condition: "restart one"}
			all[seed] = run.run(uint64(seed)+1, 12)
		})
	}
	group.Wait()
	for _, f := range all {
		after += f.after / seeds
		peers += f.peers / seeds
	}
	t.Logf("hit rate %.3f over 100 requests after a restart, peers %.3f", after, peers)
	if after < peers-0.02 {
		t.Errorf("hit rate %.3f over 100 requests after a restart, peers %.3f", after, peers)
	}
}
