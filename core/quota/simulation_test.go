package quota_test

import (
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

const (
	simStep = 10 * time.Millisecond
	// simDomains is the number of failure domains; near routers send to each other in every
	// interval, far ones in every second.
	simDomains = 4
	// simStoreLag is how long after its start a router has read which accounts are beyond
	// their limits. Every other router reads the configuration at the same time, the rest
	// simConfigLag later; then a router is ready.
	simStoreLag  = 30 * time.Millisecond
	simConfigLag = 20 * time.Millisecond
	// simReconnect is how long a caller waits before it tries another router.
	simReconnect = 50 * time.Millisecond
	// simRemaining is how long callers wait for an answer.
	simRemaining = 5 * time.Second
)

// simRestart stops the first count routers at a moment and starts them again after down.
type simRestart struct {
	at, down time.Duration
	count    int
}

// simulation plays routers with their periodic messages and a store without a network.
type simulation struct {
	routers  int
	limit    quota.Limit
	duration time.Duration
	// latency is how long a message is on its way to a peer.
	latency time.Duration
	// demand returns what the account asks for, in units per second.
	demand func(at time.Duration) float64
	// unit returns the units of a request.
	unit     func(r *rand.Rand) int64
	restarts []simRestart
	// storeDown is set if the store neither tells nor accepts accounts beyond their limits.
	storeDown bool
	// recognized is set if routers recognize requests that return after a refusal.
	recognized bool
	seed       uint64

	random    *rand.Rand
	now       proto.Instant
	trackers  []*quota.Tracker
	startedAt []time.Duration
	ready     []bool // the configuration was read
	sent      []struct{ near, far *quota.SentState }
	inFlight  map[time.Duration][]simMessage
	store     map[proto.AccountID]int64
	written   int
	bytes     int
	retries   map[time.Duration][]simRequest

	// results
	spent       []int64         // total by step
	refusals    []time.Duration // when, a request counts once
	asked       int
	lastRefusal time.Duration
}

// simRequest is a request that is sent again.
type simRequest struct {
	units   int64
	refused bool
}

type simMessage struct {
	counts quota.Counts
	to     []int
}

const simStart = proto.Instant(time.Hour)

func (s *simulation) run() {
	s.random = rand.New(rand.NewPCG(s.seed, 1))
	s.trackers = make([]*quota.Tracker, s.routers)
	s.startedAt = make([]time.Duration, s.routers)
	s.ready = make([]bool, s.routers)
	s.sent = make([]struct{ near, far *quota.SentState }, s.routers)
	s.inFlight, s.retries = map[time.Duration][]simMessage{}, map[time.Duration][]simRequest{}
	s.store = map[proto.AccountID]int64{}
	for r := range s.routers {
		s.start(r, 0)
	}
	total, due := int64(0), 0.0
	for at := time.Duration(0); at < s.duration; at += simStep {
		s.now = simStart.Add(at)
		s.restart(at)
		for _, m := range s.inFlight[at] {
			s.deliver(m)
		}
		delete(s.inFlight, at)
		for _, r := range s.retries[at] {
			total += s.request(at, r)
		}
		delete(s.retries, at)
		for due += s.demand(at) * simStep.Seconds(); due > 0; {
			units := s.unit(s.random)
			due -= float64(units)
			s.asked++
			total += s.request(at, simRequest{units: units})
		}
		s.spent = append(s.spent, total)
		for r := range s.routers {
			s.tick(r, at)
		}
	}
}

func (s *simulation) start(r int, at time.Duration) {
	s.trackers[r] = quota.New(simStart.Add(at), id(r), int64(at)+int64(r)+1)
	s.startedAt[r] = at
	s.sent[r].near, s.sent[r].far = quota.NewSentState(), quota.NewSentState()
	s.ready[r] = false
}

func (s *simulation) restart(at time.Duration) {
	for _, restart := range s.restarts {
		for r := range restart.count {
			switch at {
			case restart.at:
				s.trackers[r] = nil
			case restart.at + restart.down:
				s.start(r, at)
			}
		}
	}
}

// request sends a request to a router and returns the units that it spends. If the router
// is down, it is sent again until one is up, and if refused, once more when the router said.
func (s *simulation) request(at time.Duration, q simRequest) int64 {
	r := s.random.IntN(s.routers)
	if s.trackers[r] == nil || !s.ready[r] {
		s.sendAgain(at+simReconnect, q)
		return 0
	}
	d := s.spend(s.trackers[r], q)
	if d.OK {
		return q.units
	}
	if !q.refused {
		s.refusals, s.lastRefusal = append(s.refusals, at), at
		s.sendAgain(at+max(simStep, d.RetryAfter.Truncate(simStep)), simRequest{units: q.units, refused: true})
	}
	return 0
}

func (s *simulation) spend(t *quota.Tracker, q simRequest) quota.Decision {
	if !s.recognized {
		return t.Spend(s.now, account, q.units)
	}
	return t.Admit(s.now, account, quota.Request{Units: q.units, Key: s.random.Uint64(), Remaining: simRemaining, Returning: q.refused})
}

func (s *simulation) sendAgain(at time.Duration, q simRequest) {
	s.retries[at] = append(s.retries[at], q)
}

// tick sends the messages of a router and reads and writes the store when they are due.
func (s *simulation) tick(r int, at time.Duration) {
	tracker := s.trackers[r]
	if tracker == nil {
		return
	}
	age := at - s.startedAt[r]
	if age == simStoreLag && !s.storeDown {
		tracker.RestoreExceeded(s.now, s.store)
	}
	if age == simStoreLag+time.Duration(r%2)*simConfigLag {
		tracker.Configure(s.now, map[proto.AccountID]quota.Limit{account: s.limit})
		s.ready[r] = true
	}
	if age == simStoreLag && !s.storeDown {
		s.write(r) // it has not heard another router that writes
	}
	if age == listDelay {
		for other := range s.routers {
			tracker.AddMember(s.now, id(other))
		}
		tracker.MembersListed()
	}
	offset := time.Duration(r*7) * simStep % quota.Interval
	if age < quota.Interval || (age-offset)%quota.Interval != 0 {
		return
	}
	n := int((age - offset) / quota.Interval)
	complete := s.fullMessages(at)
	full := complete || n%10 == 0
	s.send(at, tracker.Counts(s.now, s.sent[r].near, full, complete), r, true)
	if full || n%2 == 0 {
		s.send(at, tracker.Counts(s.now, s.sent[r].far, full, complete), r, false)
	}
	if s.isFirst(r) && !s.storeDown {
		s.write(r)
	}
}

// fullMessages returns whether a router has started within the last 1.5 s.
func (s *simulation) fullMessages(at time.Duration) bool {
	return at-slices.Max(s.startedAt) < 1500*time.Millisecond
}

func (s *simulation) isFirst(r int) bool {
	return slices.IndexFunc(s.trackers, func(t *quota.Tracker) bool { return t != nil }) == r
}

func (s *simulation) send(at time.Duration, counts quota.Counts, from int, near bool) {
	m := simMessage{counts: counts}
	for to := range s.routers {
		if to != from && (to%simDomains == from%simDomains || s.routers <= 9) == near {
			m.to = append(m.to, to)
		}
	}
	arrival := at + max(simStep, s.latency)
	s.inFlight[arrival] = append(s.inFlight[arrival], m)
}

func (s *simulation) deliver(m simMessage) {
	for _, to := range m.to {
		if t := s.trackers[to]; t != nil {
			t.Merge(s.now, m.counts)
		}
	}
}

// write stores the accounts beyond their limits if there are others than before.
func (s *simulation) write(r int) {
	levels := s.trackers[r].Exceeded(s.now)
	if maps.EqualFunc(levels, s.store, func(int64, int64) bool { return true }) {
		return
	}
	s.store = levels
	value, _ := json.Marshal(levels) // cannot fail: strings and numbers
	s.written, s.bytes = s.written+1, s.bytes+len(value)
}

// most returns the most units that were spent within a window.
func (s *simulation) most(window time.Duration) int64 {
	most, steps := int64(0), int(window/simStep)
	for i := steps; i < len(s.spent); i++ {
		most = max(most, s.spent[i]-s.spent[i-steps])
	}
	return most
}

// refusedSince returns the number of requests that were refused from a moment on.
func (s *simulation) refusedSince(since time.Duration) int {
	n := 0
	for _, at := range s.refusals {
		if at >= since {
			n++
		}
	}
	return n
}

// logNormalUnit returns requests of a log-normal size.
func logNormalUnit(mean, spread float64) func(*rand.Rand) int64 {
	return func(r *rand.Rand) int64 {
		return int64(math.Exp(math.Log(mean)-spread*spread/2+spread*r.NormFloat64())) + 1
	}
}
