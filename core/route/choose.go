package route

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/member"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Reasons of choices.
const (
	reasonSeen     = "holds the prefix"
	reasonHome     = "home of the prefix"
	reasonLoad     = "shortest wait"
	reasonUnknown  = "home of the prefix, load unknown"
	reasonFallback = "no home available"
	reasonService  = "shortest wait of the service"
)

// decision is the working state of one Choose.
type decision struct {
	view *View
	snap *snapshot
	now  proto.Instant
	q    *Query
	// list holds the candidates found so far.
	list  [maxCandidates]candidate
	count int
	// known is the greatest depth that the recall table has an entry for.
	known int
	// bestSeen indexes the trusted holder of the most blocks, or is -1.
	bestSeen int
	bound    int64
}

// Choose implements Placer. It fails with CauseUnknownModel,
// CauseUnknownRoute for an unknown service, CauseNoEndpoint, or CauseOverload
// if no endpoint can start an answer within the deadline; with CauseOverload
// the choice's Wait tells the shortest time to first token.
func (v *View) Choose(now proto.Instant, q Query) (Choice, proto.Cause) {
	s := v.snap.Load()
	g := s.group(q)
	if g == nil {
		return Choice{}, missingGroup(s, q)
	}
	d := decision{view: v, snap: s, now: now, q: &q, bestSeen: -1}
	if q.Class == proto.ClassCall {
		return d.service(g)
	}
	return d.generate(g)
}

func missingGroup(s *snapshot, q Query) proto.Cause {
	if q.Class == proto.ClassCall {
		return proto.CauseUnknownRoute
	}
	if _, known := s.known[q.Model]; known {
		return proto.CauseNoEndpoint
	}
	return proto.CauseUnknownModel
}

func (d *decision) generate(g *group) (Choice, proto.Cause) {
	mean := float64(g.inFlight.Load()+1) / float64(len(g.members))
	d.bound = int64(math.Ceil(boundFactor*mean)) + boundSlack
	d.collect(g)
	if d.count == 0 {
		d.addRandom(g, shortChoices)
	}
	d.evaluate()
	best := d.best()
	// Once waiting costs twice what computing the whole prompt does, all homes
	// are tried. An earlier limit scatters prefixes, none leaves them at
	// overloaded homes when a failure domain is lost.
	if best >= 0 && d.list[best].wait > 2*d.view.prefill(d.q.PromptTokens) {
		d.addAllHomes(g)
		d.evaluate()
		best = d.best()
	}
	reason := ""
	if best < 0 {
		d.fallback(g)
		best, reason = d.best(), reasonFallback
	}
	if best < 0 {
		return Choice{}, proto.CauseNoEndpoint
	}
	if reason == "" {
		best, reason = d.settle(best)
	}
	if d.late(best) {
		best, reason = d.rescue(g, best, reason)
	}
	return d.admit(g, best, reason)
}

// late reports whether a candidate is known to miss the caller's deadline. An
// endpoint whose load is not known is given the benefit of the doubt, as a
// wrongful refusal costs more than a late answer.
func (d *decision) late(i int) bool {
	c := &d.list[i]
	return d.q.Timeout > 0 && c.first > d.q.Timeout && c.knownAt(d.now, staleAfter)
}

// rescue looks for a candidate, then for any member, that meets the deadline.
func (d *decision) rescue(g *group, best int, reason string) (int, string) {
	for i := range d.list[:d.count] {
		if c := &d.list[i]; c.usable && !d.late(i) {
			return i, reasonLoad
		}
	}
	kept := d.list[best]
	d.fallback(g)
	if d.count > 0 && d.list[0].first < kept.first {
		return 0, reasonLoad
	}
	d.list[0], d.count = kept, 1
	return 0, reason
}

// collect adds the homes and the remembered holders. What is known at depths
// above the homes only completes these candidates: many endpoints hold the
// first blocks of an account, and to choose one for them would scatter what
// follows.
func (d *decision) collect(g *group) {
	first := min(homeDepth, len(d.q.Blocks))
	next := first
	var entry recallEntry
	for _, depth := range depths {
		if depth < first {
			continue
		}
		if depth > len(d.q.Blocks) {
			break
		}
		hash := uint64(d.q.Blocks[depth-1])
		known := d.view.recall.get(hash, &entry)
		if known {
			d.known = depth
			d.addHolders(&entry, depth, true)
		}
		if depth != next {
			continue
		}
		spread := 0
		if known {
			spread = int(entry.spread)
		}
		d.addHomes(g, hash, depth, spread)
		if d.snap.leastWait(d.now, g, hash, maxHomes) > d.view.prefill(int64(depth)*PieceTokens) {
			next = 2 * depth
		}
	}
	for depth := 1; depth < first; depth++ {
		if d.view.recall.get(uint64(d.q.Blocks[depth-1]), &entry) {
			d.known = max(d.known, depth)
			d.addHolders(&entry, depth, false)
		}
	}
}

// addHolders takes in what is known of a block, and adds its holders as
// candidates if add is set.
func (d *decision) addHolders(entry *recallEntry, depth int, add bool) {
	for i := range entry.holders {
		h := &entry.holders[i]
		if h.tag == 0 || int(h.num) >= len(d.snap.byNum) {
			continue
		}
		e := d.snap.byNum[h.num]
		if e == nil || e.tag.Load() != h.tag {
			continue
		}
		c := d.find(e)
		if c == nil && add {
			c = d.add(e)
		}
		if c != nil {
			d.learn(c, h, depth)
		}
	}
}

// learn takes in what is known of a candidate and a block at depth.
func (d *decision) learn(c *candidate, h *holder, depth int) {
	age := d.now.Sub(h.at)
	if h.absent {
		if age < staleAfter && (c.absentFrom == 0 || depth < c.absentFrom) {
			c.absentFrom = depth
		}
		return
	}
	trust := confidence(age)
	c.held = max(c.held, float64(depth)*trust)
	if trust >= importConfidence {
		c.seen = max(c.seen, depth)
	}
}

// addHomes adds the homes of a depth, the first spread+1 of them as likely
// holders and one more on standby.
func (d *decision) addHomes(g *group, hash uint64, depth, spread int) {
	for rank, index := range g.of(hash) {
		if rank > spread+1 {
			return
		}
		c := d.add(d.snap.endpoints[index])
		if c == nil {
			return
		}
		chance := prior(depth)
		if rank > spread+1 {
			chance *= standbyPrior
		}
		if gain := float64(depth) * chance; gain > float64(c.home)*c.chance {
			c.home, c.chance = depth, chance
		}
	}
}

// addAllHomes adds the homes beyond the spread at homeDepth.
func (d *decision) addAllHomes(g *group) {
	depth := min(homeDepth, len(d.q.Blocks))
	if depth == 0 {
		return
	}
	for _, index := range g.of(uint64(d.q.Blocks[depth-1])) {
		c := d.add(d.snap.endpoints[index])
		if c != nil && c.home == 0 {
			c.home, c.chance = depth, prior(depth)*standbyPrior
		}
	}
}

// addRandom adds members for their load.
func (d *decision) addRandom(g *group, n int) {
	for range n {
		d.add(d.snap.endpoints[g.members[d.view.draw()%uint64(len(g.members))]])
	}
}

// fallback considers all members; it runs when no home can take the request.
func (d *decision) fallback(g *group) {
	best := candidate{score: math.Inf(1)}
	for _, index := range g.members {
		c := candidate{endpoint: d.snap.endpoints[index]}
		d.price(&c)
		if c.usable && c.score < best.score {
			best = c
		}
	}
	d.count = 0
	if best.endpoint != nil {
		d.list[0], d.count = best, 1
	}
}

func (d *decision) find(e *endpoint) *candidate {
	for i := range d.list[:d.count] {
		if d.list[i].endpoint == e {
			return &d.list[i]
		}
	}
	return nil
}

// add returns the candidate of an endpoint, or nil if there is no room.
func (d *decision) add(e *endpoint) *candidate {
	if c := d.find(e); c != nil {
		return c
	}
	if d.count == maxCandidates {
		return nil
	}
	c := &d.list[d.count]
	c.endpoint = e
	d.count++
	return c
}

func (d *decision) evaluate() {
	for i := range d.list[:d.count] {
		c := &d.list[i]
		if c.seen == 0 || c.standingAt(d.now) != member.Healthy {
			continue
		}
		if d.bestSeen < 0 || c.seen > d.list[d.bestSeen].seen {
			d.bestSeen = i
		}
	}
	for i := range d.list[:d.count] {
		d.list[i].combine()
		d.price(&d.list[i])
	}
}

// price fills in the expected time to first token and the score.
func (d *decision) price(c *candidate) {
	standing := c.standingAt(d.now)
	c.usable = standing < member.Unhealthy && !c.leaving &&
		c.serves(d.now, d.q.Model, d.q.Version) && !slices.Contains(d.q.Exclude, c.id)
	if !c.usable {
		return
	}
	c.wait = d.wait(c, standing)
	compute := d.compute(c)
	c.first = c.wait + compute
	policy := &d.snap.policy
	c.score = policy.TTFTWeight*float64(c.first) + policy.CacheHitWeight*float64(compute)
	c.overBound = c.inFlight.Load() >= d.bound
}

func (d *decision) wait(c *candidate, standing member.Health) time.Duration {
	costs := &d.view.cfg.Costs
	waiting := c.inFlight.Load()
	if report := c.report.Load(); report != nil && d.now.Sub(report.at) < staleAfter {
		waiting = max(waiting, int64(report.waiting))
	}
	wait := c.queueAt(d.now) + time.Duration(waiting)*costs.PendingRequest
	if c.domain != d.view.cfg.Domain {
		wait += costs.CrossDomain
	}
	c.doubted = standing == member.Doubtful || d.now < proto.Instant(c.health.doubtUntil.Load())
	if c.doubted {
		wait += doubtCost
	}
	return wait
}

// compute returns the time to prefill what is missed, or to import it where
// that is cheaper.
func (d *decision) compute(c *candidate) time.Duration {
	costs := &d.view.cfg.Costs
	missed := max(0, float64(d.q.PromptTokens)-c.expected*PieceTokens)
	least := time.Duration(missed * float64(costs.PrefillToken))
	c.imports = false
	try := func(source proto.KVSource, perToken time.Duration) {
		gained := (float64(source.Blocks) - c.expected) * PieceTokens
		gained = min(gained, missed)
		if gained <= 0 {
			return
		}
		cost := costs.ImportSetup + time.Duration(gained*float64(perToken)+(missed-gained)*float64(costs.PrefillToken))
		if cost < least {
			least, c.source, c.imports = cost, source, true
		}
	}
	if d.bestSeen >= 0 && d.list[d.bestSeen].endpoint != c.endpoint {
		peer := &d.list[d.bestSeen]
		try(proto.KVSource{Endpoint: peer.id, Blocks: peer.seen}, costs.PeerToken)
	}
	if d.view.cfg.HasKVStore && d.known > 0 {
		try(proto.KVSource{Blocks: d.known}, costs.StoreToken)
	}
	return least
}

// best returns the index of the usable candidate with the least score, within
// the load bound where possible, or -1.
func (d *decision) best() int {
	best := -1
	for i := range d.list[:d.count] {
		c := &d.list[i]
		if !c.usable {
			continue
		}
		if best < 0 || d.better(c, &d.list[best]) {
			best = i
		}
	}
	return best
}

func (d *decision) better(a, b *candidate) bool {
	if a.overBound != b.overBound {
		return b.overBound
	}
	return a.score < b.score
}

// settle returns the final candidate. Where the best never reported, it draws
// among the homes of the same depth, so that many new routers do not all
// choose the same endpoint.
func (d *decision) settle(best int) (int, string) {
	b := &d.list[best]
	if b.report.Load() != nil || b.home == 0 || b.inFlight.Load() > 0 {
		return best, b.reason()
	}
	chosen, drawn := best, uint64(0)
	for i := range d.list[:d.count] {
		c := &d.list[i]
		if !c.usable || c.overBound || c.doubted || c.home != b.home {
			continue
		}
		if draw := d.view.draw(); draw >= drawn {
			chosen, drawn = i, draw
		}
	}
	return chosen, reasonUnknown
}

func (c *candidate) reason() string {
	switch {
	case c.seen > 0:
		return reasonSeen
	case c.expected > 0:
		return reasonHome
	}
	return reasonLoad
}

// admit turns a candidate into a Choice, unless it is known to be late.
func (d *decision) admit(g *group, best int, reason string) (Choice, proto.Cause) {
	c := &d.list[best]
	choice := Choice{Endpoint: c.id, MatchedBlocks: c.seen, ExpectedDelay: c.first, Reason: reason}
	if d.late(best) {
		return choice, proto.CauseOverload
	}
	if c.imports {
		source := c.source
		choice.ImportFrom = &source
	}
	choice.ProbeEndpoints = d.probes(g, best)
	return choice, ""
}

// probes returns the agents to ask: the chosen one and the next best homes,
// unless the load of the chosen one is known and at most one block is not
// known to be there. A probe costs a round trip, a block that another home
// holds costs far more.
func (d *decision) probes(g *group, best int) []proto.EndpointID {
	c := &d.list[best]
	sure := c.knownAt(d.now, staleAfter) && c.seen+1 >= len(d.q.Blocks)
	if sure || len(d.q.Blocks) == 0 {
		return nil
	}
	ids := make([]proto.EndpointID, 0, maxProbes)
	for next := best; len(ids) < maxProbes && next >= 0; next = d.best() {
		c := &d.list[next]
		if c.expected == 0 {
			break
		}
		c.usable = false
		if !d.certain(c) {
			ids = append(ids, c.id)
		}
	}
	return d.probeFurther(g, ids)
}

// probeFurther adds homes that are no candidates. They may hold the prefix
// from a time at which the better homes were busy.
func (d *decision) probeFurther(g *group, ids []proto.EndpointID) []proto.EndpointID {
	depth := min(homeDepth, len(d.q.Blocks))
	for _, index := range g.of(uint64(d.q.Blocks[depth-1])) {
		if len(ids) >= maxProbes {
			break
		}
		e := d.snap.endpoints[index]
		if d.find(e) == nil && !e.leaving && e.standingAt(d.now) < member.Unhealthy {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// certain reports whether a probe would tell nothing new of a candidate.
func (d *decision) certain(c *candidate) bool {
	matchKnown := c.seen+1 >= len(d.q.Blocks) || c.absentFrom > 0
	return matchKnown && c.knownAt(d.now, staleAfter)
}
