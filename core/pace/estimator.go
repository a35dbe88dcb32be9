package pace

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxTokenFactor is by how much the observed time to process a prompt token may
	// differ from the prior in either direction: a greater difference is due to
	// something else.
	maxTokenFactor = 16
	// minPromptTokens is the least number of tokens from which the processing rate
	// is estimated: for fewer, other delays prevail.
	minPromptTokens = 256
	// delayMemory is how long the delays of one endpoint count in full or in part.
	// Then it counts as an average one, so that an endpoint that was avoided
	// gets work again.
	delayMemory = 30 * time.Second
)

// Prior holds the estimates before anything was observed.
type Prior struct {
	// PromptToken is the time to process one prompt token.
	PromptToken time.Duration
	// RunningRequest is the time that each running request adds between two events
	// of a stream.
	RunningRequest time.Duration
}

// rates are observations of which estimates are averages.
type rates struct {
	interval line
	token    average
	others   average
}

// estimates are what the observations and the prior amount to.
type estimates struct {
	interval     fit
	token        float64
	others       float64
	gaps, firsts exceedance
}

func (r *rates) apply(to, prior *estimates) {
	to.interval, to.token, to.others = r.interval.fit(prior.interval), r.token.mean(prior.token), r.others.mean(prior.others)
}

// Service holds what is known of the endpoints of a service together, at the speed of an
// endpoint whose usual slowdown is 100. It is the
// prior of each of them, so that one that is not known yet is neither preferred
// to nor avoided in favour of the others. Its delays are those of the median
// endpoint: some bad ones must not make an unknown one look bad, as it would then
// get no work that shows the opposite.
type Service struct {
	rates
	prior, current estimates
	// reports is set once an endpoint has reported its slowdown.
	reports bool
	// usual is the average of the usual slowdowns of the endpoints.
	usual average
}

// NewService returns the state of a service of which nothing was observed.
func NewService(p Prior) *Service {
	s := &Service{prior: estimates{
		interval: fit{slope: float64(p.RunningRequest)}, token: float64(p.PromptToken), gaps: punctual, firsts: punctual,
	}}
	s.current = s.prior
	return s
}

// Reports reports whether endpoints of the service report their slowdown.
func (s *Service) Reports() bool { return s.reports }

// Estimator estimates the pace of one incarnation of an endpoint. It keeps times as they would
// be at a usual slowdown of 100, so that what endpoints of other speeds have shown counts for it. It is not safe
// for concurrent use, nor are estimators of the same service.
type Estimator struct {
	rates
	gaps, firsts distribution
	current      estimates
	service      *Service
	slowdown     slowdown
	// observedAt is when a response was observed last, or 0.
	observedAt proto.Instant
	// silent is set if the endpoint reports its load without a slowdown.
	silent bool
}

// NewEstimator returns the estimator of a new incarnation of an endpoint.
func (s *Service) NewEstimator() *Estimator { return &Estimator{service: s, slowdown: newSlowdown()} }

// Active reports whether the estimates apply: endpoints of the service report
// their slowdown, and this one does unless it has not responded yet.
func (e *Estimator) Active() bool { return e.service.reports && !e.silent }

// ObserveLoad records a reported load: the number of requests of other routers, and
// the slowdown, or 0 if there was none.
func (e *Estimator) ObserveLoad(now proto.Instant, others, slowdown int) {
	e.silent = slowdown <= 0
	if e.silent {
		return
	}
	e.service.reports = true
	if e.slowdown.reports == 0 {
		e.slowdown.begin(slowdown, e.service.usual.mean(usualSlowdown))
	}
	e.slowdown.observe(now, slowdown)
	e.service.usual.add(e.slowdown.usual)
	e.others.add(float64(others))
	e.service.others.add(float64(others))
	e.observed(now)
}

// ObserveFirst records the first event of a response that came later than expected
// by late, where tokens were expected to be processed in tokenTime each.
func (e *Estimator) ObserveFirst(now proto.Instant, late time.Duration, tokens int64, tokenTime time.Duration) {
	speed := e.slowdown.speed()
	e.firsts.add(scale(late, 1/speed))
	if tokens >= minPromptTokens {
		prior := e.service.prior.token
		took := clamp((float64(tokenTime)+float64(late)/float64(tokens))/speed, prior/maxTokenFactor, prior*maxTokenFactor)
		e.token.add(took)
		e.service.token.add(took)
	}
	e.observed(now)
}

// ObserveStream records a stream's events.
func (e *Estimator) ObserveStream(now proto.Instant, t *Timing) {
	if t.Events < 2 {
		return
	}
	speed := e.slowdown.speed()
	if t.Events > 2 {
		// Without the longest gap, as that tells of interruptions.
		interval := float64(t.Duration()-t.LongestGap) / float64(t.Events-2) / speed
		running := float64(t.runningSum) / float64(t.Events)
		e.interval.add(running, interval)
		e.service.interval.add(running, interval)
	}
	excess := scale(t.LongestGap-t.GapOwnDelay, 1/speed) - time.Duration(e.estimates().interval.at(float64(t.GapRunning)))
	e.gaps.add(excess)
	e.observed(now)
}

func (e *Estimator) observed(now proto.Instant) {
	e.observedAt = now
	s := e.service
	s.apply(&s.current, &s.prior)
	e.apply(&e.current, &s.current)
	e.current.gaps, e.current.firsts = e.gaps.exceedance(&s.current.gaps), e.firsts.exceedance(&s.current.firsts)
	s.current.gaps.follow(&e.current.gaps)
	s.current.firsts.follow(&e.current.firsts)
}

// estimates returns those of the endpoint, or of the service if there are none.
func (e *Estimator) estimates() *estimates {
	if e.observedAt == 0 {
		return &e.service.current
	}
	return &e.current
}

// Interval returns the time between two events of a stream at the usual speed, with
// a number of running requests.
func (e *Estimator) Interval(running int) time.Duration {
	return e.atSpeed(e.estimates().interval.at(float64(running)))
}

// Intervals returns Interval for a number of running requests, and for one more.
func (e *Estimator) Intervals(running int) (now, next time.Duration) {
	f := &e.estimates().interval
	return e.atSpeed(f.at(float64(running))), e.atSpeed(f.at(float64(running + 1)))
}

// atSpeed returns a time at the endpoint's usual speed.
func (e *Estimator) atSpeed(t float64) time.Duration { return time.Duration(t * e.slowdown.speed()) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// Growth returns by how much one more running request lengthens the time between two
// events at the usual speed.
func (e *Estimator) Growth() time.Duration { return e.atSpeed(e.estimates().interval.slope) }

// PromptToken returns the time to process one prompt token at the usual speed.
func (e *Estimator) PromptToken() time.Duration { return e.atSpeed(e.estimates().token) }

// Others returns the usual number of requests of other routers.
func (e *Estimator) Others() float64 { return e.estimates().others }

// Slowdown returns by which factor work takes longer than usual at this moment.
func (e *Estimator) Slowdown(now proto.Instant) float64 { return e.slowdown.current(now) }

// GapChance returns the share of streams of which a gap exceeds the usual time
// between events by more than slack.
func (e *Estimator) GapChance(now proto.Instant, slack time.Duration) float64 {
	return e.chance(now, slack, &e.service.current.gaps, &e.current.gaps)
}

// FirstChance returns the share of responses whose first event is later than
// expected by more than slack.
func (e *Estimator) FirstChance(now proto.Instant, slack time.Duration) float64 {
	return e.chance(now, slack, &e.service.current.firsts, &e.current.firsts)
}

func (e *Estimator) chance(now proto.Instant, slack time.Duration, service, own *exceedance) float64 {
	if slack <= 0 {
		return 1
	}
	i, part := locate(scale(slack, 1/e.slowdown.speed()))
	all := service.chanceAt(i, part)
	age := now.Sub(e.observedAt)
	if e.observedAt == 0 || age >= delayMemory {
		return all
	}
	return all + (own.chanceAt(i, part)-all)*(1-float64(age)/float64(delayMemory))
}
