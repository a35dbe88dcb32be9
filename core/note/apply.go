package note

import (
	"cmp"
	"maps"
	"slices"
)

// Apply returns the configuration that results from applying n to base, with the
// next revision. It returns the error of Validate if the note is not valid. The
// result shares the sections that n does not change with base.
func Apply(base *Config, n Note) (*Config, error) {
	if err := Validate(base, n); err != nil {
		return nil, err
	}
	next := &Config{
		Revision:  base.Revision + 1,
		Accounts:  merge(base.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts, accountKey),
		Keys:      merge(base.Keys, n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys, keyKey),
		Endpoints: merge(base.Endpoints, n.Added.Endpoints, n.Changed.Endpoints, n.Withdrawn.Endpoints, endpointKey),
		Models:    merge(base.Models, n.Added.Models, n.Changed.Models, n.Withdrawn.Models, modelKey),
		Routes:    mergeRoutes(base.Routes, n),
		Policy:    base.Policy,
	}
	if p := n.Changed.Policy; p != nil {
		next.Policy = p.withDefaults()
	}
	return next, nil
}

func merge[K comparable, V any](base map[K]V, added, changed []V, withdrawn []K, key func(V) K) map[K]V {
	if base != nil && len(added)+len(changed)+len(withdrawn) == 0 {
		return base
	}
	next := make(map[K]V, len(base)+len(added))
	maps.Copy(next, base)
	for _, k := range withdrawn {
		delete(next, k)
	}
	for _, v := range added {
		next[key(v)] = v
	}
	for _, v := range changed {
		next[key(v)] = v
	}
	return next
}

// mergeRoutes returns the routes in sorted order, so that equal configurations
// have equal route lists.
func mergeRoutes(base []Route, n Note) []Route {
	if len(n.Added.Routes)+len(n.Changed.Routes)+len(n.Withdrawn.Routes) == 0 {
		return base
	}
	merged := merge(routeMap(base), n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes, Route.ID)
	return slices.SortedFunc(maps.Values(merged), compareRoutes)
}

func routeMap(routes []Route) map[RouteID]Route {
	m := make(map[RouteID]Route, len(routes))
	for _, r := range routes {
		m[r.ID()] = r
	}
	return m
}

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method))
}

// withDefaults replaces zero fields with those of DefaultPolicy. TTFTWeight and
// CacheHitWeight are replaced only if both are zero, since one of them alone may
// be 0.
func (p Policy) withDefaults() Policy {
	d := DefaultPolicy()
	if p.TTFTWeight == 0 && p.CacheHitWeight == 0 {
		p.TTFTWeight, p.CacheHitWeight = d.TTFTWeight, d.CacheHitWeight
	}
	if p.MaxConcurrentLoads == 0 {
		p.MaxConcurrentLoads = d.MaxConcurrentLoads
	}
	if p.IntentShards == 0 {
		p.IntentShards = d.IntentShards
	}
	if p.StaticSlots == 0 {
		p.StaticSlots = d.StaticSlots
	}
	if p.Quarantine == 0 {
		p.Quarantine = d.Quarantine
	}
	return p
}
