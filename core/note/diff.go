package note

import (
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// ID returns the method and path, which identify the route.
func (r Route) ID() RouteID { return RouteID{Method: r.Method, Path: r.Path} }

func accountKey(a Account) proto.AccountID    { return a.ID }
func keyKey(k Key) proto.KeyHash              { return k.Hash }
func endpointKey(e Endpoint) proto.EndpointID { return e.ID }
func modelKey(m Model) string                 { return m.Name }

// Diff returns the note that changes a to the content of b. All lists of the
// note are sorted by name.
func Diff(a, b *Config) Note {
	n := Note{BasedOn: a.Revision}
	n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts = diff(a.Accounts, b.Accounts, equal[Account], compareStrings[proto.AccountID])
	n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys = diff(a.Keys, b.Keys, equal[Key], compareStrings[proto.KeyHash])
	n.Added.Endpoints, n.Changed.Endpoints, n.Withdrawn.Endpoints = diff(a.Endpoints, b.Endpoints, equalEndpoints, compareStrings[proto.EndpointID])
	n.Added.Models, n.Changed.Models, n.Withdrawn.Models = diff(a.Models, b.Models, equalModels, compareStrings[string])
	n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes = diff(routeMap(a.Routes), routeMap(b.Routes), equal[Route], compareRouteIDs)
	if a.Policy != b.Policy {
		p := b.Policy
		n.Changed.Policy = &p
	}
	return n
}

func diff[K comparable, V any](a, b map[K]V, same func(V, V) bool, order func(K, K) int) (added, changed []V, withdrawn []K) {
	for _, k := range slices.SortedFunc(maps.Keys(b), order) {
		old, ok := a[k]
		switch {
		case !ok:
			added = append(added, b[k])
		case !same(old, b[k]):
			changed = append(changed, b[k])
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(a), order) {
		if _, ok := b[k]; !ok {
			withdrawn = append(withdrawn, k)
		}
	}
	return added, changed, withdrawn
}

func equal[V comparable](a, b V) bool { return a == b }

func equalEndpoints(a, b Endpoint) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.Domain == b.Domain && a.Addr == b.Addr &&
		a.Service == b.Service && a.ChecksFence == b.ChecksFence && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

func equalModels(a, b Model) bool {
	return a.Name == b.Name && a.Version == b.Version && a.MinEndpoints == b.MinEndpoints &&
		slices.Equal(a.Adapters, b.Adapters)
}

func compareStrings[S ~string](a, b S) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func compareRouteIDs(a, b RouteID) int {
	return compareRoutes(Route{Method: a.Method, Path: a.Path}, Route{Method: b.Method, Path: b.Path})
}
