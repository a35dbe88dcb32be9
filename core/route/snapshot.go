package route

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// snapshot is the configuration as decisions need it; it is immutable.
type snapshot struct {
	endpoints []*endpoint
	byID      map[proto.EndpointID]*endpoint
	// byNum finds an endpoint by its number in the recall table.
	byNum    []*endpoint
	models   map[string]*group
	services map[string]*group
	// known holds the models of the note, with or without endpoints.
	known  map[string]note.Model
	policy note.Policy
}

// group is the endpoints of one model or service.
type group struct {
	*homes
	// inFlight is the number of the router's own attempts in the group.
	inFlight *atomic.Int64
}

// builder makes snapshots. It belongs to the goroutine that configures.
type builder struct {
	live    map[proto.EndpointID]*live
	nums    []bool
	counts  map[string]*atomic.Int64
	domains map[proto.Domain]*domainHealth
}

func newBuilder() *builder {
	return &builder{
		live:    map[proto.EndpointID]*live{},
		counts:  map[string]*atomic.Int64{},
		domains: map[proto.Domain]*domainHealth{},
	}
}

// build returns the snapshot of cfg. It reuses the rankings of prev for each
// model and service whose endpoints did not change.
func (b *builder) build(prev *snapshot, cfg *note.Config) *snapshot {
	s := &snapshot{
		byID:     make(map[proto.EndpointID]*endpoint, len(cfg.Endpoints)),
		models:   map[string]*group{},
		services: map[string]*group{},
		known:    cfg.Models,
		policy:   cfg.Policy,
	}
	b.forget(cfg)
	ids := make([]proto.EndpointID, 0, len(cfg.Endpoints))
	for id := range cfg.Endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	models, services := map[string][]uint16{}, map[string][]uint16{}
	for i, id := range ids {
		e := cfg.Endpoints[id]
		s.add(b.endpoint(e))
		if e.Kind == note.KindService {
			services[e.Service] = append(services[e.Service], uint16(i))
			continue
		}
		for _, model := range e.Models {
			models[model] = append(models[model], uint16(i))
		}
	}
	s.byNum = make([]*endpoint, len(b.nums))
	for _, e := range s.endpoints {
		s.byNum[e.num] = e
	}
	sameEndpoints := prev != nil && slices.EqualFunc(prev.endpoints, s.endpoints, sameHome)
	for model, members := range models {
		if !sameEndpoints {
			s.models[model] = b.group("m/"+model, newHomes(s.endpoints, members))
			continue
		}
		old := prev.models[model]
		if old == nil || !slices.Equal(old.members, members) {
			old = b.group("m/"+model, newHomes(s.endpoints, members))
		}
		s.models[model] = old
	}
	for service, members := range services {
		s.services[service] = b.group("s/"+service, &homes{members: members})
	}
	b.prune(s)
	return s
}

// prune forgets the counts of models and services that are gone.
func (b *builder) prune(s *snapshot) {
	for name := range b.counts {
		kind, rest, _ := strings.Cut(name, "/")
		used := kind == "m" && s.models[rest] != nil || kind == "s" && s.services[rest] != nil
		if !used {
			delete(b.counts, name)
		}
	}
}

func sameHome(a, b *endpoint) bool { return a.id == b.id && a.domain == b.domain }

func (s *snapshot) add(e *endpoint) {
	s.endpoints = append(s.endpoints, e)
	s.byID[e.id] = e
}

// forget frees the numbers of withdrawn endpoints. Entries of the recall
// table that still carry such a number do not match its next user, as the tag differs.
func (b *builder) forget(cfg *note.Config) {
	for id, l := range b.live {
		if _, ok := cfg.Endpoints[id]; !ok {
			b.nums[l.num] = false
			delete(b.live, id)
		}
	}
}

func (b *builder) endpoint(e note.Endpoint) *endpoint {
	l := b.live[e.ID]
	if l == nil {
		l = newLive(e.ID, b.number())
		b.live[e.ID] = l
	}
	health := b.domains[e.Domain]
	if health == nil {
		health = &domainHealth{}
		b.domains[e.Domain] = health
	}
	return &endpoint{live: l, domain: e.Domain, health: health, leaving: e.Leaving}
}

func (b *builder) number() uint16 {
	for num, used := range b.nums {
		if !used {
			b.nums[num] = true
			return uint16(num)
		}
	}
	b.nums = append(b.nums, true)
	return uint16(len(b.nums) - 1)
}

func (b *builder) group(name string, h *homes) *group {
	count := b.counts[name]
	if count == nil {
		count = &atomic.Int64{}
		b.counts[name] = count
	}
	return &group{homes: h, inFlight: count}
}
