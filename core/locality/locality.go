// Package locality decides how much of a service's work leaves the failure domain of a
// router, and where to. Work stays while the domain serves it in time. Beyond that, a share
// of the arrivals leaves for each other domain, in proportion to its spare capacity. The
// shares follow the load by an integral controller whose gain falls with the age of the view,
// so that many routers that act on the same old view do not overload a domain together.
//
// The package does no I/O. Its inputs are the loads that endpoints report, the times that
// own arrivals are expected to wait, and summaries of peers in other domains.
package locality

import (
	"math"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// highLoad is the fraction of occupied slots above which a domain counts as overloaded:
	// some of its endpoints queue requests by then. lowLoad is the fraction below which it
	// takes its work back. In between the shares stay as they are.
	highLoad = 0.95
	lowLoad  = 0.8
	// guestLoad is the fraction up to which a domain is offered work of other domains.
	guestLoad = 0.9
	// withdrawFactor is how much faster a share falls than it rises if the domain that it
	// goes to is overloaded, returnFactor if also the own domain has room.
	withdrawFactor = 2
	returnFactor   = 6
	// calmLoad is the fraction below which the cost of leaving rises, up to maxFactor times
	// the constant cost in a domain without load.
	calmLoad  = 0.6
	maxFactor = 3.0
	// leaveFactor is the factor of the cost for requests that are to leave.
	leaveFactor = 0.125
	// lateTolerance is the share of arrivals that may be expected to miss their target in a
	// domain that counts as serving in time.
	lateTolerance = 0.05
	// maxError bounds the deviation that the controller acts on, so that a long queue does
	// not drive the shares far beyond what the overload needs.
	maxError = 0.3
	// loopGain is the gain of the controller over one delay of the loop. An integrator with
	// a delay does not overshoot below 1/e. In the simulation, 0.3 takes an eighth longer to
	// settle, and 0.4 takes a fifth longer with 103 routers and a view of 2 s.
	loopGain = 0.35
	// responseTime is the delay of the loop in addition to the age of the view: running
	// requests have to end before a changed share shows in the load.
	responseTime = 500 * time.Millisecond
	// maxViewAge is the age above which a view of a load counts as unknown.
	maxViewAge = 3 * time.Second
	// forgetTime is the time constant with which the share of a domain of unknown load
	// decays.
	forgetTime = 2 * time.Second
	// maxShare is the largest share of the work that leaves a domain with usable endpoints.
	// The rest shows how these serve.
	maxShare = 0.95
	// minShare is the share below which none is left.
	minShare = 0.005
	// smoothing is the weight of a complete new view of a load in its moving average.
	smoothing = 0.5
	// trendSmoothing is the weight of one change of the load in the average of its changes.
	trendSmoothing = 0.3
	// averageWeight is the weight of one arrival in the averages of size and rank.
	averageWeight = 0.02
	// minWeight and minStep bound the estimate of how fast the average follows.
	minWeight = 0.05
	minStep   = 50 * time.Millisecond
	// maxStep bounds the time that one update accounts for.
	maxStep = time.Second
)

// Mode is how the cost of leaving the domain is set for a service.
type Mode uint8

const (
	// Constant means that the load is unknown and the cost constant.
	Constant Mode = iota
	// Calm means that the domain is well below its capacity and the cost is raised.
	Calm
	// Steady means that the domain serves in time at the constant cost.
	Steady
	// Sharing means that a share of the work leaves.
	Sharing
	// Lost means that the domain has no usable endpoint and all work leaves.
	Lost
)

var modeNames = [...]string{Constant: "constant", Calm: "calm", Steady: "steady", Sharing: "sharing", Lost: "lost"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// Controller holds the state of one router. It is not safe for concurrent use.
type Controller struct {
	own      proto.Domain
	services map[string]*service
	delays   map[proto.Domain]*delay
}

// service is the state of one service.
type service struct {
	mode    Mode
	domains map[proto.Domain]*domain
	// arrivals and late count the own arrivals since the last update, and those of them
	// that no endpoint of the own domain is expected to serve in time, but another one is.
	arrivals, late float64
	lateShare      float64
	// bytes and rank are the averages of the own arrivals.
	bytes, rank float64
	updatedAt   proto.Instant
}

// domain is what is known of a service's endpoints in one failure domain.
type domain struct {
	// slots is the capacity of all listed endpoints, usable that of those that respond.
	slots, usable int
	// load is the average of occupied slots by slots, and may exceed 1 with queued requests.
	load       float64
	observedAt proto.Instant
	// trend is the average change of load per second.
	trend float64
	// averaging is the time constant with which load follows the reports: the fewer slots
	// they cover, the longer.
	averaging time.Duration
	// occupied and seen sum the reports since the last update: requests and slots.
	occupied, seen float64
	// share is the part of the own arrivals that leaves for this domain.
	share float64
}

// New returns a controller for a router of a failure domain.
func New(own proto.Domain) *Controller {
	return &Controller{own: own, services: map[string]*service{}, delays: map[proto.Domain]*delay{}}
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{domains: map[proto.Domain]*domain{}}
		c.services[name] = s
	}
	return s
}

func (s *service) domain(name proto.Domain) *domain {
	d := s.domains[name]
	if d == nil {
		d = &domain{}
		s.domains[name] = d
	}
	return d
}

// Load is a number of requests that endpoints of a service hold, running or queued, and
// the number of slots of these endpoints.
type Load struct {
	Service  string
	Domain   proto.Domain
	Occupied int
	Slots    int
}

// ObserveLoad records a load that an endpoint reported, or that a peer reports for its
// domain.
func (c *Controller) ObserveLoad(now proto.Instant, l Load) {
	if l.Slots <= 0 || l.Occupied < 0 {
		return
	}
	d := c.service(l.Service).domain(l.Domain)
	d.occupied += float64(l.Occupied)
	d.seen += float64(l.Slots)
	d.observedAt = max(d.observedAt, now)
}

// Arrival is a request that arrived at this router.
type Arrival struct {
	Service string
	Bytes   int64
	Rank    int
	// Expected is the least expected time to first byte in the own domain, Elsewhere that
	// in others, Target the longest that is in time; 0 means that there is no target.
	Expected, Elsewhere, Target time.Duration
}

// ObserveArrival records an arrival.
func (c *Controller) ObserveArrival(a Arrival) {
	s := c.service(a.Service)
	s.arrivals++
	if a.Target > 0 && a.Expected > a.Target && a.Elsewhere <= a.Target {
		s.late++
	}
	if s.bytes == 0 {
		s.bytes, s.rank = float64(a.Bytes), float64(a.Rank)
	}
	s.bytes += averageWeight * (float64(a.Bytes) - s.bytes)
	s.rank += averageWeight * (float64(a.Rank) - s.rank)
}

// Capacity is the number of slots of a service's endpoints in one failure domain.
type Capacity struct {
	Service string
	Domain  proto.Domain
	// Slots covers all listed endpoints, Usable those that respond and take requests.
	Slots, Usable int
}

// Change is a change of a service's mode with its inputs.
type Change struct {
	Service  string
	From, To Mode
	// Load and LateShare are those of the own domain, ViewAge is the age of its load.
	Load, LateShare float64
	ViewAge         time.Duration
}

// Update puts the capacities and what was observed since the last update in force. It
// returns the services whose mode changes.
func (c *Controller) Update(now proto.Instant, capacities []Capacity) []Change {
	for _, s := range c.services {
		for _, d := range s.domains {
			d.slots, d.usable = 0, 0
		}
	}
	for _, capacity := range capacities {
		d := c.service(capacity.Service).domain(capacity.Domain)
		d.slots, d.usable = capacity.Slots, capacity.Usable
	}
	var changes []Change
	for name, s := range c.services {
		from := s.mode
		s.update(now, s.domain(c.own))
		if own := s.domain(c.own); s.mode != from {
			changes = append(changes, Change{Service: name, From: from, To: s.mode, Load: own.load, LateShare: s.lateShare, ViewAge: now.Sub(own.observedAt)})
		}
		s.removeUnlisted(now)
	}
	return changes
}

// removeUnlisted removes domains without endpoints once their load is unknown.
func (s *service) removeUnlisted(now proto.Instant) {
	for name, d := range s.domains {
		if d.slots == 0 && !d.isKnown(now) {
			delete(s.domains, name)
		}
	}
}

// isKnown reports whether the load and the capacity of a domain are known.
func (d *domain) isKnown(now proto.Instant) bool {
	return d.observedAt != 0 && now.Sub(d.observedAt) <= maxViewAge
}

// update applies what was observed and moves the shares.
func (s *service) update(now proto.Instant, own *domain) {
	step := min(now.Sub(s.updatedAt), maxStep)
	s.updatedAt = now
	for _, d := range s.domains {
		d.average(step)
	}
	if s.arrivals > 0 {
		weight := smoothing * min(1, s.arrivals/10)
		s.lateShare += weight * (s.late/s.arrivals - s.lateShare)
	}
	s.arrivals, s.late = 0, 0
	switch {
	case own.slots > 0 && own.usable == 0:
		s.shareAll(now, own)
		s.mode = Lost
		return
	case own.usable == 0 || !own.isKnown(now):
		s.forget(step, func(*domain) bool { return true })
		s.mode = Constant
		return
	}
	s.forget(step, func(d *domain) bool { return !d.isKnown(now) })
	s.control(now, step, own)
	s.mode = s.modeFor(own)
}

// average moves the load towards the reports since the last update, by the part of the
// domain's slots that they cover.
func (d *domain) average(step time.Duration) {
	weight := 0.0
	if d.seen > 0 {
		// The square root weighs the noise of few reports against the age of an average
		// of many.
		weight = smoothing * math.Sqrt(min(1, d.seen/float64(max(1, d.slots))))
	}
	rate := max(weight, minWeight) / max(step.Seconds(), minStep.Seconds())
	if d.averaging == 0 {
		d.averaging = time.Duration(float64(time.Second) / rate)
	}
	d.averaging += time.Duration(trendSmoothing * (float64(time.Second)/rate - float64(d.averaging)))
	if weight == 0 {
		return
	}
	before := d.load
	if d.load == 0 {
		d.load = d.occupied / d.seen
	} else if d.load += weight * (d.occupied/d.seen - d.load); step > 0 {
		d.trend += trendSmoothing * weight / smoothing * ((d.load-before)/step.Seconds() - d.trend)
	}
	d.occupied, d.seen = 0, 0
}

// delay returns how long it takes until a changed share shows in the load of a domain.
func (d *domain) delay(now proto.Instant) time.Duration {
	return max(responseTime, d.averaging) + max(0, now.Sub(d.observedAt))
}

// deviation returns by how much a domain is above the load at which work leaves, or below
// that at which it returns; 0 in between. The load counts as it will be once a changed
// share shows, as a queue that already gets shorter needs no larger share.
func (s *service) deviation(now proto.Instant, own *domain) float64 {
	load := max(0, own.load+own.trend*own.delay(now).Seconds())
	over := load - highLoad
	if own.load >= calmLoad { // below, expected times may be wrong, but capacity is not short
		over = max(over, s.lateShare-lateTolerance)
	}
	if over > 0 {
		return min(over, maxError)
	}
	if load < lowLoad && own.load < highLoad {
		return max(load-lowLoad, -maxError)
	}
	return 0
}

// control moves the shares by the deviation of the own domain and those of the others.
func (s *service) control(now proto.Instant, step time.Duration, own *domain) {
	deviation := s.deviation(now, own)
	spare, total := s.spare(now, own), s.totalShare()
	for _, d := range s.domains {
		if d == own || !d.isKnown(now) {
			continue
		}
		rate := loopGain * float64(step) / float64(max(own.delay(now), d.delay(now)))
		switch {
		case deviation > 0 && spare > 0:
			d.share += rate * deviation * d.spare() / spare
		case deviation < 0 && total > 0:
			d.share += rate * deviation * d.share / total
		}
		if over := min(d.load-highLoad, maxError); over > 0 {
			if deviation < 0 {
				over *= returnFactor / withdrawFactor
			}
			d.share -= withdrawFactor * rate * over
		}
	}
	s.boundShares(deviation <= 0)
}

// boundShares limits the shares and their sum. If they do not rise, it removes negligible
// ones.
func (s *service) boundShares(removeSmall bool) {
	for _, d := range s.domains {
		if d.usable == 0 || d.share < 0 || removeSmall && d.share < minShare {
			d.share = 0
		}
	}
	if total := s.totalShare(); total > maxShare {
		for _, d := range s.domains {
			d.share *= maxShare / total
		}
	}
}

// shareAll gives each other domain a share by its spare capacity, or by its capacity if
// none has spare capacity.
func (s *service) shareAll(now proto.Instant, own *domain) {
	spare, usable := s.spare(now, own), 0
	for _, d := range s.domains {
		usable += d.usable
	}
	for _, d := range s.domains {
		switch {
		case spare > 0 && d != own && d.isKnown(now):
			d.share = d.spare() / spare
		case spare > 0 || usable == 0:
			d.share = 0
		default:
			d.share = float64(d.usable) / float64(usable)
		}
	}
}

// forget lets the shares of some domains decay.
func (s *service) forget(step time.Duration, which func(*domain) bool) {
	for _, d := range s.domains {
		if which(d) {
			d.share *= math.Exp(-float64(step) / float64(forgetTime))
		}
	}
}

// spare returns the spare slots of a domain for guests.
func (d *domain) spare() float64 { return max(0, guestLoad-d.load) * float64(d.usable) }

// spare returns the spare slots of the other domains whose loads are known.
func (s *service) spare(now proto.Instant, own *domain) float64 {
	sum := 0.0
	for _, d := range s.domains {
		if d != own && d.isKnown(now) {
			sum += d.spare()
		}
	}
	return sum
}

func (s *service) totalShare() float64 {
	sum := 0.0
	for _, d := range s.domains {
		sum += d.share
	}
	return sum
}

func (s *service) modeFor(own *domain) Mode {
	switch {
	case s.totalShare() > 0:
		return Sharing
	case own.load < calmLoad && s.lateShare <= lateTolerance:
		return Calm
	}
	return Steady
}
