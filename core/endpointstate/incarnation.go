package endpointstate

import "github.com/kumquatsill/kumquatsill/core/proto"

// Begin records that the registration of an incarnation was read. What this router took
// for the word of an earlier one, but was said after this one's start, holds for this one.
// That an endpoint leaves is no part of it: an incarnation that leaves says so again, and
// if clocks differ, one that has just started would be given up for good.
func (t *Tracker) Begin(now proto.Instant, e Endpoint) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, earlier := range t.earlierStates(e) {
		if p := earlier.pause; p.saidAt >= e.Started && now < p.saidUntil {
			t.stateFor(e.incarnation()).pause.adopt(p)
		}
		if l := earlier.limit; l.own && l.Named && l.saidAt >= e.Started {
			t.applyLimit(now, limitObservation{e.incarnation(), l.Limit, l.observedAt, true, l.saidAt})
		}
	}
}

// adopt takes over the last word of an earlier incarnation, unless a longer pause holds.
func (p *pauseState) adopt(earlier pauseState) {
	if p.until < earlier.saidUntil {
		*p = pauseState{until: earlier.saidUntil, saidAt: earlier.saidAt, saidUntil: earlier.saidUntil, calls: earlier.calls}
	}
}

// earlierStates returns the states of earlier incarnations of an endpoint; mu must be held.
func (t *Tracker) earlierStates(e Endpoint) []*state {
	var earlier []*state
	for _, s := range t.states {
		if s.id == e.ID && s.started < e.Started {
			earlier = append(earlier, s)
		}
	}
	return earlier
}
