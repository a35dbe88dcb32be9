// Package workload describes the two deployments of the design page and
// generates their traffic from a seed.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Deployment is one of the two deployments with its traffic.
type Deployment struct {
	Name    string
	Domains []proto.Domain
	// Routers is the number of entry hosts.
	Routers int
	// Engines and Services are the numbers of endpoints.
	Engines, Services int
	// Service names the plain service.
	Service string
	// InterDomainDelay is the one-way delay between failure domains, CallerDelay that
	// between callers and routers.
	InterDomainDelay, CallerDelay time.Duration
	// Policy holds the deployment's policy weights.
	Policy note.Policy
	// OracleHitWeight is the hit weight, beside a tail weight of 1, at which
	// an oracle does best on the deployment's first measure.
	OracleHitWeight float64
	Accounts        []Account
	Traffic         Traffic
	Engine          Engine
}

// Account is one client account and its share of the traffic.
type Account struct {
	ID proto.AccountID
	// Share is the part of all requests that the account sends.
	Share float64
	// Rate and Burst are the account's limits, in tokens.
	Rate, Burst int64
}

// Engine holds the settings of the engine stand-ins.
type Engine struct {
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	BatchSize   int
	// PrefillPerToken is the cost of a prompt token that the cache misses,
	// DecodePerToken the time between two tokens of an answer.
	PrefillPerToken, DecodePerToken time.Duration
}

// Traffic is the shape of the requests of every account.
type Traffic struct {
	// Rate is the number of requests per second in total.
	Rate float64
	// SystemBlocks is the length of an account's system prompt.
	SystemBlocks int
	// Catalogues is the number of catalogues or repair histories of an
	// account that are in use; their lengths are from CatalogueMin to
	// CatalogueMax blocks, and their popularity falls by a Zipf law.
	Catalogues                 int
	CatalogueMin, CatalogueMax int
	ZipfExponent               float64
	// MeanTurns is the mean number of requests of a session. The first carries
	// SessionBlocks of its own, and each further one a block more.
	MeanTurns     float64
	SessionBlocks int
	// MaxTokens is the greatest length of an answer.
	MaxTokens int64
	// CallShare is the share of plain calls, OrderShare the share of these that may
	// not be repeated.
	CallShare, OrderShare float64
	// Paths of the calls: one that may not be repeated and one that may,
	// which is followed by an order's name.
	OrderPath, QueryPath string
	Timeout              time.Duration
}

// Model is the name of the model that the assistants of both deployments serve.
const Model = "assistant"

// Version is the version of Model in the example notes.
const Version = "v1"

// Pompas returns Pompas del Sur: tail time to first token and wrongful
// refusals have the highest weight.
func Pompas() Deployment {
	return Deployment{
		Name:    "pompas",
		Domains: []proto.Domain{"centro-a", "centro-b", "centro-c"},
		Routers: 3, Engines: 18, Services: 3, Service: "orders",
		InterDomainDelay: time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Policy: note.Policy{TTFTWeight: 1, CacheHitWeight: 0.75},
		Accounts: sized([]Account{
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

// Karoo returns Karoo Canvas Menders: prefix hit rate and wasted
// recomputation have the highest weight.
func Karoo() Deployment {
	return Deployment{
		Name:    "karoo",
		Domains: []proto.Domain{"gauteng-1", "gauteng-2", "gauteng-3"},
		Routers: 3, Engines: 12, Services: 3, Service: "bookings",
		InterDomainDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Policy: note.Policy{TTFTWeight: 1, CacheHitWeight: 3}, OracleHitWeight: 3,
		Accounts: sized([]Account{
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

// Deployments lists both.
func Deployments() []Deployment { return []Deployment{Pompas(), Karoo()} }

const (
	// rateHeadroom is the account's rate over its mean demand, burstSeconds
	// its burst in seconds of the rate.
	rateHeadroom = 1.5
	burstSeconds = 20
)

// sized fills in the limits for a total of requests/s with the given mean
// cost in tokens.
func sized(accounts []Account, requests, tokens float64) []Account {
	for i := range accounts {
		a := &accounts[i]
		a.Rate = int64(a.Share * requests * tokens * rateHeadroom)
		a.Burst = burstSeconds * a.Rate
	}
	return accounts
}

// ExampleKey returns the key of an account in the example notes. It is public and
// must not be used outside tests and measurements.
func ExampleKey(id proto.AccountID) string { return "example-key-of-" + string(id) }

func keyHash(id proto.AccountID) proto.KeyHash {
	sum := sha256.Sum256([]byte(ExampleKey(id)))
	return proto.KeyHash(hex.EncodeToString(sum[:]))
}

// Note returns the deployment's first release note.
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

// endpoint numbers the endpoints over the failure domains in turn. Each
// domain has a network of its own.
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
