package note

import (
	"fmt"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// FieldError is one thing wrong with a note.
type FieldError struct {
	// Field is the JSON path, such as "added.accounts[2].rate".
	Field string `json:"field"`
	// Problem is a plain sentence without a full stop.
	Problem string `json:"problem"`
}

// ValidationError lists everything wrong with a note.
type ValidationError struct {
	Fields []FieldError `json:"fields"`
}

// Error implements error, one problem a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// Validate reports everything that keeps n from being applied to base, as a
// *ValidationError, or nil.
func Validate(base *Config, n Note) error {
	c := checker{base: base, note: n}
	if n.BasedOn != base.Revision {
		c.fail("based_on", "is %d, but revision %d is in force", n.BasedOn, base.Revision)
	}
	c.text("author", n.Author, maxAuthor)
	c.text("reason", n.Reason, maxReason)
	c.accounts = section(&c, "accounts", base.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts, accountKey)
	c.keys = section(&c, "keys", base.Keys, n.Added.Keys, n.Changed.Keys, n.Withdrawn.Keys, keyKey)
	c.endpoints = section(&c, "endpoints", base.Endpoints, n.Added.Endpoints, n.Changed.Endpoints, n.Withdrawn.Endpoints, endpointKey)
	c.models = section(&c, "models", base.Models, n.Added.Models, n.Changed.Models, n.Withdrawn.Models, modelKey)
	c.routes = section(&c, "routes", routeMap(base.Routes), n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes, Route.ID)
	c.countUses()
	c.items("added", n.Added)
	c.items("changed", n.Changed)
	c.policies()
	c.withdrawals()
	if len(c.errs) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.errs}
}

type checker struct {
	base *Config
	note Note
	errs []FieldError

	accounts  view[proto.AccountID, Account]
	keys      view[proto.KeyHash, Key]
	endpoints view[proto.EndpointID, Endpoint]
	models    view[string, Model]
	routes    view[RouteID, Route]

	// The uses hold after the note.
	addrs    map[string]int
	services map[string]int
}

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// view is one section as it will be after the note.
type view[K comparable, V any] struct {
	base map[K]V
	put  map[K]V
	gone map[K]bool
}

func (v view[K, V]) get(k K) (V, bool) {
	if item, ok := v.put[k]; ok {
		return item, true
	}
	if v.gone[k] {
		var none V
		return none, false
	}
	item, ok := v.base[k]
	return item, ok
}

func (v view[K, V]) each(f func(V)) {
	for k, item := range v.base {
		if _, replaced := v.put[k]; !replaced && !v.gone[k] {
			f(item)
		}
	}
	for _, item := range v.put {
		f(item)
	}
}

// touched reports whether the note names anything of the section.
func (v view[K, V]) touched() bool { return len(v.put)+len(v.gone) > 0 }

// section checks what the note says about the presence of named things.
func section[K comparable, V any](c *checker, name string, base map[K]V, added, changed []V, withdrawn []K, key func(V) K) view[K, V] {
	v := view[K, V]{base: base, put: map[K]V{}, gone: map[K]bool{}}
	first := map[K]string{}
	claim := func(field string, k K) {
		if other, ok := first[k]; ok {
			c.fail(field, "names the same as %s", other)
			return
		}
		first[k] = field
	}
	for i, item := range added {
		field := fmt.Sprintf("added.%s[%d]", name, i)
		claim(field, key(item))
		if _, ok := base[key(item)]; ok {
			c.fail(field, "is added, but is present already")
		}
		v.put[key(item)] = item
	}
	for i, item := range changed {
		field := fmt.Sprintf("changed.%s[%d]", name, i)
		claim(field, key(item))
		if _, ok := base[key(item)]; !ok {
			c.fail(field, "is changed, but is not present")
		}
		v.put[key(item)] = item
	}
	for i, k := range withdrawn {
		field := fmt.Sprintf("withdrawn.%s[%d]", name, i)
		claim(field, k)
		if _, ok := base[k]; !ok {
			c.fail(field, "is withdrawn, but is not present")
		}
		v.gone[k] = true
	}
	return v
}

func (c *checker) countUses() {
	c.addrs = map[string]int{}
	c.services = map[string]int{}
	if !c.endpoints.touched() && !c.routes.touched() {
		return
	}
	c.endpoints.each(func(e Endpoint) {
		c.addrs[e.Addr]++
		if e.Kind == KindService {
			c.services[e.Service]++
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

// withdrawals checks that nothing that stays refers to what goes.
func (c *checker) withdrawals() {
	c.accountUses()
	c.modelUses()
	c.serviceUses()
}

func (c *checker) accountUses() {
	if len(c.accounts.gone) == 0 {
		return
	}
	used := map[proto.AccountID]int{}
	c.keys.each(func(k Key) { used[k.Account]++ })
	for i, id := range c.note.Withdrawn.Accounts {
		if n := used[id]; n > 0 {
			c.fail(fmt.Sprintf("withdrawn.accounts[%d]", i), "%q still has %d keys", id, n)
		}
	}
}

func (c *checker) modelUses() {
	if len(c.models.gone) == 0 {
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
			c.fail(fmt.Sprintf("withdrawn.models[%d]", i), "%q is still listed by endpoint %q", name, id)
		}
	}
}

func (c *checker) serviceUses() {
	if !c.endpoints.touched() {
		return
	}
	used := map[string]RouteID{}
	c.routes.each(func(r Route) {
		id := r.ID()
		if other, ok := used[r.Service]; !ok || compareRouteIDs(id, other) < 0 {
			used[r.Service] = id
		}
	})
	lost := func(field string, id proto.EndpointID) {
		old, ok := c.base.Endpoints[id]
		if !ok || old.Kind != KindService || c.services[old.Service] > 0 {
			return
		}
		if r, ok := used[old.Service]; ok {
			c.fail(field, "was the last endpoint of service %q, which route %s %s uses", old.Service, r.Method, r.Path)
		}
	}
	for i, id := range c.note.Withdrawn.Endpoints {
		lost(fmt.Sprintf("withdrawn.endpoints[%d]", i), id)
	}
	for i, e := range c.note.Changed.Endpoints {
		lost(fmt.Sprintf("changed.endpoints[%d].service", i), e.ID)
	}
}
