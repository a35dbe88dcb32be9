package pace

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// usualSlowdown is the figure of an endpoint that works at its usual speed.
	usualSlowdown = 100
	// usualStep is the relative step by which the usual figure follows the reports, and
	// firstUsualStep, divided by the number of reports, that of the first ones.
	usualStep, firstUsualStep = 0.03, 0.5
	// minUsual and maxUsual bound the usual figure.
	minUsual, maxUsual = 10, 1000
	// slowedFrom is the ratio to an endpoint's usual figure from which it counts as
	// slowed.
	slowedFrom = 1.5
	// minRatio and maxRatio bound the ratio, as the figure may be any number.
	minRatio = 0.25
	maxRatio = 100
	// priorValidity is how long a reported slowdown counts before any repetition was
	// observed: endpoints are slowed for some tenths of a second at a time.
	priorValidity = 300 * time.Millisecond
	// minValidity and maxValidity bound the observed validity.
	minValidity = 100 * time.Millisecond
	maxValidity = 2 * time.Second
	// validityWeight is the weight of a new observation of the validity.
	validityWeight = 0.2
)

// slowdown is the reported slowdown of one endpoint. It counts in full when it was
// reported, and less with age, until it is no longer valid.
type slowdown struct {
	// usual follows the median of the reported figures, which short slowdowns do not
	// move.
	usual float64
	// reports is the number of reports.
	reports  int
	ratio    float64
	at       proto.Instant
	validity time.Duration
	// slowedSince is when the first of the last reports of a slowdown came, or 0.
	slowedSince proto.Instant
}

func newSlowdown() slowdown { return slowdown{usual: usualSlowdown, ratio: 1, validity: priorValidity} }

// begin sets the usual figure from the first report, unless that is far above the one of the
// other endpoints: then the endpoint is slowed at this moment.
func (s *slowdown) begin(figure int, others float64) {
	s.usual = others
	if float64(figure) < slowedFrom*others {
		s.usual = clamp(float64(figure), minUsual, maxUsual)
	}
}

// speed returns by which factor the usual time of work is longer than at the figure 100.
func (s *slowdown) speed() float64 { return s.usual / usualSlowdown }

func (s *slowdown) observe(now proto.Instant, figure int) {
	s.reports++
	step := max(usualStep, firstUsualStep/float64(s.reports+1))
	ratio := clamp(float64(figure)/s.usual, minRatio, maxRatio)
	s.observeDuration(now, ratio >= slowedFrom)
	switch {
	case float64(figure) > s.usual:
		s.usual = min(s.usual*(1+step), max(s.usual, min(float64(figure), maxUsual)))
	case float64(figure) < s.usual:
		s.usual = max(s.usual*(1-step), min(s.usual, max(float64(figure), minUsual)))
	}
	s.ratio, s.at = ratio, now
}

// observeDuration moves the validity towards the time for which a slowdown was seen to
// last, if it is longer, or after which it was over, if it is shorter.
func (s *slowdown) observeDuration(now proto.Instant, slowed bool) {
	if s.slowedSince == 0 || now.Sub(s.at) > maxValidity {
		s.slowedSince = 0
		if slowed {
			s.slowedSince = now
		}
		return
	}
	if d := now.Sub(s.slowedSince); slowed == (d > s.validity) {
		moved := s.validity + time.Duration(validityWeight*float64(d-s.validity))
		s.validity = min(max(moved, minValidity), maxValidity)
	}
	if !slowed {
		s.slowedSince = 0
	}
}

// current returns by which factor work takes longer than usual.
func (s *slowdown) current(now proto.Instant) float64 {
	age := now.Sub(s.at)
	if s.at == 0 || age >= s.validity {
		return 1
	}
	return 1 + (s.ratio-1)*(1-float64(age)/float64(s.validity))
}
