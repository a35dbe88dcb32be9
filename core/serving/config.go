// Package serving defines the configuration of pass-through serving: routes by
// host and path prefix, the services behind them, and the client accounts that
// may call them. A Config is immutable once built.
package serving

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("serving")

// Kind says what the router may repeat.
type Kind uint8

const (
	// AtMostOnce requests run at most once; the zero value is the safe one.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run at most
	// once, unless their route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "at_most_once"
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the route's other targets.
	Weight int
}

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets is never empty.
	Targets []Target
	// Attempts is the greatest number of endpoints that may run one request.
	Attempts int
	// Timeout is the longest time that a request may take; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream,
	// that callers are served well with.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events that callers are served
	// well with.
	TargetGap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Unauthenticated routes need no key.
	Unauthenticated bool
	// Resumable streams may be continued by another run after an event.
	Resumable bool
	// PromptParts is set where requests name the parts of their prompts.
	PromptParts bool
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target returns the service for a request. The same draw gives the same
// service as long as the targets stay as they are.
func (r *Route) Target(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	rest := int(draw % uint64(total))
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// CacheTokens is the memory of an engine in tokens.
	CacheTokens int64
	// TokenBytes is the size of the cache entry of one token.
	TokenBytes int64
	// LinkBitsPerSecond is the rate at which cache entries move between engines.
	LinkBitsPerSecond float64
}

// CacheStore describes a service that only keeps cache entries.
type CacheStore struct {
	Addr              string
	Domain            proto.Domain
	LinkBitsPerSecond float64
}

// Service is a group of endpoints that run the same requests.
type Service struct {
	Name string
	// Engine is set for model engines, Store for a store of cache entries.
	Engine *Engine
	Store  *CacheStore
}

// Account is a client account.
type Account struct {
	ID proto.AccountID
	// Priority goes before the priority of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in units per second and Burst in units, both across the fleet.
	// A Rate of 0 means no limit.
	Rate, Burst int64
	// CountsTokens is set where the unit is a token; otherwise it is a request.
	CountsTokens bool
	// DefaultTokens is what a request counts that does not tell its tokens.
	DefaultTokens int64
	// Isolated accounts share no cache entry with others.
	Isolated bool
}

// Cost returns the units that a request takes from the account's limit.
func (a *Account) Cost(tokens int64, known bool) int64 {
	switch {
	case !a.CountsTokens:
		return 1
	case known:
		return tokens
	}
	return a.DefaultTokens
}

// Config is the configuration in force.
type Config struct {
	Revision proto.Revision
	Services map[string]*Service
	Accounts map[proto.AccountID]*Account
	// MaxBody is the greatest size of a request's body in bytes; 0 if the
	// operator names none.
	MaxBody int64

	keys map[proto.KeyHash]*Account
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// Spec is what a Config is built from.
type Spec struct {
	Revision proto.Revision
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	// Keys maps the hash of each key to its account.
	Keys map[proto.KeyHash]proto.AccountID
	// MaxBody is that of Config.
	MaxBody int64
}

// New builds a configuration. It fails on a route without target or host, on a
// target that is no service, and on a key of an unknown account.
func New(c Spec) (*Config, error) {
	cfg := &Config{
		Revision: c.Revision,
		Services: make(map[string]*Service, len(c.Services)),
		Accounts: make(map[proto.AccountID]*Account, len(c.Accounts)),
		MaxBody:  c.MaxBody,
		keys:     make(map[proto.KeyHash]*Account, len(c.Keys)),
		hosts:    map[string][]*Route{},
	}
	for _, s := range c.Services {
		cfg.Services[s.Name] = s
	}
	for _, a := range c.Accounts {
		cfg.Accounts[a.ID] = a
	}
	for hash, id := range c.Keys {
		account := cfg.Accounts[id]
		if account == nil {
			return nil, Error.New("a key belongs to unknown account %q", id)
		}
		cfg.keys[hash] = account
	}
	for _, r := range c.Routes {
		if err := cfg.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, routes := range cfg.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return cfg, nil
}

func (c *Config) addRoute(r *Route) error {
	if r.Host == "" || len(r.Targets) == 0 {
		return Error.New("route %q has no host or no target", r.Name)
	}
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			return Error.New("route %q names unknown service %q", r.Name, t.Service)
		}
	}
	host := strings.ToLower(r.Host)
	c.hosts[host] = append(c.hosts[host], r)
	return nil
}

// Match returns the route with the longest prefix of a path, or nil. The host
// may carry a port.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountForKey returns the account of a caller's key, or nil.
func (c *Config) AccountForKey(secret string) *Account {
	return c.keys[note.HashKey(secret)]
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}

// KeyCount returns the number of keys.
func (c *Config) KeyCount() int { return len(c.keys) }
