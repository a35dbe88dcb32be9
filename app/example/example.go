// Package example builds the first release notes of the two deployments that
// the design page describes.
package example

import (
	"fmt"
	"net/http"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Names of the deployments.
const (
	Pompas = "pompas"
	Karoo  = "karoo"
)

// Names lists the deployments.
var Names = []string{Pompas, Karoo}

// agentPort is where the agents of the examples listen.
const agentPort = 8090

// Note returns the first note of a deployment. It has no keys, since only
// their owners may know them. It reports false for an unknown name.
func Note(name string) (note.Note, bool) {
	switch name {
	case Pompas:
		return pompas(), true
	case Karoo:
		return karoo(), true
	}
	return note.Note{}, false
}

// pompas weighs the tail of the time to first token highest. All accounts
// have one priority, so that fairness decides between them.
func pompas() note.Note {
	const model = "formula-assistant"
	n := note.Note{
		Author: "operator@pompas.example", Reason: "first note of Pompas del Sur",
		Added: note.Items{
			Accounts: []note.Account{
				{ID: "pompas-retail", Rate: 60_000, Burst: 600_000},
				{ID: "lavados-valpo", Rate: 40_000, Burst: 400_000},
				{ID: "granel-centro", Rate: 12_000, Burst: 120_000},
				{ID: "ecotienda-vina", Rate: 8_000, Burst: 80_000},
				{ID: "formula-desk", Rate: 20_000, Burst: 200_000},
			},
			Models: []note.Model{{Name: model, Version: "2026-05", MinEndpoints: 12}},
			Routes: []note.Route{
				{Method: http.MethodPost, Path: "/orders", Service: "orders"},
				{Method: http.MethodGet, Path: "/orders/", Service: "orders", Idempotent: true},
				{Method: http.MethodGet, Path: "/stock/", Service: "orders", Idempotent: true},
				{Method: http.MethodGet, Path: "/deliveries/", Service: "orders", Idempotent: true},
			},
		},
	}
	n.Changed.Policy = policy(1, 0.25)
	n.Added.Endpoints = endpoints("cl-centro", 18, model, "orders")
	return n
}

// karoo weighs the recomputation that a cached prefix saves highest.
func karoo() note.Note {
	const model = "patch-assistant"
	n := note.Note{
		Author: "operator@karoo.example", Reason: "first note of Karoo Canvas Menders",
		Added: note.Items{
			Accounts: []note.Account{
				{ID: "patch-desk", Rate: 50_000, Burst: 500_000},
				{ID: "gauteng-depot", Rate: 25_000, Burst: 250_000},
				{ID: "safari-camps", Rate: 10_000, Burst: 100_000},
				{ID: "school-tents", Rate: 6_000, Burst: 60_000},
				{ID: "repair-status", Rate: 4_000, Burst: 40_000},
			},
			Models: []note.Model{{Name: model, Version: "2026-05", MinEndpoints: 8}},
			Routes: []note.Route{
				{Method: http.MethodPost, Path: "/bookings", Service: "bookings"},
				{Method: http.MethodGet, Path: "/bookings/", Service: "bookings", Idempotent: true},
				{Method: http.MethodGet, Path: "/jobs/", Service: "bookings", Idempotent: true},
			},
		},
	}
	n.Changed.Policy = policy(0.25, 1)
	n.Added.Endpoints = endpoints("gauteng", 12, model, "bookings")
	return n
}

func policy(tail, hit float64) *note.Policy {
	p := note.DefaultPolicy()
	p.TailWeight, p.HitWeight = tail, hit
	return &p
}

// endpoints spreads the engines and three plain services over three failure
// domains. Every other engine ignores fencing numbers, as some do.
func endpoints(region string, engines int, model, service string) []note.Endpoint {
	const domains, services = 3, 3
	var out []note.Endpoint
	place := func(i int, e note.Endpoint) {
		d := i % domains
		e.Domain = proto.Domain(fmt.Sprintf("%s-%c", region, 'a'+d))
		e.Addr = fmt.Sprintf("10.0.%d.%d:%d", d+1, 10+len(out)/domains, agentPort)
		out = append(out, e)
	}
	for i := range engines {
		id := proto.EndpointID(fmt.Sprintf("engine-%02d", i+1))
		place(i, note.Endpoint{ID: id, Kind: note.KindEngine, Models: []string{model}, ChecksFence: i%2 == 0})
	}
	for i := range services {
		id := proto.EndpointID(fmt.Sprintf("%s-%d", service, i+1))
		place(i, note.Endpoint{ID: id, Kind: note.KindService, Service: service})
	}
	return out
}
