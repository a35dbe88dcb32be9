package route

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// snapshot is the configuration in the form that placement uses. It is immutable.
type snapshot struct {
	endpoints []*endpoint
	byID      map[proto.EndpointID]*endpoint
	// byNumber maps the endpoint numbers in the cache table to endpoints.
	byNumber []*endpoint
	models   map[string]*group
	services map[string]*group
	// configured holds the models of the release note, with or without endpoints.
	configured map[string]note.Model
	policy     note.Policy
}

// group holds the endpoints of one model or service.
type group struct {
	*homes
	// inFlight is the number of this router's attempts in flight in the group. It
	// persists across snapshots.
	inFlight *atomic.Int64
}

// builder builds snapshots and holds the state that persists across them. Only the
// goroutine that calls Configure uses it.
type builder struct {
	liveState map[proto.EndpointID]*liveState
	// numbersInUse marks the endpoint numbers in use.
	numbersInUse []bool
	// inFlightCounts has keys of the form m/MODEL and s/SERVICE.
	inFlightCounts map[string]*atomic.Int64
	domains        map[proto.Domain]*domainState
}

func newBuilder() *builder {
	return &builder{
		liveState:      map[proto.EndpointID]*liveState{},
		inFlightCounts: map[string]*atomic.Int64{},
		domains:        map[proto.Domain]*domainState{},
	}
}

// build returns the snapshot of cfg. If no endpoint came, went or moved to another
// failure domain, it reuses the rankings of prev for each model whose members did not
// change.
func (b *builder) build(prev *snapshot, cfg *note.Config) *snapshot {
	s := &snapshot{
		byID:       make(map[proto.EndpointID]*endpoint, len(cfg.Endpoints)),
		models:     map[string]*group{},
		services:   map[string]*group{},
		configured: cfg.Models,
		policy:     cfg.Policy,
	}
	b.removeWithdrawn(cfg)
	ids := make([]proto.EndpointID, 0, len(cfg.Endpoints))
	for id := range cfg.Endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	models, services := map[string][]uint16{}, map[string][]uint16{}
	for i, id := range ids {
		e := cfg.Endpoints[id]
		s.addEndpoint(b.endpoint(e))
		if e.Kind == note.KindService {
			services[e.Service] = append(services[e.Service], uint16(i))
			continue
		}
		for _, model := range e.Models {
			models[model] = append(models[model], uint16(i))
		}
	}
	s.byNumber = make([]*endpoint, len(b.numbersInUse))
	for _, e := range s.endpoints {
		s.byNumber[e.number] = e
	}
	sameEndpoints := prev != nil && slices.EqualFunc(prev.endpoints, s.endpoints, sameIDAndDomain)
	for model, members := range models {
		if !sameEndpoints {
			s.models[model] = b.group("m/"+model, newHomes(s.endpoints, members))
			continue
		}
		previous := prev.models[model]
		if previous == nil || !slices.Equal(previous.members, members) {
			previous = b.group("m/"+model, newHomes(s.endpoints, members))
		}
		s.models[model] = previous
	}
	for service, members := range services {
		s.services[service] = b.group("s/"+service, &homes{members: members})
	}
	b.removeUnusedCounts(s)
	return s
}

// removeUnusedCounts removes the counts of models and services without endpoints.
func (b *builder) removeUnusedCounts(s *snapshot) {
	for name := range b.inFlightCounts {
		kind, rest, _ := strings.Cut(name, "/")
		used := kind == "m" && s.models[rest] != nil || kind == "s" && s.services[rest] != nil
		if !used {
			delete(b.inFlightCounts, name)
		}
	}
}

// sameIDAndDomain reports whether two endpoints are ranked alike.
func sameIDAndDomain(a, b *endpoint) bool { return a.id == b.id && a.domain == b.domain }

func (s *snapshot) addEndpoint(e *endpoint) {
	s.endpoints = append(s.endpoints, e)
	s.byID[e.id] = e
}

// removeWithdrawn removes the state of withdrawn endpoints and frees their numbers.
// Records in the cache table with such a number do not match the next endpoint that
// gets it, because its tag differs.
func (b *builder) removeWithdrawn(cfg *note.Config) {
	for id, state := range b.liveState {
		if _, ok := cfg.Endpoints[id]; !ok {
			b.numbersInUse[state.number] = false
			delete(b.liveState, id)
		}
	}
}

// endpoint returns the snapshot's entry for an endpoint of the configuration.
func (b *builder) endpoint(e note.Endpoint) *endpoint {
	state := b.liveState[e.ID]
	if state == nil {
		state = newLiveState(e.ID, b.allocateNumber())
		b.liveState[e.ID] = state
	}
	domainHealth := b.domains[e.Domain]
	if domainHealth == nil {
		domainHealth = &domainState{}
		b.domains[e.Domain] = domainHealth
	}
	return &endpoint{liveState: state, domain: e.Domain, domainHealth: domainHealth, leaving: e.Leaving}
}

func (b *builder) allocateNumber() uint16 {
	for number, used := range b.numbersInUse {
		if !used {
			b.numbersInUse[number] = true
			return uint16(number)
		}
	}
	b.numbersInUse = append(b.numbersInUse, true)
	return uint16(len(b.numbersInUse) - 1)
}

// group returns a group that shares its count in flight with earlier snapshots.
func (b *builder) group(name string, h *homes) *group {
	count := b.inFlightCounts[name]
	if count == nil {
		count = &atomic.Int64{}
		b.inFlightCounts[name] = count
	}
	return &group{homes: h, inFlight: count}
}
