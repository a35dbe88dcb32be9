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
	// heartbeatInterval is the time between two heartbeats to a peer. It allows
	// two heartbeats between the moment at which a router notices an outage of
	// the log and the end of its freshness.
	heartbeatInterval = 500 * time.Millisecond
	// maxHeartbeatPeers bounds the number of peers that a router sends
	// heartbeats to. A heartbeat and its reply take about 400 bytes together.
	maxHeartbeatPeers = 16
	// maxLogResponseAge is the age of the log's last response above which a
	// router reports the log as unreachable. It is half of freshnessTTL, so
	// that peers learn of it before the freshness ends.
	maxLogResponseAge = 2 * time.Second
	// maxPendingRounds is the number of heartbeat rounds whose send times are
	// kept. It bounds the memory for rounds that get no reply.
	maxPendingRounds = 64
)

// peers selects the routers to exchange heartbeats with and keeps what their
// heartbeats say.
type peers struct {
	self        proto.RouterID
	rng         *rand.Rand
	heartbeatAt proto.Instant
	lastRound   uint64
	// sent maps the number of a heartbeat round to the time at which it was sent.
	sent map[uint64]proto.Instant
	// selected holds the routers to which this one sends heartbeats.
	selected map[proto.RouterID]proto.Domain
	// lastHeard is when a selected router was last heard from, or when it was
	// selected if it has not been heard from yet.
	lastHeard map[proto.RouterID]proto.Instant
	// offsets is the position up to which each router has applied the config
	// stream, by its own report.
	offsets map[proto.RouterID]proto.Offset
	// grantsFrom holds the removed routers of which a router may still hold
	// grants, by its last heartbeat.
	grantsFrom map[proto.RouterID][]proto.RouterID
}

func newPeers(self proto.RouterID, rng *rand.Rand) *peers {
	return &peers{self: self, rng: rng, sent: map[uint64]proto.Instant{}, selected: map[proto.RouterID]proto.Domain{}, lastHeard: map[proto.RouterID]proto.Instant{}, offsets: map[proto.RouterID]proto.Offset{}, grantsFrom: map[proto.RouterID][]proto.RouterID{}}
}

// update selects the peers from the registered routers and drops the data of
// routers that are no longer selected.
func (p *peers) update(now proto.Instant, known map[proto.RouterID]configlog.RouterState) {
	p.selectPeers(known)
	for id := range p.selected {
		if _, ok := p.lastHeard[id]; !ok {
			p.lastHeard[id] = now
		}
	}
	maps.DeleteFunc(p.lastHeard, func(id proto.RouterID, _ proto.Instant) bool { return !p.isSelected(id) })
	maps.DeleteFunc(p.grantsFrom, func(id proto.RouterID, _ []proto.RouterID) bool { return !p.isSelected(id) })
	maps.DeleteFunc(p.offsets, func(id proto.RouterID, _ proto.Offset) bool { return !p.isSelected(id) })
}

func (p *peers) isSelected(id proto.RouterID) bool {
	_, ok := p.selected[id]
	return ok
}

// recordHeartbeat processes a heartbeat or the reply to one.
func (p *peers) recordHeartbeat(now proto.Instant, beat proto.PeerBeat) {
	if !p.isSelected(beat.Router) {
		return
	}
	p.lastHeard[beat.Router] = now
	if beat.Stamp.ConfigOffset < p.offsets[beat.Router] {
		return // a delayed heartbeat that a newer one has overtaken
	}
	p.offsets[beat.Router] = beat.Stamp.ConfigOffset
	p.grantsFrom[beat.Router] = beat.GrantsFrom
}

// hasNoGrants reports whether a router has said, after it applied the config
// stream beyond an offset, that it holds no grant of a former holder.
func (p *peers) hasNoGrants(id, holder proto.RouterID, after proto.Offset) bool {
	return p.offsets[id] > after && !slices.Contains(p.grantsFrom[id], holder)
}

// silentPeers returns the selected routers that have not been heard from for
// longer than d.
func (p *peers) silentPeers(now proto.Instant, d time.Duration) []proto.RouterID {
	var silent []proto.RouterID
	for _, id := range p.sortedIDs() {
		if now.Sub(p.lastHeard[id]) > d {
			silent = append(silent, id)
		}
	}
	return silent
}

// selectPeers selects all routers or, if there are more than maxHeartbeatPeers,
// the first ones in an order by a hash that differs from router to router.
func (p *peers) selectPeers(known map[proto.RouterID]configlog.RouterState) {
	ids := make([]proto.RouterID, 0, len(known))
	for id := range known {
		if id != p.self {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b proto.RouterID) int { return cmp.Compare(p.rank(a), p.rank(b)) })
	p.selected = make(map[proto.RouterID]proto.Domain, min(len(ids), maxHeartbeatPeers))
	for _, id := range ids[:min(len(ids), maxHeartbeatPeers)] {
		p.selected[id] = known[id].Domain
	}
}

func (p *peers) rank(id proto.RouterID) uint64 { return hashID(string(p.self) + "/" + string(id)) }

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// startRound starts a round of heartbeats and returns its number.
func (p *peers) startRound(now proto.Instant) uint64 {
	p.lastRound++
	p.sent[p.lastRound] = now
	delete(p.sent, p.lastRound-maxPendingRounds)
	jitter := time.Duration(p.rng.Int64N(int64(heartbeatInterval / 8)))
	p.heartbeatAt = now.Add(heartbeatInterval - jitter)
	return p.lastRound
}

// sentAt returns when a heartbeat round was sent.
func (p *peers) sentAt(round uint64) (proto.Instant, bool) {
	at, ok := p.sent[round]
	return at, ok
}

// sortedIDs returns the ids of the selected routers in ascending order.
func (p *peers) sortedIDs() []proto.RouterID {
	ids := make([]proto.RouterID, 0, len(p.selected))
	for id := range p.selected {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
