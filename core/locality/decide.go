package locality

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxDomains bounds the failure domains of a decision. Further ones have the constant cost.
const maxDomains = 8

// Request is what a decision depends on.
type Request struct {
	Service string
	Bytes   int64
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
}

// Decision gives the costs of leaving the own domain for one request.
type Decision struct {
	Mode Mode
	// To is the domain that the request is to leave for, or "".
	To      proto.Domain
	entries [maxDomains]entry
	n       int
}

type entry struct {
	domain proto.Domain
	factor float64
	// least is the least cost: the time that the way there takes.
	least time.Duration
}

// Cost returns the cost of sending the request to another domain, from its constant cost.
// On a nil decision that is the constant cost.
func (d *Decision) Cost(to proto.Domain, constant time.Duration) time.Duration {
	if d == nil {
		return constant
	}
	for i := range d.n {
		if e := &d.entries[i]; e.domain == to {
			return max(e.least, time.Duration(e.factor*float64(constant)))
		}
	}
	return constant
}

// Decide returns the decision on a request, nil if the constant cost applies. It changes
// nothing. The function draw returns a random number from 0 to 1; it is called only if a
// share of the work leaves.
func (c *Controller) Decide(now proto.Instant, r Request, draw func() float64) *Decision {
	s := c.services[r.Service]
	if s == nil || s.mode == Constant || s.mode == Steady {
		return nil
	}
	decision := &Decision{Mode: s.mode}
	others := maxFactor
	if s.mode == Calm {
		others = 1 + (maxFactor-1)*(calmLoad-s.domains[c.own].load)/calmLoad
	} else {
		decision.To = s.destination(r, draw())
	}
	for name, d := range s.domains {
		if name == c.own || decision.n == maxDomains || s.mode != Calm && !d.isKnown(now) {
			continue
		}
		f := others
		if name == decision.To {
			f = leaveFactor
		}
		decision.entries[decision.n] = entry{domain: name, factor: f, least: c.delayTo(now, name)}
		decision.n++
	}
	return decision
}

// destination returns the domain that a request leaves for, or "" if it stays.
func (s *service) destination(r Request, draw float64) proto.Domain {
	preference := 1.0
	if s.mode != Lost {
		preference = s.preference(r)
	}
	end := 0.0
	for _, name := range s.names() {
		end += s.domains[name].share * preference
		if draw < end {
			return name
		}
	}
	return ""
}

// names returns the domains in a fixed order, so that the same draw gives the same one.
func (s *service) names() []proto.Domain {
	names := make([]proto.Domain, 0, maxDomains)
	for name := range s.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// preference returns how much more likely than others a request leaves: up to 4 times for
// a small and urgent one, towards 0 for a large one of low urgency, 1 on average.
func (s *service) preference(r Request) float64 {
	small := 2 * (s.bytes + 1) / (s.bytes + 1 + float64(r.Bytes) + 1)
	urgent := 2 * (s.rank + 1) / (s.rank + 1 + float64(r.Rank) + 1)
	return small * urgent
}

// View is what is known of a service in one failure domain.
type View struct {
	Domain proto.Domain `json:"domain"`
	// Slots is the capacity of the listed endpoints, Usable that of those that respond.
	Slots  int `json:"slots"`
	Usable int `json:"usable_slots"`
	// Load is valid if Known is set. AgeMillis is its age, -1 if it was never observed.
	Load      float64 `json:"load"`
	Known     bool    `json:"known"`
	AgeMillis int64   `json:"age_ms"`
	// Share is the share of the own arrivals that leaves for this domain.
	Share float64 `json:"share"`
	// LateShare is the share of the own arrivals that the own domain is not expected to
	// serve in time; it is set for that domain.
	LateShare float64 `json:"late_share"`
	IsOwn     bool    `json:"own"`
}

// Views returns what is known of a service, by domain. It changes nothing.
func (c *Controller) Views(now proto.Instant, name string) (Mode, []View) {
	s := c.services[name]
	if s == nil {
		return Constant, nil
	}
	var views []View
	for id, d := range s.domains {
		v := View{Domain: id, Slots: d.slots, Usable: d.usable, Load: d.load, Known: d.isKnown(now), Share: d.share, IsOwn: id == c.own, AgeMillis: -1}
		if d.observedAt != 0 {
			v.AgeMillis = now.Sub(d.observedAt).Milliseconds()
		}
		if v.IsOwn {
			v.LateShare = s.lateShare
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Domain, b.Domain) })
	return s.mode, views
}

const (
	// maxSummaryBytes bounds the encoded summaries of one message.
	maxSummaryBytes = 190
	// summaryOverhead is the encoded size of a summary beside the name of the service.
	summaryOverhead = 50
	// summaryLifetime is the age up to which a load is passed on.
	summaryLifetime = time.Second
)

// Summary tells the peers in other failure domains the load of a service in the sender's
// domain.
type Summary struct {
	Service string `json:"s"`
	// Slots is the capacity of the usable endpoints, Occupied the number of requests that
	// they hold.
	Slots    int `json:"n"`
	Occupied int `json:"o"`
	// AgeMillis is the age of the load.
	AgeMillis int64 `json:"a,omitempty"`
}

// Summaries returns the loads of the own domain that peers cannot know from their own
// traffic, the most loaded first, as far as they fit into maxSummaryBytes.
func (c *Controller) Summaries(now proto.Instant) []Summary {
	var all []Summary
	for name, s := range c.services {
		if own := s.domains[c.own]; own != nil && own.usable > 0 && own.observedAt != 0 && now.Sub(own.observedAt) <= summaryLifetime {
			all = append(all, Summary{Service: name, Slots: own.usable, Occupied: int(own.load*float64(own.usable) + 0.5), AgeMillis: now.Sub(own.observedAt).Milliseconds()})
		}
	}
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Occupied*a.Slots, a.Occupied*b.Slots), cmp.Compare(a.Service, b.Service))
	})
	size := 0
	for i, s := range all {
		if size += summaryOverhead + len(s.Service); size > maxSummaryBytes {
			return all[:i]
		}
	}
	return all
}

// HandleSummary records what a peer of another failure domain tells of its domain.
func (c *Controller) HandleSummary(now proto.Instant, from proto.Domain, s Summary) {
	if from == c.own || s.AgeMillis < 0 || c.services[s.Service] == nil {
		return // no endpoint of an unknown service is listed
	}
	observedAt := now.Add(-time.Duration(min(s.AgeMillis, maxViewAge.Milliseconds())) * time.Millisecond)
	c.ObserveLoad(observedAt, Load{Service: s.Service, Domain: from, Occupied: s.Occupied, Slots: s.Slots})
}
