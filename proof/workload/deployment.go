// Package workload defines the two example deployments of the design page and
// generates their traffic deterministically from a seed.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Deployment describes the topology, the policy and the traffic of an example
// deployment.
type Deployment struct {
	Name    string
	Domains []proto.Domain
	// Routers is the number of hosts that run a router.
	Routers int
	// Engines and Services are the numbers of endpoints of each kind.
	Engines, Services int
	// Service is the name of the plain (non-model) service.
	Service string
	// InterDomainDelay is the one-way network delay between failure domains,
	// CallerDelay that between callers and routers.
	InterDomainDelay, CallerDelay time.Duration
	// Policy holds the weights of the routing policy.
	Policy note.Policy
	// OracleHitWeight is the cache hit weight, relative to a TTFT weight of 1,
	// at which the oracle placement scores best on the deployment's primary
	// measure.
	OracleHitWeight float64
	Accounts        []Account
	Traffic         Traffic
	Engine          Engine
}

// Account is one client account and its share of the traffic.
type Account struct {
	ID proto.AccountID
	// Share is the fraction of all requests that the account sends.
	Share float64
	// Rate is the account's limit in tokens per second, Burst in tokens.
	Rate, Burst int64
}

// Engine holds the settings of the engine stand-ins.
type Engine struct {
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	BatchSize   int
	// PrefillPerToken is the time to prefill one uncached prompt token,
	// DecodePerToken the time between two generated tokens.
	PrefillPerToken, DecodePerToken time.Duration
}

// Traffic describes the request mix, which is the same for every account.
type Traffic struct {
	// Rate is the total number of requests per second.
	Rate float64
	// SystemBlocks is the length of an account's system prompt, in blocks.
	SystemBlocks int
	// Catalogues is the number of shared documents (catalogues or repair
	// histories) that an account uses. They are CatalogueMin to CatalogueMax
	// blocks long, and their popularity follows a Zipf distribution with the
	// exponent ZipfExponent.
	Catalogues                 int
	CatalogueMin, CatalogueMax int
	ZipfExponent               float64
	// MeanTurns is the mean number of requests per session. The first one has
	// SessionBlocks blocks of session text, and each later one a block more.
	MeanTurns     float64
	SessionBlocks int
	// MaxTokens is the maximum length of a generation, in tokens.
	MaxTokens int64
	// CallShare is the fraction of requests that are plain calls, OrderShare
	// the fraction of these that are not idempotent.
	CallShare, OrderShare float64
	// OrderPath is the path of the non-idempotent calls. QueryPath is the prefix
	// of the idempotent ones; a number is appended to it.
	OrderPath, QueryPath string
	Timeout              time.Duration
}

// Model is the name of the model that the engines of both deployments serve.
const Model = "assistant"

// Version is the version of Model in the example release notes.
const Version = "v1"

// Pompas returns the deployment Pompas del Sur. Its primary measures are the
// tail of the time to first token and wrongful refusals.
func Pompas() Deployment {
	return Deployment{
		Name:    "pompas",
		Domains: []proto.Domain{"centro-a", "centro-b", "centro-c"},
		Routers: 3, Engines: 18, Services: 3, Service: "orders",
		InterDomainDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Policy: note.Policy{TTFTWeight: 1, CacheHitWeight: 0.75},
		Accounts: withLimits([]Account{
			{ID: "almacenes-lira", Share: 0.40},
			{ID: "botica-central", Share: 0.25},
			{ID: "casa-recargas", Share: 0.18},
			{ID: "drogueria-sur", Share: 0.11},
			{ID: "emporio-puerto", Share: 0.06},
		}, 22, 24_000),
		Traffic: Traffic{
			Rate: 22, SystemBlocks: 2,
			Catalogues: 8, CatalogueMin: 4, CatalogueMax: 9, ZipfExponent: 1.3,
			MeanTurns: 5, SessionBlocks: 1, MaxTokens: 24,
			CallShare: 0.2, OrderShare: 0.4, OrderPath: "/orders", QueryPath: "/stock/",
			Timeout: 20 * time.Second,
		},
		Engine: Engine{CacheBlocks: 80, BatchSize: 16, PrefillPerToken: 50 * time.Microsecond, DecodePerToken: 20 * time.Millisecond},
	}
}

// Karoo returns the deployment Karoo Canvas Menders. Its primary measures are
// the prefix hit rate and wasted recomputation.
func Karoo() Deployment {
	return Deployment{
		Name:    "karoo",
		Domains: []proto.Domain{"gauteng-1", "gauteng-2", "gauteng-3"},
		Routers: 3, Engines: 12, Services: 3, Service: "bookings",
		InterDomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Policy: note.Policy{TTFTWeight: 1, CacheHitWeight: 3}, OracleHitWeight: 3,
		Accounts: withLimits([]Account{
			{ID: "head-office", Share: 0.45},
			{ID: "west-rand", Share: 0.22},
			{ID: "east-rand", Share: 0.15},
			{ID: "tshwane", Share: 0.11},
			{ID: "vaal", Share: 0.07},
		}, 14, 24_000),
		Traffic: Traffic{
			Rate: 14, SystemBlocks: 1,
			Catalogues: 10, CatalogueMin: 3, CatalogueMax: 10, ZipfExponent: 1.2,
			MeanTurns: 4, SessionBlocks: 2, MaxTokens: 24,
			CallShare: 0.2, OrderShare: 0.3, OrderPath: "/bookings", QueryPath: "/jobs/",
			Timeout: 20 * time.Second,
		},
		Engine: Engine{CacheBlocks: 80, BatchSize: 16, PrefillPerToken: 50 * time.Microsecond, DecodePerToken: 20 * time.Millisecond},
	}
}

// Deployments returns both example deployments.
func Deployments() []Deployment { return []Deployment{Pompas(), Karoo()} }

const (
	// rateHeadroom is the ratio of an account's rate limit to its mean demand.
	// burstSeconds is the account's burst, in seconds at that rate.
	rateHeadroom = 1.5
	burstSeconds = 20
)

// withLimits sets the limits of the accounts for a total rate in requests per
// second and a mean cost per request in tokens.
func withLimits(accounts []Account, requestRate, meanTokens float64) []Account {
	for i := range accounts {
		a := &accounts[i]
		a.Rate = int64(a.Share * requestRate * meanTokens * rateHeadroom)
		a.Burst = burstSeconds * a.Rate
	}
	return accounts
}

// ExampleKey returns the API key of an account in the example release notes. The
// keys are public and must not be used outside tests and measurements.
func ExampleKey(id proto.AccountID) string { return "example-key-of-" + string(id) }

func keyHash(id proto.AccountID) proto.KeyHash {
	sum := sha256.Sum256([]byte(ExampleKey(id)))
	return proto.KeyHash(hex.EncodeToString(sum[:]))
}

// Note returns the first release note of the deployment.
func (d Deployment) Note() note.Note {
	policy := d.Policy
	n := note.Note{
		Author: "example",
		Reason: "first release of " + d.Name,
		Added: note.Items{
			Models: []note.Model{{Name: Model, Version: Version}},
			Routes: []note.Route{
				{Method: "POST", Path: d.Traffic.OrderPath, Service: d.Service},
				{Method: "GET", Path: d.Traffic.QueryPath, Service: d.Service, Idempotent: true},
			},
		},
		Changed: note.Items{Policy: &policy},
	}
	for _, a := range d.Accounts {
		n.Added.Accounts = append(n.Added.Accounts, note.Account{ID: a.ID, Rate: a.Rate, Burst: a.Burst})
		n.Added.Keys = append(n.Added.Keys, note.Key{Hash: keyHash(a.ID), Account: a.ID})
	}
	for i := range d.Engines {
		e := d.endpoint("e", i)
		e.Kind, e.Models = note.KindEngine, []string{Model}
		n.Added.Endpoints = append(n.Added.Endpoints, e)
	}
	for i := range d.Services {
		e := d.endpoint("s", i)
		e.Kind, e.Service = note.KindService, d.Service
		n.Added.Endpoints = append(n.Added.Endpoints, e)
	}
	return n
}

// endpoint returns endpoint number i, counted from 0. Endpoints are assigned to
// the failure domains in turn, and each domain has its own subnet.
func (d Deployment) endpoint(prefix string, i int) note.Endpoint {
	const enginePort, servicePort = 7100, 7200
	port := enginePort
	if prefix == "s" {
		port = servicePort
	}
	domain := i % len(d.Domains)
	return note.Endpoint{
		ID:     proto.EndpointID(fmt.Sprintf("%s%d", prefix, i+1)),
		Domain: d.Domains[domain],
		Addr:   fmt.Sprintf("10.0.%d.%d:%d", domain+1, i/len(d.Domains)+1, port),
	}
}
