package endpointstate

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxPause bounds the time for which an endpoint is left alone on its own word, so that
	// a faulty answer does not shut it out for long.
	maxPause = 60 * time.Second
	// maxPausedCalls is the number of control calls that an endpoint gets during a pause.
	maxPausedCalls = 2
)

// pauseState is the time for which one incarnation of an endpoint takes no requests from
// this router. Peers are not told, as each router gets answers of its own.
type pauseState struct {
	until proto.Instant
	// saidAt is the time of day at which the pause was named last, in Unix milliseconds,
	// saidUntil the end that was named then.
	saidAt    int64
	saidUntil proto.Instant
	// calls is the number of control calls since the pause began.
	calls int
}

func (p *pauseState) inForce(now proto.Instant) bool { return now < p.until }

// extend begins a pause of that length or makes the present one last so long. It reports
// whether a pause has begun. An earlier pause that lasts longer holds.
func (p *pauseState) extend(now proto.Instant, d time.Duration, saidAt int64) bool {
	begins := !p.inForce(now)
	if begins {
		p.calls = 0
	}
	p.saidAt, p.saidUntil = saidAt, now.Add(min(d, maxPause))
	p.until = max(p.until, p.saidUntil)
	return begins
}

// AdmitCall reports whether this router may send a control call to an endpoint now, and
// counts it. During a pause only few calls are admitted, and those only if they are
// urgent.
func (t *Tracker) AdmitCall(now proto.Instant, e Endpoint, urgent bool) bool {
	if t.known.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.incarnation()]
	if s == nil || !s.pause.inForce(now) {
		return true
	}
	if !urgent || s.pause.calls >= maxPausedCalls {
		return false
	}
	s.pause.calls++
	return true
}
