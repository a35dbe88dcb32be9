package router

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// beatInterval is the time between two beats to a peer. Two beats fit
	// between the moment at which a reader notices an outage and the end of
	// its proof of freshness.
	beatInterval = 500 * time.Millisecond
	// maxBeatPeers bounds the beats of one router. A beat and its reply take
	// about 400 bytes together.
	maxBeatPeers = 16
	// reachableAge is the age of the log's last answer above which a router
	// says that it cannot read the log. It is half of freshFor, so that
	// peers learn of it before the proof runs out.
	reachableAge = 2 * time.Second
	// maxKnownPeers bounds the memory of beats sent.
	maxKnownPeers = 64
)

// peers sends beats to some of the other routers and keeps what they answer.
type peers struct {
	self   proto.RouterID
	rng    *rand.Rand
	beatAt proto.Instant
	call   uint64
	// sent maps the number of a beat to the instant at which it was sent.
	sent map[uint64]proto.Instant
	// chosen are the routers that this one talks to.
	chosen map[proto.RouterID]proto.Domain
	// lastHeard is when a chosen router was last heard, or was chosen.
	lastHeard map[proto.RouterID]proto.Instant
	// offsets is how far each router says that it has read the config stream.
	offsets map[proto.RouterID]proto.Offset
	// grantsFrom is what each router's last beat said.
	grantsFrom map[proto.RouterID][]proto.RouterID
}

func newPeers(self proto.RouterID, rng *rand.Rand) *peers {
	return &peers{self: self, rng: rng, sent: map[uint64]proto.Instant{}, chosen: map[proto.RouterID]proto.Domain{}, lastHeard: map[proto.RouterID]proto.Instant{}, offsets: map[proto.RouterID]proto.Offset{}, grantsFrom: map[proto.RouterID][]proto.RouterID{}}
}

// update takes in the registered routers.
func (p *peers) update(now proto.Instant, known map[proto.RouterID]configlog.RouterState) {
	p.choose(known)
	for id := range p.chosen {
		if _, ok := p.lastHeard[id]; !ok {
			p.lastHeard[id] = now
		}
	}
	maps.DeleteFunc(p.lastHeard, func(id proto.RouterID, _ proto.Instant) bool { return !p.isChosen(id) })
	maps.DeleteFunc(p.grantsFrom, func(id proto.RouterID, _ []proto.RouterID) bool { return !p.isChosen(id) })
	maps.DeleteFunc(p.offsets, func(id proto.RouterID, _ proto.Offset) bool { return !p.isChosen(id) })
}

func (p *peers) isChosen(id proto.RouterID) bool {
	_, ok := p.chosen[id]
	return ok
}

// heard takes in a beat or the answer to one.
func (p *peers) heard(now proto.Instant, beat proto.PeerBeat) {
	if !p.isChosen(beat.Router) {
		return
	}
	p.lastHeard[beat.Router] = now
	if beat.Stamp.ConfigOffset < p.offsets[beat.Router] {
		return // an older beat that came late
	}
	p.offsets[beat.Router] = beat.Stamp.ConfigOffset
	p.grantsFrom[beat.Router] = beat.GrantsFrom
}

// hasNoGrants reports whether a router has said, after it read the config
// stream beyond an offset, that it holds no grant of a former holder.
func (p *peers) hasNoGrants(id, holder proto.RouterID, after proto.Offset) bool {
	return p.offsets[id] > after && !slices.Contains(p.grantsFrom[id], holder)
}

// allSilent returns the chosen routers that were not heard for d.
func (p *peers) allSilent(now proto.Instant, d time.Duration) []proto.RouterID {
	var silent []proto.RouterID
	for _, id := range p.order() {
		if now.Sub(p.lastHeard[id]) > d {
			silent = append(silent, id)
		}
	}
	return silent
}

// choose picks the routers to talk to: all of them, or those that come first
// in a ranking by hash, which differs from router to router.
func (p *peers) choose(known map[proto.RouterID]configlog.RouterState) {
	ids := make([]proto.RouterID, 0, len(known))
	for id := range known {
		if id != p.self {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b proto.RouterID) int { return cmp.Compare(p.rank(a), p.rank(b)) })
	p.chosen = make(map[proto.RouterID]proto.Domain, min(len(ids), maxBeatPeers))
	for _, id := range ids[:min(len(ids), maxBeatPeers)] {
		p.chosen[id] = known[id].Domain
	}
}

func (p *peers) rank(id proto.RouterID) uint64 { return hashID(string(p.self) + "/" + string(id)) }

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// next starts a round of beats and returns its number.
func (p *peers) next(now proto.Instant) uint64 {
	p.call++
	p.sent[p.call] = now
	delete(p.sent, p.call-maxKnownPeers)
	jitter := time.Duration(p.rng.Int64N(int64(beatInterval / 8)))
	p.beatAt = now.Add(beatInterval - jitter)
	return p.call
}

// sentAt returns when a beat was sent.
func (p *peers) sentAt(call uint64) (proto.Instant, bool) {
	at, ok := p.sent[call]
	return at, ok
}

// order returns the chosen routers in a fixed order.
func (p *peers) order() []proto.RouterID {
	ids := make([]proto.RouterID, 0, len(p.chosen))
	for id := range p.chosen {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
