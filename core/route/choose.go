package route

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Values of Choice.Reason. They are stored in the audit record.
const (
	reasonCached   = "holds the prefix"
	reasonHome     = "home of the prefix"
	reasonLoad     = "shortest wait"
	reasonUnknown  = "home of the prefix, load unknown"
	reasonFallback = "no home available"
	reasonService  = "shortest wait of the service"
)

// decision is the working state of one call of Choose.
type decision struct {
	view *View
	snap *snapshot
	now  proto.Instant
	q    *Query
	// candidates holds the candidates found so far, in its first count elements.
	candidates [maxCandidates]candidate
	count      int
	// recorded is the greatest depth at which the cache table has an entry.
	recorded int
	// importPeer is the index of the healthy candidate with the most trusted
	// blocks, or -1 if there is none.
	importPeer int
	// loadBound is the number of this router's attempts in flight from which an
	// endpoint is chosen only if every usable candidate has as many.
	loadBound int64
}

// Choose implements Placer. It fails with CauseUnknownModel, with CauseUnknownRoute
// for an unknown service, with CauseNoEndpoint, or with CauseOverload if no endpoint
// can start a response before the deadline. With CauseOverload, the choice's
// ExpectedDelay is the shortest expected delay.
func (v *View) Choose(now proto.Instant, q Query) (Choice, proto.Cause) {
	s := v.snap.Load()
	g := s.group(q)
	if g == nil {
		return Choice{}, missingGroupCause(s, q)
	}
	d := decision{view: v, snap: s, now: now, q: &q, importPeer: -1}
	if q.Class == proto.ClassCall {
		return d.chooseService(g)
	}
	return d.chooseEngine(g)
}

// missingGroupCause returns why no endpoint serves the model or service of a request.
func missingGroupCause(s *snapshot, q Query) proto.Cause {
	if q.Class == proto.ClassCall {
		return proto.CauseUnknownRoute
	}
	if _, configured := s.configured[q.Model]; configured {
		return proto.CauseNoEndpoint
	}
	return proto.CauseUnknownModel
}

// chooseEngine chooses an endpoint for a generation.
func (d *decision) chooseEngine(g *group) (Choice, proto.Cause) {
	mean := float64(g.inFlight.Load()+1) / float64(len(g.members))
	d.loadBound = int64(math.Ceil(loadBoundFactor*mean)) + loadBoundSlack
	d.collectCandidates(g)
	if d.count == 0 {
		d.addRandom(g, randomCandidates)
	}
	d.evaluate()
	best := d.best()
	// If the delay exceeds twice the time to prefill the whole prompt, all homes are
	// considered. A lower limit would scatter prefixes; without a limit, they would
	// stay at overloaded homes after the loss of a failure domain.
	if best >= 0 && d.candidates[best].startDelay > 2*d.view.prefillTime(d.q.PromptTokens) {
		d.addAllHomes(g)
		d.evaluate()
		best = d.best()
	}
	reason := ""
	if best < 0 {
		d.considerAll(g)
		best, reason = d.best(), reasonFallback
	}
	if best < 0 {
		return Choice{}, proto.CauseNoEndpoint
	}
	if reason == "" {
		best, reason = d.randomizeUnreported(best)
	}
	if d.missesDeadline(best) {
		best, reason = d.findInTime(g, best, reason)
	}
	return d.newChoice(g, best, reason)
}

// missesDeadline reports whether a candidate is known to miss the caller's deadline.
// An endpoint without a recent report is assumed to meet it, because a wrongful
// refusal costs more than a late response.
func (d *decision) missesDeadline(i int) bool {
	c := &d.candidates[i]
	return d.q.Timeout > 0 && c.delay > d.q.Timeout && c.hasReport(d.now, maxReportAge)
}

// findInTime looks for a candidate that meets the deadline. If there is none, it
// considers all members, and keeps the best candidate unless a member is faster.
func (d *decision) findInTime(g *group, best int, reason string) (int, string) {
	for i := range d.candidates[:d.count] {
		if c := &d.candidates[i]; c.usable && !d.missesDeadline(i) {
			return i, reasonLoad
		}
	}
	kept := d.candidates[best]
	d.considerAll(g)
	if d.count > 0 && d.candidates[0].delay < kept.delay {
		return 0, reasonLoad
	}
	d.candidates[0], d.count = kept, 1
	return 0, reason
}

// collectCandidates adds the home endpoints and those with a record of a block.
// Records at depths below homeDepth only complete these candidates: many endpoints
// cache the first blocks of a client account, and choosing one of them for that would
// scatter the longer prefixes.
func (d *decision) collectCandidates(g *group) {
	firstDepth := min(homeDepth, len(d.q.Blocks))
	nextHomeDepth := firstDepth
	var entry cacheEntry
	for _, depth := range indexedDepths {
		if depth < firstDepth {
			continue
		}
		if depth > len(d.q.Blocks) {
			break
		}
		hash := uint64(d.q.Blocks[depth-1])
		recorded := d.view.cacheTable.get(hash, &entry)
		if recorded {
			d.recorded = depth
			d.applyEntry(&entry, depth, true)
		}
		if depth != nextHomeDepth {
			continue
		}
		spread := 0
		if recorded {
			spread = int(entry.spread)
		}
		d.addHomes(g, hash, depth, spread)
		if d.snap.minQueueDelay(d.now, g, hash, maxHomes) > d.view.prefillTime(int64(depth)*PieceTokens) {
			nextHomeDepth = 2 * depth
		}
	}
	for depth := 1; depth < firstDepth; depth++ {
		if d.view.cacheTable.get(uint64(d.q.Blocks[depth-1]), &entry) {
			d.recorded = max(d.recorded, depth)
			d.applyEntry(&entry, depth, false)
		}
	}
}

// applyEntry applies the recorded states of a block to the candidates. If
// addCandidate is set, it adds the recorded endpoints as candidates.
func (d *decision) applyEntry(entry *cacheEntry, depth int, addCandidate bool) {
	for i := range entry.states {
		state := &entry.states[i]
		if state.tag == 0 || int(state.number) >= len(d.snap.byNumber) {
			continue
		}
		e := d.snap.byNumber[state.number]
		if e == nil || e.tag.Load() != state.tag {
			continue
		}
		c := d.findCandidate(e)
		if c == nil && addCandidate {
			c = d.addCandidate(e)
		}
		if c != nil {
			d.applyState(c, state, depth)
		}
	}
}

// applyState applies the recorded state of the block at depth to a candidate.
func (d *decision) applyState(c *candidate, state *cacheState, depth int) {
	age := d.now.Sub(state.at)
	if state.absent {
		if age < maxReportAge && (c.absentFrom == 0 || depth < c.absentFrom) {
			c.absentFrom = depth
		}
		return
	}
	probability := cachedProbability(age)
	c.recordedBlocks = max(c.recordedBlocks, float64(depth)*probability)
	if probability >= minImportProbability {
		c.trustedBlocks = max(c.trustedBlocks, depth)
	}
}

// addHomes adds the homes of a prefix that are in use, which are the first spread+1,
// and one more on standby. The one on standby counts like the others: it takes over
// sooner when a home in use is lost or busy, which keeps the tail short.
func (d *decision) addHomes(g *group, hash uint64, depth, spread int) {
	standby := spread + 1
	for rank, index := range g.forBlock(hash) {
		if rank > standby {
			return
		}
		c := d.addCandidate(d.snap.endpoints[index])
		if c == nil {
			return
		}
		homeProbability := prior(depth)
		if gain := float64(depth) * homeProbability; gain > float64(c.homeAtDepth)*c.homeProbability {
			c.homeAtDepth, c.homeProbability = depth, homeProbability
		}
	}
}

// addAllHomes adds all homes at homeDepth, also those beyond the spread.
func (d *decision) addAllHomes(g *group) {
	depth := min(homeDepth, len(d.q.Blocks))
	if depth == 0 {
		return
	}
	for _, index := range g.forBlock(uint64(d.q.Blocks[depth-1])) {
		c := d.addCandidate(d.snap.endpoints[index])
		if c != nil && c.homeAtDepth == 0 {
			c.homeAtDepth, c.homeProbability = depth, prior(depth)*standbyFactor
		}
	}
}

// addRandom adds up to n random members.
func (d *decision) addRandom(g *group, n int) {
	for range n {
		d.addCandidate(d.snap.endpoints[g.members[d.view.random()%uint64(len(g.members))]])
	}
}

// considerAll replaces the candidates by the usable member with the least score. It is
// used if no candidate can take the request, or none in time.
func (d *decision) considerAll(g *group) {
	best := candidate{score: math.Inf(1)}
	for _, index := range g.members {
		c := candidate{endpoint: d.snap.endpoints[index]}
		d.estimate(&c)
		if c.usable && c.score < best.score {
			best = c
		}
	}
	d.count = 0
	if best.endpoint != nil {
		d.candidates[0], d.count = best, 1
	}
}

// findCandidate returns the candidate of an endpoint, or nil if there is none.
func (d *decision) findCandidate(e *endpoint) *candidate {
	for i := range d.candidates[:d.count] {
		if d.candidates[i].endpoint == e {
			return &d.candidates[i]
		}
	}
	return nil
}

// addCandidate returns the candidate of an endpoint, which it adds if necessary. It
// returns nil if there are maxCandidates others.
func (d *decision) addCandidate(e *endpoint) *candidate {
	if c := d.findCandidate(e); c != nil {
		return c
	}
	if d.count == maxCandidates {
		return nil
	}
	c := &d.candidates[d.count]
	c.endpoint = e
	d.count++
	return c
}

// evaluate finds the peer to import from and estimates all candidates.
func (d *decision) evaluate() {
	for i := range d.candidates[:d.count] {
		c := &d.candidates[i]
		if c.trustedBlocks == 0 || c.healthAt(d.now) != member.Healthy {
			continue
		}
		if d.importPeer < 0 || c.trustedBlocks > d.candidates[d.importPeer].trustedBlocks {
			d.importPeer = i
		}
	}
	for i := range d.candidates[:d.count] {
		d.candidates[i].estimateBlocks()
		d.estimate(&d.candidates[i])
	}
}

// estimate sets whether a candidate is usable, its expected delays and its score.
func (d *decision) estimate(c *candidate) {
	health := c.healthAt(d.now)
	c.usable = health < member.Unhealthy && !c.leaving &&
		c.mayServe(d.now, d.q.Model, d.q.Version) && !slices.Contains(d.q.Exclude, c.id)
	if !c.usable {
		return
	}
	c.startDelay = d.startDelay(c, health)
	promptTime := d.promptTime(c)
	c.delay = c.startDelay + promptTime
	policy := &d.snap.policy
	c.score = policy.TTFTWeight*float64(c.delay) + policy.CacheHitWeight*float64(promptTime)
	c.overLoadBound = c.inFlight.Load() >= d.loadBound
}

// startDelay returns the expected time until a candidate starts the prompt's prefill.
func (d *decision) startDelay(c *candidate, health member.Health) time.Duration {
	costs := &d.view.cfg.Costs
	pending := c.inFlight.Load()
	if report := c.report.Load(); report != nil && d.now.Sub(report.at) < maxReportAge {
		pending = max(pending, int64(report.pending))
	}
	startDelay := c.queueDelay(d.now) + time.Duration(pending)*costs.PendingRequest
	if c.domain != d.view.cfg.Domain {
		startDelay += costs.CrossDomain
	}
	c.doubtful = health == member.Doubtful || d.now < proto.Instant(c.domainHealth.doubtfulUntil.Load())
	if c.doubtful {
		startDelay += doubtfulPenalty
	}
	return startDelay
}

// promptTime returns the time to prefill the tokens that a candidate does not cache,
// or to import some of them from a peer or the KV store if that takes less time.
func (d *decision) promptTime(c *candidate) time.Duration {
	costs := &d.view.cfg.Costs
	uncached := max(0, float64(d.q.PromptTokens)-c.expectedBlocks*PieceTokens)
	shortest := time.Duration(uncached * float64(costs.PrefillToken))
	c.useImport = false
	tryImport := func(importSource proto.KVSource, perToken time.Duration) {
		imported := (float64(importSource.Blocks) - c.expectedBlocks) * PieceTokens
		imported = min(imported, uncached)
		if imported <= 0 {
			return
		}
		duration := costs.ImportSetup + time.Duration(imported*float64(perToken)+(uncached-imported)*float64(costs.PrefillToken))
		if duration < shortest {
			shortest, c.importSource, c.useImport = duration, importSource, true
		}
	}
	if d.importPeer >= 0 && d.candidates[d.importPeer].endpoint != c.endpoint {
		peer := &d.candidates[d.importPeer]
		tryImport(proto.KVSource{Endpoint: peer.id, Blocks: peer.trustedBlocks}, costs.PeerToken)
	}
	if d.view.cfg.HasKVStore && d.recorded > 0 {
		tryImport(proto.KVSource{Blocks: d.recorded}, costs.StoreToken)
	}
	return shortest
}

// best returns the index of the usable candidate with the least score, within the load
// bound if possible, or -1 if none is usable.
func (d *decision) best() int {
	best := -1
	for i := range d.candidates[:d.count] {
		c := &d.candidates[i]
		if !c.usable {
			continue
		}
		if best < 0 || d.better(c, &d.candidates[best]) {
			best = i
		}
	}
	return best
}

// better reports whether a is a better candidate than b.
func (d *decision) better(a, b *candidate) bool {
	if a.overLoadBound != b.overLoadBound {
		return b.overLoadBound
	}
	return a.score < b.score
}

// randomizeUnreported returns the candidate to choose and the reason. If the best one
// never reported, it chooses at random among the homes of the same depth, so that
// many new routers do not all choose the same endpoint.
func (d *decision) randomizeUnreported(best int) (int, string) {
	b := &d.candidates[best]
	if b.report.Load() != nil || b.homeAtDepth == 0 || b.inFlight.Load() > 0 {
		return best, b.reason()
	}
	chosen, highest := best, uint64(0)
	for i := range d.candidates[:d.count] {
		c := &d.candidates[i]
		if !c.usable || c.overLoadBound || c.doubtful || c.homeAtDepth != b.homeAtDepth {
			continue
		}
		if random := d.view.random(); random >= highest {
			chosen, highest = i, random
		}
	}
	return chosen, reasonUnknown
}

func (c *candidate) reason() string {
	switch {
	case c.trustedBlocks > 0:
		return reasonCached
	case c.expectedBlocks > 0:
		return reasonHome
	}
	return reasonLoad
}

// newChoice returns the Choice for a candidate, with CauseOverload if the candidate is
// known to miss the deadline.
func (d *decision) newChoice(g *group, best int, reason string) (Choice, proto.Cause) {
	c := &d.candidates[best]
	choice := Choice{Endpoint: c.id, MatchedBlocks: c.trustedBlocks, ExpectedDelay: c.delay, Reason: reason}
	if d.missesDeadline(best) {
		return choice, proto.CauseOverload
	}
	if c.useImport {
		importSource := c.importSource
		choice.ImportFrom = &importSource
	}
	choice.ProbeEndpoints = d.probeEndpoints(g, best)
	return choice, ""
}

// probeEndpoints returns the endpoints to probe: the chosen one and the next best
// homes, unless the chosen one has reported its load recently and all blocks but at
// most one are recorded there. A probe costs one round trip; prefilling a block that
// another home caches costs far more.
func (d *decision) probeEndpoints(g *group, best int) []proto.EndpointID {
	c := &d.candidates[best]
	known := c.hasReport(d.now, maxReportAge) && c.trustedBlocks+1 >= len(d.q.Blocks)
	if known || len(d.q.Blocks) == 0 {
		return nil
	}
	ids := make([]proto.EndpointID, 0, maxProbes)
	for next := best; len(ids) < maxProbes && next >= 0; next = d.best() {
		c := &d.candidates[next]
		if c.expectedBlocks == 0 {
			break
		}
		c.usable = false
		if !d.needsNoProbe(c) {
			ids = append(ids, c.id)
		}
	}
	return d.addHomeProbes(g, ids)
}

// addHomeProbes adds homes that are not candidates. They may cache the prefix from a
// time at which the better homes were busy.
func (d *decision) addHomeProbes(g *group, ids []proto.EndpointID) []proto.EndpointID {
	depth := min(homeDepth, len(d.q.Blocks))
	for _, index := range g.forBlock(uint64(d.q.Blocks[depth-1])) {
		if len(ids) >= maxProbes {
			break
		}
		e := d.snap.endpoints[index]
		if d.findCandidate(e) == nil && !e.leaving && e.healthAt(d.now) < member.Unhealthy {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// needsNoProbe reports whether a candidate's load and matching blocks are known without
// a probe.
func (d *decision) needsNoProbe(c *candidate) bool {
	matchKnown := c.trustedBlocks+1 >= len(d.q.Blocks) || c.absentFrom > 0
	return matchKnown && c.hasReport(d.now, maxReportAge)
}
