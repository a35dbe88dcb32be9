// Package example builds the first release notes of the two deployments that
// the design document describes.
package example

import (
	"fmt"
	"net/http"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

// Names of the deployments.
const (
	Pompas = "pompas"
	Karoo  = "karoo"
)

// DeploymentNames lists the deployments.
var DeploymentNames = []string{Pompas, Karoo}

// agentPort is where the agents of the examples listen.
const agentPort = 8090

// Note returns the first release note of a deployment, or false for an unknown
// name. The note has no keys, since only their owners may know them.
func Note(name string) (note.Note, bool) {
	switch name {
	case Pompas:
		return pompas(), true
	case Karoo:
		return karoo(), true
	}
	return note.Note{}, false
}

// pompas gives the tail of the time to first token the highest weight. All
// accounts have the same priority, so that fairness decides between them.
func pompas() note.Note {
	n := firstNote(workload.Pompas(), "first note of Pompas del Sur", 12, "cl-centro")
	n.Author = "operator@pompas.example"
	n.Added.Routes = append(n.Added.Routes, queryRoute("/orders/", "orders"), queryRoute("/deliveries/", "orders"))
	return n
}

// karoo gives the recomputation that a cached prefix saves the highest weight.
func karoo() note.Note {
	n := firstNote(workload.Karoo(), "first note of Karoo Canvas Menders", 8, "gauteng")
	n.Author = "operator@karoo.example"
	n.Added.Routes = append(n.Added.Routes, queryRoute("/bookings/", "bookings"))
	return n
}

// firstNote takes the accounts, model, routes and weights from the workload, so
// that the fleet serves what "kumquatsill load" requests.
func firstNote(d workload.Deployment, reason string, minEndpoints int, region string) note.Note {
	n := d.Note()
	n.Reason = reason
	n.Added.Keys = nil
	n.Added.Models[0].MinEndpoints = minEndpoints
	p := note.DefaultPolicy()
	p.TTFTWeight, p.CacheHitWeight = d.Policy.TTFTWeight, d.Policy.CacheHitWeight
	n.Changed.Policy = &p
	n.Added.Endpoints = endpoints(region, d.Engines, workload.Model, d.Service)
	return n
}

// queryRoute returns an idempotent GET route.
func queryRoute(path, service string) note.Route {
	return note.Route{Method: http.MethodGet, Path: path, Service: service, Idempotent: true}
}

// endpoints spreads the engines and three instances of the plain service evenly
// over three failure domains. Every other engine does not check fencing tokens,
// as is the case for some engines.
func endpoints(region string, engines int, model, service string) []note.Endpoint {
	const domains, services = 3, 3
	var out []note.Endpoint
	addEndpoint := func(i int, e note.Endpoint) {
		d := i % domains
		e.Domain = proto.Domain(fmt.Sprintf("%s-%c", region, 'a'+d))
		e.Addr = fmt.Sprintf("10.0.%d.%d:%d", d+1, 10+len(out)/domains, agentPort)
		out = append(out, e)
	}
	for i := range engines {
		id := proto.EndpointID(fmt.Sprintf("engine-%02d", i+1))
		addEndpoint(i, note.Endpoint{ID: id, Kind: note.KindEngine, Models: []string{model}, ChecksFence: i%2 == 0})
	}
	for i := range services {
		id := proto.EndpointID(fmt.Sprintf("%s-%d", service, i+1))
		addEndpoint(i, note.Endpoint{ID: id, Kind: note.KindService, Service: service})
	}
	return out
}
