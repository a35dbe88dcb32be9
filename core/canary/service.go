package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// goneTime is how long no endpoint of the established release is registered before
	// another release may take its place without an order. Endpoints that crash are back
	// within seconds.
	goneTime = 10 * time.Second
	// otherRolloutTime is how long after a peer's last report of another rollout of the
	// service that one counts as running.
	otherRolloutTime = 5 * time.Second
)

// release is what is known of the endpoints of one release.
type release struct {
	// endpoints holds the IDs of those that do not leave, oldest is the earliest start.
	endpoints []proto.EndpointID
	domains   map[proto.EndpointID]proto.Domain
	oldest    int64
}

// service is the state of one service.
type service struct {
	name     string
	releases map[string]*release
	// established is the release that all requests go to without a rollout; known is set
	// once it is.
	established string
	known       bool
	// goneSince is when the established release had its last endpoint, or 0. seen is set
	// once this process has seen an endpoint of it.
	goneSince proto.Instant
	seen      bool
	// blocked is a release that the last status or order names and that has not been
	// completed. It cannot become established.
	blocked string
	// rejected holds the releases that were rolled back. They cannot become established
	// without an order.
	rejected map[string]bool
	// stored is the status in the store.
	stored  Status
	rollout *rollout
	// pending is an order that waits for the end of the rollout, or nil.
	pending *pendingOrder
	// handled holds the orders that were read before.
	handled map[orderKey]bool
	// otherAt is when a peer last reported a running rollout to another release.
	otherAt   proto.Instant
	baselines map[string]*baseline
}

type pendingOrder struct {
	order Order
	fresh bool
	at    proto.Instant
}

// orderKey identifies an order. A restore of the store keeps the offsets.
type orderKey struct {
	offset int64
	to     string
}

func newService(name string) *service {
	return &service{name: name, releases: map[string]*release{}, baselines: map[string]*baseline{}, handled: map[orderKey]bool{}, rejected: map[string]bool{}}
}

// update applies the current endpoints of the service.
func (s *service) update(now proto.Instant, endpoints []*discovery.Endpoint) {
	s.releases = map[string]*release{}
	for _, e := range endpoints {
		r := s.releases[e.Release]
		if r == nil {
			r = &release{oldest: math.MaxInt64, domains: map[proto.EndpointID]proto.Domain{}}
			s.releases[e.Release] = r
		}
		if e.Started > 0 {
			r.oldest = min(r.oldest, e.Started)
		}
		if !e.Leaving {
			r.endpoints = append(r.endpoints, e.ID)
			r.domains[e.ID] = e.Domain
		}
	}
	s.reviewEstablished(now)
}

// reviewEstablished determines the established release if it is unknown, or has had no
// endpoints for goneTime while no rollout runs.
func (s *service) reviewEstablished(now proto.Instant) {
	switch {
	case len(s.releases) == 0:
		return
	case !s.known:
		s.chooseEstablished(now)
		return
	case s.releases[s.established] != nil:
		s.goneSince, s.seen = 0, true
		return
	case s.goneSince == 0:
		s.goneSince = now
	}
	running := s.rollout != nil && s.rollout.final == ""
	if s.established == "" || !running && (!s.seen || now.Sub(s.goneSince) >= goneTime) {
		s.chooseEstablished(now)
	}
}

// chooseEstablished takes the release of the oldest endpoint for the established one, unless
// it is blocked or was rolled back and there is, or was, another one. Endpoints of a new release have just started.
func (s *service) chooseEstablished(now proto.Instant) {
	var names []string
	for name := range s.releases {
		if !s.rejected[name] && (name != s.blocked || s.blocked == "") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		if s.rejected[s.blocked] || s.releases[s.blocked] == nil || s.rollout != nil && s.rollout.sawOther {
			s.established, s.known, s.goneSince, s.seen = "", true, 0, false // until another one is registered
			return
		}
		names = []string{s.blocked} // no other release is known
	}
	s.established = slices.MinFunc(names, func(a, b string) int {
		x, y := s.releases[a], s.releases[b]
		return cmp.Or(cmp.Compare(x.oldest, y.oldest), cmp.Compare(len(y.endpoints), len(x.endpoints)), cmp.Compare(a, b))
	})
	s.known, s.goneSince, s.seen = true, 0, s.releases[s.established] != nil
}

// block excludes a release from becoming the established one.
func (s *service) block(now proto.Instant, to string) {
	s.blocked = to
	if s.known && s.established == to {
		s.known = false
		s.reviewEstablished(now)
	}
}

// establish makes a release the established one.
func (s *service) establish(to string) {
	s.established, s.known, s.blocked = to, true, ""
	delete(s.rejected, to)
	s.goneSince, s.seen = 0, s.releases[to] != nil
}

// endpointsOf returns the endpoints of a release that do not leave.
func (s *service) endpointsOf(name string) []proto.EndpointID {
	if r := s.releases[name]; r != nil {
		return r.endpoints
	}
	return nil
}

// isSingle reports whether all endpoints are of the established release, so that there is
// nothing to exclude.
func (s *service) isSingle() bool {
	return len(s.releases) == 1 && s.releases[s.established] != nil || len(s.releases) == 0
}

// baseline returns the times of a route, and creates them on first use.
func (s *service) baseline(route string) *baseline {
	b := s.baselines[route]
	if b == nil {
		b = &baseline{}
		s.baselines[route] = b
	}
	return b
}

// requestTime returns the duration that few requests of the service exceed, or 0 if unknown.
func (s *service) requestTime() time.Duration {
	longest := 0.0
	for _, b := range s.baselines {
		if b.duration.total >= minBaseline {
			longest = max(longest, b.duration.quantile(tailQuantile))
		}
	}
	return time.Duration(longest * float64(time.Second))
}
