package note

import (
	"fmt"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// FieldError describes one invalid field of a note.
type FieldError struct {
	// Field is the JSON path of the field, such as "added.accounts[2].rate".
	Field string `json:"field"`
	// Problem is a predicate about the field, without a final period.
	Problem string `json:"problem"`
}

// ValidationError lists all problems of a note.
type ValidationError struct {
	Fields []FieldError `json:"fields"`
}

// Error implements error. It returns one line for each problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// Validate returns a *ValidationError with all problems that prevent n from being
// applied to base, or nil if there are none.
func Validate(base *Config, n Note) error {
	c := checker{base: base, note: n}
	if n.BasedOn != base.Revision {
		c.addError("based_on", "is %d, but revision %d is in force", n.BasedOn, base.Revision)
	}
	c.text("author", n.Author, maxAuthor)
	c.text("reason", n.Reason, maxReason)
	c.accounts = newSection(&c, "accounts", base.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts, accountKey)
	c.keys = newSection(&c, "keys", base.Keys, n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys, keyKey)
	c.endpoints = newSection(&c, "endpoints", base.Endpoints, n.Added.Endpoints, n.Changed.Endpoints, n.Withdrawn.Endpoints, endpointKey)
	c.models = newSection(&c, "models", base.Models, n.Added.Models, n.Changed.Models, n.Withdrawn.Models, modelKey)
	c.routes = newSection(&c, "routes", routeMap(base.Routes), n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes, Route.ID)
	c.countEndpoints()
	c.items("added", n.Added)
	c.items("changed", n.Changed)
	c.policyChange()
	c.references()
	if len(c.errs) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.errs}
}

// checker collects the problems of a note.
type checker struct {
	base *Config
	note Note
	errs []FieldError

	// The sections as they will be after the note.
	accounts  section[proto.AccountID, Account]
	keys      section[proto.KeyHash, Key]
	endpoints section[proto.EndpointID, Endpoint]
	models    section[string, Model]
	routes    section[RouteID, Route]

	// The number of endpoints at each address and of each service after the
	// note.
	addrCounts    map[string]int
	serviceCounts map[string]int
}

func (c *checker) addError(field, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// section is one section of the configuration as it will be after the note.
type section[K comparable, V any] struct {
	base    map[K]V
	updated map[K]V
	removed map[K]bool
}

func (s section[K, V]) get(k K) (V, bool) {
	if item, ok := s.updated[k]; ok {
		return item, true
	}
	if s.removed[k] {
		var none V
		return none, false
	}
	item, ok := s.base[k]
	return item, ok
}

func (s section[K, V]) each(f func(V)) {
	for k, item := range s.base {
		if _, replaced := s.updated[k]; !replaced && !s.removed[k] {
			f(item)
		}
	}
	for _, item := range s.updated {
		f(item)
	}
}

// modified reports whether the note changes the section.
func (s section[K, V]) modified() bool { return len(s.updated)+len(s.removed) > 0 }

// newSection returns a section as it will be after the note. It reports items
// that are added although they exist, changed or withdrawn although they do not
// exist, or named more than once.
func newSection[K comparable, V any](c *checker, name string, base map[K]V, added, changed []V, withdrawn []K, key func(V) K) section[K, V] {
	s := section[K, V]{base: base, updated: map[K]V{}, removed: map[K]bool{}}
	first := map[K]string{}
	checkUnique := func(field string, k K) {
		if other, ok := first[k]; ok {
			c.addError(field, "names the same as %s", other)
			return
		}
		first[k] = field
	}
	for i, item := range added {
		field := fmt.Sprintf("added.%s[%d]", name, i)
		checkUnique(field, key(item))
		if _, ok := base[key(item)]; ok {
			c.addError(field, "is added, but is present already")
		}
		s.updated[key(item)] = item
	}
	for i, item := range changed {
		field := fmt.Sprintf("changed.%s[%d]", name, i)
		checkUnique(field, key(item))
		if _, ok := base[key(item)]; !ok {
			c.addError(field, "is changed, but is not present")
		}
		s.updated[key(item)] = item
	}
	for i, k := range withdrawn {
		field := fmt.Sprintf("withdrawn.%s[%d]", name, i)
		checkUnique(field, k)
		if _, ok := base[k]; !ok {
			c.addError(field, "is withdrawn, but is not present")
		}
		s.removed[k] = true
	}
	return s
}

// countEndpoints counts the endpoints at each address and of each service. It
// does nothing if the note changes neither endpoints nor routes, because only
// the checks of these need the counts.
func (c *checker) countEndpoints() {
	c.addrCounts = map[string]int{}
	c.serviceCounts = map[string]int{}
	if !c.endpoints.modified() && !c.routes.modified() {
		return
	}
	c.endpoints.each(func(e Endpoint) {
		c.addrCounts[e.Addr]++
		if e.Kind == KindService {
			c.serviceCounts[e.Service]++
		}
	})
}

func (c *checker) items(part string, items Items) {
	at := func(name string, i int) string { return fmt.Sprintf("%s.%s[%d]", part, name, i) }
	for i, a := range items.Accounts {
		c.account(at("accounts", i), a)
	}
	for i, k := range items.Keys {
		c.key(at("keys", i), k)
	}
	for i, e := range items.Endpoints {
		c.endpoint(at("endpoints", i), e)
	}
	for i, m := range items.Models {
		c.model(at("models", i), m)
	}
	for i, r := range items.Routes {
		c.route(at("routes", i), r)
	}
}

// references reports withdrawn or changed items on which remaining items depend.
func (c *checker) references() {
	c.accountReferences()
	c.modelReferences()
	c.serviceReferences()
}

func (c *checker) accountReferences() {
	if len(c.accounts.removed) == 0 {
		return
	}
	used := map[proto.AccountID]int{}
	c.keys.each(func(k Key) { used[k.Account]++ })
	for i, id := range c.note.Withdrawn.Accounts {
		if n := used[id]; n > 0 {
			c.addError(fmt.Sprintf("withdrawn.accounts[%d]", i), "%q still has %d keys", id, n)
		}
	}
}

func (c *checker) modelReferences() {
	if len(c.models.removed) == 0 {
		return
	}
	used := map[string]proto.EndpointID{}
	c.endpoints.each(func(e Endpoint) {
		for _, m := range e.Models {
			if other, ok := used[m]; !ok || e.ID < other {
				used[m] = e.ID
			}
		}
	})
	for i, name := range c.note.Withdrawn.Models {
		if id, ok := used[name]; ok {
			c.addError(fmt.Sprintf("withdrawn.models[%d]", i), "%q is still listed by endpoint %q", name, id)
		}
	}
}

func (c *checker) serviceReferences() {
	if !c.endpoints.modified() {
		return
	}
	used := map[string]RouteID{}
	c.routes.each(func(r Route) {
		id := r.ID()
		if other, ok := used[r.Service]; !ok || compareRouteIDs(id, other) < 0 {
			used[r.Service] = id
		}
	})
	checkLastEndpoint := func(field string, id proto.EndpointID) {
		old, ok := c.base.Endpoints[id]
		if !ok || old.Kind != KindService || c.serviceCounts[old.Service] > 0 {
			return
		}
		if r, ok := used[old.Service]; ok {
			c.addError(field, "was the last endpoint of service %q, which route %s %s uses", old.Service, r.Method, r.Path)
		}
	}
	for i, id := range c.note.Withdrawn.Endpoints {
		checkLastEndpoint(fmt.Sprintf("withdrawn.endpoints[%d]", i), id)
	}
	for i, e := range c.note.Changed.Endpoints {
		checkLastEndpoint(fmt.Sprintf("changed.endpoints[%d].service", i), e.ID)
	}
}
