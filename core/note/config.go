// Package note defines release notes and the immutable configuration that
// results from applying accepted notes in order.
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
	// Rate is in tokens per second and Burst in tokens. Both apply to the whole
	// fleet.
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
	// Priority orders the queue of an endpoint; higher values go first.
	Priority int `json:"priority,omitempty"`
	// Weight is the account's relative share among accounts of the same
	// priority; 0 means 1.
	Weight int64 `json:"weight,omitempty"`
}

// Key authenticates callers as a client account. Only the hash of the key is
// stored.
type Key struct {
	Hash    proto.KeyHash   `json:"hash"`
	Account proto.AccountID `json:"account"`
}

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// Endpoint kinds.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Endpoint is a backend with its agent.
type Endpoint struct {
	ID     proto.EndpointID `json:"id"`
	Kind   EndpointKind     `json:"kind"`
	Domain proto.Domain     `json:"domain"`
	// Addr is the "ip:port" of the agent.
	Addr string `json:"addr"`
	// Models lists the models that an engine may serve. Service is the name of a
	// plain service.
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	// ChecksFence is set for engines that reject orders with an outdated fencing
	// token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving is set to send no new work to the endpoint.
	Leaving bool `json:"leaving,omitempty"`
}

// Model is a model with the version to be served.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// MinEndpoints is the minimum number of endpoints that keep serving the model
	// during a rollout; 0 means 1.
	MinEndpoints int `json:"min_endpoints,omitempty"`
}

// Route maps calls with a method and path to a plain service. A path that ends
// in "/" matches all paths below it.
type Route struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Service string `json:"service"`
	// Idempotent is set if calls may be retried. Other calls run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Unauthenticated is set if calls need no key.
	Unauthenticated bool `json:"open,omitempty"`
}

// Policy holds the weights of the routing decision and fleet-wide settings.
// Zero fields take their value from DefaultPolicy.
type Policy struct {
	// TTFTWeight and CacheHitWeight are the relative weights of the expected time
	// to first token (TTFT) and of the prompt tokens that must be recomputed.
	TTFTWeight     float64 `json:"tail_weight,omitempty"`
	CacheHitWeight float64 `json:"hit_weight,omitempty"`
	// MaxConcurrentLoads is the maximum number of concurrent weight loads.
	MaxConcurrentLoads int `json:"max_loads,omitempty"`
	// IntentShards is the number of intent streams.
	IntentShards int `json:"intent_shards,omitempty"`
	// StaticSlots is the number of slots that divide the static share of each
	// rate-limit bucket.
	StaticSlots int `json:"static_slots,omitempty"`
	// Quarantine is how long requests with a fingerprint that crashed two
	// endpoints are refused.
	Quarantine Duration `json:"quarantine,omitempty"`
}

// DefaultPolicy returns the default values of the fields of Policy.
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
