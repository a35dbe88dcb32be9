package configlog

import (
	"cmp"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// applyLease applies a lease record. A renewal of one lease, a release and a
// hand-over are conflicting unless the holder still has the lease under its fencing
// token.
func (s *State) applyLease(at proto.Offset, l Lease) (Outcome, string) {
	if l.Holder == "" || l.Balance < 0 || l.TTL < 0 || l.Name == "" && l.Action != LeaseRenew {
		return Refused, "the lease record is incomplete"
	}
	cur, ok := s.cur.Leases[l.Name]
	cur = withRenewal(cur, s.cur.renewals)
	if l.Action == LeaseClaim {
		return s.applyClaim(at, l, cur, ok)
	}
	if l.Action == LeaseRenew && l.Name == "" {
		s.cur.renewals = cloneIfShared(s.cur.renewals, &s.shared.renewals)
		s.cur.renewals[l.Holder] = at
		return Applied, ""
	}
	if !ok || cur.Released || cur.Holder != l.Holder || cur.Fence != l.Fence {
		return Conflicting, "the lease is not held under this fencing number"
	}
	switch l.Action {
	case LeaseRenew:
		cur.TTL = cmp.Or(l.TTL, cur.TTL)
	case LeaseRelease:
		cur.Released = true
		cur.Balance = l.Balance
	case LeaseHandOver:
		if l.To == "" {
			return Refused, "the hand-over names no new holder"
		}
		cur = LeaseState{Holder: l.To, Fence: at, TTL: cmp.Or(l.TTL, cur.TTL), Balance: l.Balance}
	default:
		return Refused, "unknown lease action " + string(l.Action)
	}
	s.putLease(at, l.Name, cur)
	return Applied, ""
}

// applyClaim gives the lease to the claimant, unless a record has changed or renewed
// the lease since the claimant read it. A holder that renewed it in the meantime
// therefore keeps it.
func (s *State) applyClaim(at proto.Offset, l Lease, cur LeaseState, held bool) (Outcome, string) {
	if l.TTL <= 0 {
		return Refused, "the claim has no time to live"
	}
	prior := NoOffset
	if held {
		prior = cur.LastUpdate
	}
	if l.Prior != prior {
		return Conflicting, "the lease was touched at offset " + offsetText(prior)
	}
	next := LeaseState{Holder: l.Holder, Fence: at, TTL: l.TTL, CleanTransfer: !held || cur.Released && cur.ReplacedAt == 0}
	if cur.Released {
		next.Balance = cur.Balance
		next.ReplacedAt, next.ReplacedHolder = cur.ReplacedAt, cur.ReplacedHolder
	}
	s.putLease(at, l.Name, next)
	return Applied, ""
}

// putLease stores a lease that the record at the given offset has changed.
func (s *State) putLease(at proto.Offset, name string, l LeaseState) {
	l.LastUpdate = at
	s.cur.Leases = cloneIfShared(s.cur.Leases, &s.shared.leases)
	s.cur.Leases[name] = l
}

// applyRegistration registers, updates or removes a router. A router that does not
// get the slot that it asks for is registered without one.
func (s *State) applyRegistration(at proto.Offset, r Registration) (Outcome, string) {
	if r.Router == "" || !r.Remove && r.Addr == "" {
		return Refused, "the registration is incomplete"
	}
	s.cur.Routers = cloneIfShared(s.cur.Routers, &s.shared.routers)
	if r.Remove {
		s.removeRouter(r.Router)
		if r.Writer != r.Router {
			s.cur.LastRemoval = at
		}
		return Applied, ""
	}
	for id, other := range s.cur.Routers {
		if other.Addr == r.Addr && id != r.Router {
			s.releaseLeases(at, id)
			s.removeRouter(id)
		}
	}
	old, known := s.cur.Routers[r.Router]
	next := RouterState{Router: r.Router, Addr: r.Addr, Domain: r.Domain, Slot: NoSlot, Offset: at, SlotOffset: at}
	if known && old.Slot == r.Slot {
		next.SlotOffset = old.SlotOffset
	}
	if known && old.Slot != NoSlot {
		delete(s.slots, old.Slot)
	}
	detail := ""
	switch owner, taken := s.slots[r.Slot]; {
	case r.Slot == NoSlot:
	case r.Slot < 0 || r.Slot >= s.cur.Config.Policy.StaticSlots:
		detail = "there is no such slot"
	case taken:
		detail = "the slot belongs to " + string(owner)
	default:
		next.Slot = r.Slot
		s.slots[r.Slot] = r.Router
	}
	s.cur.Routers[r.Router] = next
	return Applied, detail
}

// releaseLeases releases the leases of a router whose process is known to have ended,
// so that other routers can claim them before they expire.
func (s *State) releaseLeases(at proto.Offset, id proto.RouterID) {
	for name, l := range s.cur.Leases {
		if l.Holder != id || l.Released {
			continue
		}
		l.Released, l.Balance = true, 0
		l.ReplacedAt, l.ReplacedHolder = at, id
		s.putLease(at, name, l)
	}
}

func (s *State) removeRouter(id proto.RouterID) {
	if r, ok := s.cur.Routers[id]; ok && r.Slot != NoSlot {
		delete(s.slots, r.Slot)
	}
	delete(s.cur.Routers, id)
	if _, ok := s.cur.renewals[id]; ok {
		s.cur.renewals = cloneIfShared(s.cur.renewals, &s.shared.renewals)
		delete(s.cur.renewals, id)
	}
}
