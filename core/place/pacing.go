package place

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// promptChunkTokens is how much of a prompt engines process between two events of
	// the streams that they run.
	promptChunkTokens = 1024
	// minHarmTokens is the least number of tokens that are processed for which the
	// delay of other streams is computed.
	minHarmTokens = 256
	// slowedFactor is the slowdown from which an endpoint shows nothing about its usual
	// speed.
	slowedFactor = 1.5
	// delayWeight is the cost of a delay of other streams that breaks no bound, compared
	// to the same delay of the request. At 0.3, simulated routers sent more streams to
	// endpoints that are slowed now and then, as these have fewer others.
	delayWeight = 0.1
	// pacedRecompute multiplies Costs.RecomputedToken. Estimates of the time to process
	// a prompt are lower than the constant, and near saturation simulated routers
	// recomputed ten times as many tokens without it.
	pacedRecompute = 4
	// stallIntervals is the number of usual times between events without any event
	// after which an endpoint with streams in progress counts as interrupted. It is at
	// least minStall, as single events may come later by that.
	stallIntervals = 5
	minStall       = 40 * time.Millisecond
	// Callers abandon a stream after leastPatience, latencyPatience times the target
	// latency or gapPatience times the permitted gap, whichever is longest. A late
	// stream costs as much as that wait.
	leastPatience   = 2 * time.Second
	latencyPatience = 4
	gapPatience     = 8
)

// patience returns after which time the caller of a stream with these bounds
// abandons it.
func patience(latency, gap time.Duration) time.Duration {
	return max(leastPatience, latencyPatience*latency, gapPatience*gap)
}

// pacedService is what concerns the pace of the endpoints of one service.
type pacedService struct {
	estimates *pace.Service
	// gap is the least gap that any route of the service permits, or 0; lateCost is
	// the cost of a late stream of that route.
	gap, lateCost time.Duration
	outputs       outputs
}

// pacedServiceOf returns the state of a service and creates it if missing; mu must be
// held.
func (p *Placer) pacedServiceOf(service string) *pacedService {
	s := p.paced[service]
	if s == nil {
		s = &pacedService{estimates: pace.NewService(pace.Prior{
			PromptToken: p.cfg.Costs.PrefillToken, RunningRequest: p.cfg.Costs.RunningRequest,
		}), outputs: newOutputs()}
		s.configure(p, service)
		p.paced[service] = s
	}
	return s
}

// EstimatesPace reports whether endpoints of any service report their slowdown.
func (p *Placer) EstimatesPace() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.paced {
		if s.estimates.Reports() {
			return true
		}
	}
	return false
}

// configure takes over the bounds of the configuration in force; mu must be held.
func (s *pacedService) configure(p *Placer, service string) {
	if p.config == nil {
		return
	}
	gap, latency := p.config.StreamBounds(service)
	s.gap, s.lateCost = gap, patience(latency, gap)
}

// MeasureFirst makes RecordFirstByte take the time to the first byte for the endpoint's
// pace, less the time for which the router itself did not run. A response that shows
// nothing about the pace, such as an error, is not measured.
func (a *Attempt) MeasureFirst(ownDelay time.Duration) { a.measured, a.ownDelay = true, ownDelay }

// observeFirst records when the first event of a stream came; mu must be held.
func (a *Attempt) observeFirst(now proto.Instant, late time.Duration) {
	l := a.load
	if !a.measured || !a.limitsGaps || !l.pace.Active() {
		return
	}
	tokens := a.prefillTokens
	if a.choice.slowdown >= slowedFactor || l.pace.Slowdown(now) >= slowedFactor {
		tokens = 0
	}
	l.pace.ObserveFirst(now, late-a.ownDelay, tokens, a.choice.tokenTime)
}

// ObserveStream records the events of an attempt's stream.
func (p *Placer) ObserveStream(now proto.Instant, a *Attempt, t *pace.Timing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.load != nil && a.limitsGaps && a.load.pace.Active() {
		a.load.pace.ObserveStream(now, t)
	}
}

// ObserveEndpointLoad records the load that an endpoint reported with a response that
// belongs to no attempt. One without a slowdown is ignored.
func (p *Placer) ObserveEndpointLoad(now proto.Instant, e *discovery.Endpoint, r EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[e.ID]; l != nil && l.incarnation == e.Started && r.Slowdown > 0 {
		l.observeLoad(now, r)
	}
}

// view holds what the estimates say about one candidate. It is not active if
// the constants of Costs apply.
type view struct {
	active  bool
	running int
	// slowdown is by which factor work takes longer at this moment, tokenTime the time
	// to process a prompt token, and interval the time between events with one more
	// request, before that without it, all at this moment.
	slowdown         float64
	tokenTime        time.Duration
	before, interval time.Duration
}

// viewOf returns the view of a candidate. The estimates apply to streams with a limit
// for gaps and endpoints that report their slowdown.
func (s *scorer) viewOf(l *load) view {
	if s.q.TargetGap <= 0 || !l.pace.Active() {
		return view{tokenTime: s.placer.cfg.Costs.PrefillToken}
	}
	v := view{active: true, running: l.inFlight + l.othersAt(s.now), slowdown: l.pace.Slowdown(s.now)}
	v.tokenTime = scale(l.pace.PromptToken(), v.slowdown)
	v.before, v.interval = l.pace.Intervals(v.running)
	v.before, v.interval = scale(v.before, v.slowdown), scale(v.interval, v.slowdown)
	return v
}

// recomputedToken returns the cost of a recomputed token apart from its time.
func (s *scorer) recomputedToken(v *view) time.Duration {
	if v.active {
		return pacedRecompute * s.placer.cfg.Costs.RecomputedToken
	}
	return s.placer.cfg.Costs.RecomputedToken
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// pacedWait returns the time until an endpoint begins a new request, by the estimates.
func (s *scorer) pacedWait(l *load, v *view) time.Duration {
	wait := v.before + time.Duration(l.prefillTokens)*v.tokenTime + max(0, l.peerPrefillUntil.Sub(s.now))
	if l.slots > 0 && v.running >= l.slots {
		wait += time.Duration(v.running-l.slots+1) * s.placer.cfg.Costs.QueuedRequest
	}
	return wait + l.interruption(s.now, s.q.Behind, v.before)
}

// interruption returns for how long an endpoint is expected to produce no events, which
// is as long as it has not done so yet, or 0. Only an endpoint with streams of this
// router in progress shows that. The argument behind is Query.Behind.
func (l *load) interruption(now proto.Instant, behind, interval time.Duration) time.Duration {
	if l.inFlight <= len(l.awaitingFirstByte) {
		return 0
	}
	silent := now.Sub(l.response.at()) - behind
	if silent <= max(minStall, stallIntervals*interval) {
		return 0
	}
	return silent
}

// othersAt returns the number of requests of other routers. A report counts less with
// age, in favour of the usual number.
func (l *load) othersAt(now proto.Instant) int {
	usual := l.pace.Others()
	age := now.Sub(l.reportedAt)
	if l.reportedAt == 0 || age >= maxReportAge {
		return int(usual)
	}
	return int(usual + (float64(l.otherInFlight)-usual)*(1-float64(age)/float64(maxReportAge)))
}

// latenessCost returns what the expected lateness at an endpoint costs the callers of
// the request and of the streams that the endpoint runs.
func (s *scorer) latenessCost(c *Choice, l *load, v *view) time.Duration {
	if !v.active {
		return 0
	}
	inTime := 1 - l.pace.GapChance(s.now, s.q.TargetGap-v.interval)
	if target := s.q.TargetLatency; target > 0 {
		inTime *= 1 - l.pace.FirstChance(s.now, target-(c.ExpectedTTFB-c.Lag))
	}
	return scale(patience(s.q.TargetLatency, s.q.TargetGap), 1-inTime) + s.harm(c, l, v)
}

// harm returns what it costs the callers of the streams in progress that the request's
// prompt is processed between their events, and that there is one more request.
func (s *scorer) harm(c *Choice, l *load, v *view) time.Duration {
	delay := float64(c.PrefillTokens)*float64(v.tokenTime) + float64(s.output)*float64(l.pace.Growth())*v.slowdown
	cost := time.Duration(delayWeight * delay * float64(v.running))
	if c.PrefillTokens < minHarmTokens || v.running == 0 || s.service.gap <= 0 {
		return cost
	}
	slack := s.service.gap - v.interval
	chunk := time.Duration(min(c.PrefillTokens, promptChunkTokens)) * v.tokenTime
	more := l.pace.GapChance(s.now, slack-chunk) - l.pace.GapChance(s.now, slack)
	return cost + scale(s.service.lateCost, more*float64(v.running))
}

// promptToken returns the time to process a prompt token; mu must be held.
func (p *Placer) promptToken(l *load) time.Duration {
	if l.pace.Active() {
		return l.pace.PromptToken()
	}
	return p.cfg.Costs.PrefillToken
}
