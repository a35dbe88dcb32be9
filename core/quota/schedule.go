package quota

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxPromises bounds the promises that a router keeps for one account.
	maxPromises = 512
	// promiseGrace is how long after its time a promise is kept, and minPromiseGrace the
	// least such time for accounts with small bursts. Callers return within some
	// milliseconds of the time that they were told.
	promiseGrace    = 250 * time.Millisecond
	minPromiseGrace = 50 * time.Millisecond
	// earlyTolerance is how much earlier than promised a request may return.
	earlyTolerance = 20 * time.Millisecond
	// retryAfterStep is the resolution of Retry-After as it is sent. Times are rounded up
	// to it, as a caller that returns before the balance suffices is refused again.
	retryAfterStep = 10 * time.Millisecond
	// maxScheduledRetryAfter bounds Decision.RetryAfter of a request with a known time limit.
	maxScheduledRetryAfter = time.Minute
	// honoredFraction is the fraction of its remaining time that a caller waits at most for
	// a retry.
	honoredFraction = 1.0 / 3
	// minUnequal is the multiple of an equal part from which on a router's part of an
	// account's spending counts. Below it, the parts vary by chance, and routers that took
	// the greater one of the two would together promise more than the rate.
	minUnequal = 2
	// crowdSeconds is the time for which promises take the whole rate when an account is far
	// beyond its limit.
	crowdSeconds = 1.0
	// crowdRefusals is the fraction of refusals from which on an account counts as far
	// beyond its limit at all routers, and fewDecisions the number of decisions of which
	// none says so.
	crowdRefusals = 0.4
	fewDecisions  = 8
	// keptSmoothing is the weight of one promise in the average of those that were kept.
	keptSmoothing = 0.02
)

// Request is what one request asks of its account.
type Request struct {
	Units int64
	// Key identifies the content of the request, which a retry repeats; 0 if unknown.
	Key uint64
	// Remaining is how long the caller will wait; 0 if unknown.
	Remaining time.Duration
	// Returning is set if the request is known to have been refused before, here or at
	// another router.
	Returning bool
}

// promise is a time at which a refused request was told to return.
type promise struct {
	due   proto.Instant
	units float64
	key   uint64
}

// schedule holds the promises of one account that are neither redeemed nor expired, by
// time. A refused request takes the position behind them, so that the retries are spread
// over the time in which the balance recovers.
type schedule struct {
	promises []promise
	// lost is the average fraction of the promises whose callers have not returned to this
	// router. The same part of the balance is not reserved.
	lost float64
}

// expire releases the promises whose time has passed by more than grace.
func (s *schedule) expire(now proto.Instant, grace time.Duration) {
	n := 0
	for n < len(s.promises) && now.Sub(s.promises[n].due) > grace {
		n++
		s.lost += keptSmoothing * (1 - s.lost)
	}
	s.promises = slices.Delete(s.promises, 0, n)
}

// add records a promise.
func (s *schedule) add(p promise) {
	i, _ := slices.BinarySearchFunc(s.promises, p, func(a, b promise) int { return int(a.due - b.due) })
	s.promises = slices.Insert(s.promises, i, p)
}

// find returns the index of the promise that a request redeems, or -1: the one for its own
// content, or else, if it is known to return, the first one. Requests return to any router,
// so those that others have refused redeem this router's promises.
func (s *schedule) find(now proto.Instant, r Request) int {
	if r.Key != 0 {
		i := slices.IndexFunc(s.promises, func(p promise) bool { return p.key == r.Key && p.due <= now.Add(earlyTolerance) })
		if i >= 0 {
			return i
		}
	}
	if r.Returning && len(s.promises) > 0 {
		return 0
	}
	return -1
}

// redeem removes a promise whose request was admitted.
func (s *schedule) redeem(i int) {
	s.promises = slices.Delete(s.promises, i, i+1)
	s.lost -= keptSmoothing * s.lost
}

// reserved returns the units of balance that promises need beyond what accrues until their
// times at a rate in units per second, if that many routers promise as much as this one. A
// returning request precedes those that are due later. Nothing is reserved for requests that could not
// be recognized when they return.
func (s *schedule) reserved(now proto.Instant, rate, routers float64, returning bool) float64 {
	total, most := 0.0, 0.0
	for _, p := range s.promises {
		if returning && p.due > now {
			break
		}
		total += s.expected(p) * routers
		most = max(most, total-rate*max(0, p.due.Sub(now)).Seconds())
	}
	return most
}

// expected returns the units that a promise is likely to need.
func (s *schedule) expected(p promise) float64 {
	if p.key == 0 {
		return 0
	}
	return p.units * (1 - s.lost)
}

// expectedUnits returns the units that all promises are likely to need.
func (s *schedule) expectedUnits() float64 {
	total := 0.0
	for _, p := range s.promises {
		total += s.expected(p)
	}
	return total
}

// units returns the units of all promises.
func (s *schedule) units() float64 {
	total := 0.0
	for _, p := range s.promises {
		total += p.units
	}
	return total
}

// grace returns how long after its time a promise is kept. The balance that is reserved
// meanwhile has to fit into the burst.
func (b *bucket) grace() time.Duration {
	half := time.Duration(float64(b.limit.Burst) / 2 / float64(b.limit.Rate) * float64(time.Second))
	return min(promiseGrace, max(minPromiseGrace, half))
}

// routers returns the number of routers, this one included, that make as many promises as
// this one. It is that of all, or fewer where much more of the account's requests come to
// this router, and 1 while this router refuses few, which tells nothing of the others.
func (b *bucket) routers(exchanging int) float64 {
	routers := float64(max(1, exchanging))
	if all := b.own + b.peers; b.own*routers > minUnequal*all {
		routers = all / b.own
	}
	refusing := min(1, b.refused/(b.refused+b.admitted+fewDecisions)/crowdRefusals)
	return 1 + (routers-1)*refusing
}

// usualUnreported is the average of what peers have spent and not yet reported.
func (b *bucket) usualUnreported() float64 {
	return b.peers * reportDelay.Seconds() / averagingTime.Seconds()
}

// margin is the balance that new requests leave to returning ones in addition to what is
// reserved: each router's estimate of its peers' spending varies about the average by about
// as much, and returning requests are to be admitted also where it is high. It is lower
// while the promises take less than crowdSeconds of the rate.
func (b *bucket) margin(burst, promisedSeconds float64) float64 {
	usual := b.usualUnreported()
	return max(0, min(usual, (burst-usual)/2)) * min(1, promisedSeconds/crowdSeconds)
}

// Admit takes the units of a request from its account's bucket or, if the balance is too
// low or promised to others, returns when to retry. That time is promised, unless the
// caller does not wait for so long. It never admits a request for which the balance is too
// low. An account without a limit may always spend.
func (t *Tracker) Admit(now proto.Instant, id proto.AccountID, r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(now, id, r)
}

// admit is Admit; the caller must hold mu.
func (t *Tracker) admit(now proto.Instant, id proto.AccountID, r Request) Decision {
	exchanging, all := t.exchanging(now)
	share := float64(exchanging) / float64(all)
	b := t.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{OK: true, Share: share}
	}
	t.refill(b, now, share)
	d := Decision{Balance: int64(b.level), Share: share}
	redeemed := b.schedule.find(now, r)
	d.Returning = redeemed >= 0 || r.Returning
	rate, routers := float64(b.limit.Rate)*share, b.routers(exchanging)
	// A request larger than the burst would never be admitted, so it needs only a
	// full bucket; the balance then becomes negative.
	burst := float64(b.limit.Burst) * share
	need := min(float64(r.Units)+t.unreported(b, now), burst)
	reserved, margin := 0.0, 0.0
	if redeemed < 0 {
		reserved = b.schedule.reserved(now, rate, routers, r.Returning)
	}
	if !d.Returning {
		margin = b.margin(burst, b.schedule.expectedUnits()*routers/rate)
	}
	if b.level >= min(need+reserved+margin, burst) {
		d.OK = true
		if redeemed >= 0 {
			b.schedule.redeem(redeemed)
		}
		b.charge(r.Units)
		b.admitted++
		return d
	}
	if !d.Returning {
		b.refused++
	}
	b.exceeded = b.exceeded || t.informed && share == 1
	if redeemed >= 0 { // it takes a new position
		b.schedule.promises = slices.Delete(b.schedule.promises, redeemed, redeemed+1)
	}
	p := position{need: need, rate: rate, ahead: b.schedule.units() * routers}
	if d.Returning {
		p.ahead = reserved
	} else if p.ahead > 0 {
		// The average is free of the chance of this moment. Routers with the same knowledge
		// would all promise the same moments.
		p.need = min(float64(r.Units)+b.usualUnreported()+margin, burst)
		p.ahead += t.phase() * float64(r.Units) * routers
	}
	t.promise(now, b, r, &d, p)
	return d
}

// position is what the position of a request in a schedule is computed from: the units that
// it needs, those that all routers have promised before, and the rate in units per second.
type position struct{ need, ahead, rate float64 }

// promise gives a refused request its position; the caller must hold mu.
func (t *Tracker) promise(now proto.Instant, b *bucket, r Request, d *Decision, p position) {
	seconds := max(0, p.need-b.level+p.ahead) / math.Max(p.rate, 1)
	limit := maxRetryAfter
	if r.Remaining > 0 {
		limit = maxScheduledRetryAfter
	}
	wait := time.Duration(min(seconds, limit.Seconds()) * float64(time.Second))
	d.RetryAfter = min(wait+retryAfterStep-1, limit).Truncate(retryAfterStep)
	d.Promises = len(b.schedule.promises)
	honored := limit
	if r.Remaining > 0 {
		honored = time.Duration(honoredFraction * float64(r.Remaining))
	}
	if d.RetryAfter > honored || seconds >= limit.Seconds() || d.Promises >= maxPromises {
		return
	}
	d.Promised = true
	b.schedule.add(promise{due: now.Add(d.RetryAfter), units: min(float64(r.Units), float64(b.limit.Burst)*d.Share), key: r.Key})
}

// phase returns a number from 0 to 1 that differs between routers.
func (t *Tracker) phase() float64 { return float64(HashRouter(t.self)) / (1 << 32) }
