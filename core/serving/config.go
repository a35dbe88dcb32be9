// Package serving defines the configuration of pass-through serving: routes by
// host and path prefix, the services behind them, and the client accounts that
// may use them. A Config is immutable once built.
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

// Kind states whether the router may retry a request that may have run.
type Kind uint8

const (
	// AtMostOnce requests run at most once; the zero value is the safe one.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a stream of events as response. They run at most once,
	// unless their route is resumable.
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

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the route's other targets.
	Weight int
}

// Route maps requests for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets is never empty, and the sum of the weights is positive.
	Targets []Target
	// Attempts is the maximum number of endpoints that may run one request.
	Attempts int
	// Timeout is the maximum duration of a request; 0 means no timeout.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest gap between two events of a stream.
	TargetGap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Unauthenticated routes require no key.
	Unauthenticated bool
	// Resumable streams may be continued by another run after the last event
	// delivered.
	Resumable bool
	// PromptParts is set if requests name the parts of their prompts.
	PromptParts bool
}

// Repeatable reports whether a request that may have run may be retried.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target selects the service for a request by weight. The same draw gives the
// same service as long as the targets do not change.
func (r *Route) Target(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
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
	// CacheTokens is the cache capacity of one engine in tokens.
	CacheTokens int64
	// TokenBytes is the size in bytes of the cache entry of one token.
	TokenBytes int64
	// LinkBitsPerSecond is the transfer rate of cache entries between engines.
	LinkBitsPerSecond float64
}

// CacheStore describes a service that only stores cache entries.
type CacheStore struct {
	Addr              string
	Domain            proto.Domain
	LinkBitsPerSecond float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is set for model engines, Store for a cache store. Both are nil for
	// plain services.
	Engine *Engine
	Store  *CacheStore
}

// Account is a client account with its priority, rate limit and cache isolation.
type Account struct {
	ID proto.AccountID
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the limit in units per second and Burst the limit in units, both
	// for the whole fleet. A Rate of 0 means no limit.
	Rate, Burst int64
	// CountsTokens is set if the unit is a token; otherwise it is a request.
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not state its tokens.
	DefaultTokens int64
	// Isolated accounts share no cache entries with others.
	Isolated bool
}

// Cost returns the units that a request is charged against the account's limit.
// The argument known is set if the number of tokens is known.
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
	// MaxBody is the maximum size of a request body in bytes, or 0 if the
	// operator sets none.
	MaxBody int64
	// Keyless is set if requests need no key, as the operator uses no accounts.
	Keyless bool

	keys map[proto.KeyHash]*Account
	// sharedNamespace is the cache namespace of the accounts that are not isolated.
	sharedNamespace string
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// Spec is the input from which New builds a Config.
type Spec struct {
	Revision proto.Revision
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	// Keys maps the hash of each key to its account.
	Keys map[proto.KeyHash]proto.AccountID
	// MaxBody and Keyless are copied to the Config.
	MaxBody int64
	Keyless bool
}

// New builds a configuration. It fails on a route without target or host, on a
// target that is not a configured service, on a key of an unknown account, and on
// numbers that make no sense.
func New(c Spec) (*Config, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	cfg := &Config{
		Revision: c.Revision,
		Services: make(map[string]*Service, len(c.Services)),
		Accounts: make(map[proto.AccountID]*Account, len(c.Accounts)),
		MaxBody:  c.MaxBody,
		Keyless:  c.Keyless,
		keys:     make(map[proto.KeyHash]*Account, len(c.Keys)),
		hosts:    map[string][]*Route{},
	}
	for _, s := range c.Services {
		cfg.Services[s.Name] = s
	}
	for _, a := range c.Accounts {
		if err := a.validate(); err != nil {
			return nil, err
		}
		cfg.Accounts[a.ID] = a
	}
	for hash, id := range c.Keys {
		account := cfg.Accounts[id]
		if account == nil {
			return nil, Error.New("a key belongs to unknown account %q", id)
		}
		cfg.keys[hash] = account
	}
	cfg.sharedNamespace = sharedNamespace(cfg.Accounts)
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
	if err := r.validate(); err != nil {
		return err
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

// Match returns the route of a host with the longest prefix of a path, or nil.
// The host may include a port.
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

// AccountForKey returns the account that a secret key belongs to, or nil.
func (c *Config) AccountForKey(secret string) *Account {
	return c.keys[note.HashKey(secret)]
}

// RouteCount returns the number of routes of all hosts.
func (c *Config) RouteCount() int {
	n := 0
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}

// KeyCount returns the number of keys.
func (c *Config) KeyCount() int { return len(c.keys) }
