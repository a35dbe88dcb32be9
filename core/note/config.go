// Package note defines release notes and the immutable configuration that
// accepted notes add up to.
package note

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("note")

// Account is a client account with its limits.
type Account struct {
	ID proto.AccountID `json:"id"`
	// Rate is in tokens per second, Burst in tokens, both across the fleet.
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
	// Priority orders work at an endpoint; higher goes first.
	Priority int `json:"priority,omitempty"`
	// Weight is the account's share among accounts of one priority; 0 means 1.
	Weight int64 `json:"weight,omitempty"`
}

// Key admits a caller for a client account. Only the hash of a key is kept.
type Key struct {
	Hash    proto.KeyHash   `json:"hash"`
	Account proto.AccountID `json:"account"`
}

// EndpointKind separates model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Endpoint is a back end with an agent beside it.
type Endpoint struct {
	ID     proto.EndpointID `json:"id"`
	Kind   EndpointKind     `json:"kind"`
	Domain proto.Domain     `json:"domain"`
	// Addr is the "ip:port" of the agent.
	Addr string `json:"addr"`
	// Models lists the models that an engine may serve; Service names a plain service.
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	// ChecksFence is set for engines that refuse orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Model is a model with the version that serves.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// MinEndpoints is the least number of endpoints that must keep serving the
	// model during a rollout; 0 means 1.
	MinEndpoints int `json:"min_endpoints,omitempty"`
}

// Route sends calls of one method and path to a plain service. A path that
// ends in "/" covers all paths below it.
type Route struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Service string `json:"service"`
	// Idempotent calls may be repeated; others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Unauthenticated routes need no key.
	Unauthenticated bool `json:"open,omitempty"`
}

// Policy holds the weights of the routing decision and fleet-wide settings.
// Zero fields take the value of DefaultPolicy.
type Policy struct {
	// TTFTWeight and CacheHitWeight balance expected time to first token against
	// recomputed tokens.
	TTFTWeight     float64 `json:"tail_weight,omitempty"`
	CacheHitWeight float64 `json:"hit_weight,omitempty"`
	// MaxConcurrentLoads is the greatest number of weight loads at once.
	MaxConcurrentLoads int `json:"max_loads,omitempty"`
	// IntentShards is the number of intent streams.
	IntentShards int `json:"intent_shards,omitempty"`
	// StaticSlots is the number of slots that split the static share of each bucket.
	StaticSlots int `json:"static_slots,omitempty"`
	// Quarantine is how long a fingerprint that crashed two endpoints is refused.
	Quarantine Duration `json:"quarantine,omitempty"`
}

// DefaultPolicy returns the values that zero fields of a Policy take.
func DefaultPolicy() Policy {
	return Policy{
		TTFTWeight:         1,
		CacheHitWeight:     1,
		MaxConcurrentLoads: 2,
		IntentShards:       1,
		StaticSlots:        8,
		Quarantine:         Duration(time.Hour),
	}
}

// Config is the configuration in force at one revision. It is immutable.
type Config struct {
	Revision  proto.Revision                `json:"revision"`
	Accounts  map[proto.AccountID]Account   `json:"accounts"`
	Keys      map[proto.KeyHash]Key         `json:"keys"`
	Endpoints map[proto.EndpointID]Endpoint `json:"endpoints"`
	Models    map[string]Model              `json:"models"`
	Routes    []Route                       `json:"routes"`
	Policy    Policy                        `json:"policy"`
}

// Empty returns the configuration at revision 0.
func Empty() *Config {
	return &Config{
		Accounts:  map[proto.AccountID]Account{},
		Keys:      map[proto.KeyHash]Key{},
		Endpoints: map[proto.EndpointID]Endpoint{},
		Models:    map[string]Model{},
		Policy:    DefaultPolicy(),
	}
}
