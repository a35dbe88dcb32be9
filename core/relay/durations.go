package relay

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// durationWindow is the time after which a route's longest duration is measured anew. It
// counts for one more window.
const durationWindow = 30 * time.Second

// Durations keeps the longest time that requests of each route have lately taken. It is safe
// for concurrent use. The zero value is empty.
type Durations struct{ routes sync.Map }

// routeDuration holds the longest durations of one route in the present window, which began
// at began, and in the one before.
type routeDuration struct {
	mu                sync.Mutex
	began             proto.Instant
	present, previous time.Duration
}

// Record records that a request took d.
func (t *Durations) Record(now proto.Instant, route string, d time.Duration) {
	entry, ok := t.routes.Load(route)
	if !ok {
		entry, _ = t.routes.LoadOrStore(route, &routeDuration{began: now})
	}
	r := entry.(*routeDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.present = max(r.present, d)
}

// Longest returns the longest time that requests of a route have taken in the last one to
// two windows; ok is false if there were none.
func (t *Durations) Longest(now proto.Instant, route string) (d time.Duration, ok bool) {
	entry, ok := t.routes.Load(route)
	if !ok {
		return 0, false
	}
	r := entry.(*routeDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	d = max(r.present, r.previous)
	return d, d > 0
}

// rotate begins a new window if the present one is over; mu must be held.
func (r *routeDuration) rotate(now proto.Instant) {
	switch age := now.Sub(r.began); {
	case age < durationWindow:
		return
	case age < 2*durationWindow:
		r.previous = r.present
	default:
		r.previous = 0
	}
	r.began, r.present = now, 0
}
