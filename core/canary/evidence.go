package canary

import (
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Tally counts the ended attempts of one route at one release. All counts are cumulative.
type Tally struct {
	Ended  int64 `json:"n,omitempty"`
	Failed int64 `json:"f,omitempty"`
	Slow   int64 `json:"l,omitempty"`
}

// bad returns the number of failed and slow responses.
func (t Tally) bad() int64 { return t.Failed + t.Slow }

func (t Tally) add(o Tally) Tally {
	return Tally{Ended: t.Ended + o.Ended, Failed: t.Failed + o.Failed, Slow: t.Slow + o.Slow}
}

func (t Tally) sub(o Tally) Tally {
	return Tally{Ended: t.Ended - o.Ended, Failed: t.Failed - o.Failed, Slow: t.Slow - o.Slow}
}

// merge returns the later one of two states of the same counts.
func (t Tally) merge(o Tally) Tally {
	return Tally{Ended: max(t.Ended, o.Ended), Failed: max(t.Failed, o.Failed), Slow: max(t.Slow, o.Slow)}
}

// EndpointHash identifies an endpoint of the new release in the counts.
type EndpointHash uint32

func hashEndpoint(id proto.EndpointID) EndpointHash {
	return EndpointHash(xxhash.Sum64String(string(id)))
}

// RouteEvidence compares the two releases on one route.
type RouteEvidence struct {
	Route string `json:"route"`
	Old   Tally  `json:"old,omitzero"`
	New   Tally  `json:"new,omitzero"`
	// Sent is the number of attempts sent to the new release, ended or not.
	Sent int64 `json:"sent,omitempty"`
	// BadAt counts the bad responses of the new release by endpoint, without those without
	// any.
	BadAt map[EndpointHash]int64 `json:"at,omitempty"`
}

// evidence holds counts by route. They are of one router, or the sum of all.
type evidence map[string]*RouteEvidence

func (e evidence) route(name string) *RouteEvidence {
	r := e[name]
	if r == nil {
		r = &RouteEvidence{Route: name, BadAt: map[EndpointHash]int64{}}
		e[name] = r
	}
	return r
}

// merge applies the counts of a later or earlier report of the same router. Reports may be
// repeated and reordered.
func (e evidence) merge(from RouteEvidence) {
	r := e.route(from.Route)
	r.Old, r.New, r.Sent = r.Old.merge(from.Old), r.New.merge(from.New), max(r.Sent, from.Sent)
	for id, n := range from.BadAt {
		r.BadAt[id] = max(r.BadAt[id], n)
	}
}

// sum adds the counts of another router.
func (e evidence) sum(from evidence) {
	for name, f := range from {
		r := e.route(name)
		r.Old, r.New, r.Sent = r.Old.add(f.Old), r.New.add(f.New), r.Sent+f.Sent
		for id, n := range f.BadAt {
			r.BadAt[id] += n
		}
	}
}

// clone returns a copy that does not change with e.
func (e evidence) clone() evidence {
	c := evidence{}
	for name, r := range e {
		copied := r.clone()
		c[name] = &copied
	}
	return c
}

// since returns what was added to the counts after an earlier state of them.
func (e evidence) since(earlier evidence) evidence {
	added := e.clone()
	for name, before := range earlier {
		r := added.route(name)
		r.Old, r.New, r.Sent = r.Old.sub(before.Old), r.New.sub(before.New), r.Sent-before.Sent
		for id, n := range before.BadAt {
			r.BadAt[id] -= n
		}
	}
	return added
}

// total returns the counts of all routes together.
func (e evidence) total() *RouteEvidence {
	t := &RouteEvidence{BadAt: map[EndpointHash]int64{}}
	for _, r := range e {
		t.Old, t.New, t.Sent = t.Old.add(r.Old), t.New.add(r.New), t.Sent+r.Sent
		for id, n := range r.BadAt {
			t.BadAt[id] += n
		}
	}
	return t
}

// clone returns a copy that does not change with e.
func (r *RouteEvidence) clone() RouteEvidence {
	c := *r
	c.BadAt = maps.Clone(r.BadAt)
	return c
}
