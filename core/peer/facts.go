package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

const (
	// pageTimePerPeer is the time per peer between two pages to each of them. It limits the
	// pages that a router receives to 500 a second regardless of the size of the fleet.
	pageTimePerPeer = 2 * time.Millisecond
	// pageBurst is the time whose pages are sent at once: about that between two calls of
	// Due.
	pageBurst = 40 * time.Millisecond
)

// Confirmation tells a peer how far the sender has read the log of one of its incarnations.
type Confirmation struct {
	Router      quota.RouterHash `json:"router"`
	Incarnation int64            `json:"life"`
	Position    crash.Position   `json:"read"`
}

// FactSync tells the peers of a router the facts in its register, each until the peer has
// confirmed it, and reads theirs. It is not safe for concurrent use.
type FactSync struct {
	self        quota.RouterHash
	incarnation int64
	register    *crash.Register
	peers       map[proto.RouterID]*factPeer
	// nextPageAt is the time from which a page may be sent to each peer.
	nextPageAt proto.Instant
}

// factPeer is how far a peer and this router have read each other's logs.
type factPeer struct {
	incarnation int64
	// heard is set while the peer's messages arrive, so that it can confirm what it reads.
	heard  bool
	cursor cursor
	read   readState
}

// NewFactSync returns the state of a router without peers.
func NewFactSync(self proto.RouterID, incarnation int64, register *crash.Register) *FactSync {
	return &FactSync{self: quota.HashRouter(self), incarnation: incarnation, register: register, peers: map[proto.RouterID]*factPeer{}}
}

// Add adds a peer. Until it is heard it is told only what is new.
func (s *FactSync) Add(id proto.RouterID) {
	if s.peers[id] == nil {
		s.peers[id] = &factPeer{cursor: cursor{sent: s.register.End()}}
	}
}

// Remove removes a peer that has stopped.
func (s *FactSync) Remove(id proto.RouterID) {
	delete(s.peers, id)
	s.register.ObserverLost(id)
}

// Silent records that a peer is no longer heard.
func (s *FactSync) Silent(id proto.RouterID) {
	if p := s.peers[id]; p != nil {
		p.heard = false
		s.register.ObserverLost(id)
	}
}

// Heard records that a message of a peer has arrived. One that has started anew knows
// nothing and can no longer tell what it told before.
func (s *FactSync) Heard(id proto.RouterID, incarnation int64) {
	p := s.peers[id]
	if p == nil {
		return
	}
	if p.incarnation != incarnation {
		if p.incarnation != 0 {
			s.register.ObserverLost(id)
		}
		*p = factPeer{incarnation: incarnation}
	}
	p.heard = true
}

// Delivery is a page and the peers that it is to be sent to.
type Delivery struct {
	Page crash.Page
	To   []proto.RouterID
}

// Due returns what is to be sent now, and whether more waits for its turn.
func (s *FactSync) Due(now proto.Instant) (due []Delivery, more bool) {
	for end := s.register.End(); s.nextPageAt.Sub(now) < pageBurst; {
		pages := s.nextPages(now, end)
		if len(pages) == 0 {
			return due, false
		}
		due = append(due, pages...)
		s.nextPageAt = max(s.nextPageAt, now).Add(time.Duration(len(s.peers)) * pageTimePerPeer)
	}
	return due, true
}

// nextPages returns the next page of each peer that there is one for.
func (s *FactSync) nextPages(now proto.Instant, end crash.Position) []Delivery {
	byPosition := map[crash.Position][]proto.RouterID{}
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[id]
		if from := p.cursor.next(now, p.heard); from < end {
			byPosition[from] = append(byPosition[from], id)
		}
	}
	var pages []Delivery
	for _, from := range slices.Sorted(maps.Keys(byPosition)) {
		d := Delivery{Page: s.register.Page(now, from), To: byPosition[from]}
		for _, id := range d.To {
			s.peers[id].cursor.markSent(now, &d.Page)
		}
		pages = append(pages, d)
	}
	return pages
}

// Read applies a page of a peer, which bears ages as of sentAt.
func (s *FactSync) Read(now, sentAt proto.Instant, from proto.RouterID, page *crash.Page) {
	if p := s.peers[from]; p != nil {
		p.read.markRead(page)
	}
	s.register.Merge(now, sentAt, from, page.Evidence())
}

// TakeConfirmations returns how far this router has read the logs of the selected peers
// that have sent pages since the last call.
func (s *FactSync) TakeConfirmations(selected func(proto.RouterID) bool) []Confirmation {
	var confirmations []Confirmation
	for id, p := range s.peers {
		if p.read.unconfirmed && selected(id) {
			p.read.unconfirmed = false
			confirmations = append(confirmations, Confirmation{Router: quota.HashRouter(id), Incarnation: p.incarnation, Position: p.read.position})
		}
	}
	return confirmations
}

// Confirmed applies the confirmations of a peer.
func (s *FactSync) Confirmed(now proto.Instant, from proto.RouterID, confirmations []Confirmation) {
	for _, c := range confirmations {
		if p := s.peers[from]; p != nil && c.Router == s.self && c.Incarnation == s.incarnation {
			p.cursor.confirm(now, min(c.Position, s.register.End()))
		}
	}
}

// Unconfirmed returns the largest number of facts that a peer which is heard has not
// confirmed.
func (s *FactSync) Unconfirmed() int {
	most := crash.Position(0)
	for _, p := range s.peers {
		if p.heard {
			most = max(most, s.register.End()-max(p.cursor.confirmed, s.register.First()))
		}
	}
	return int(most)
}
