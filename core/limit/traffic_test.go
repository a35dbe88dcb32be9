package limit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// traffic simulates a sample of the routers of a fleet of 320 and the holders
// of all leases for a minute at the target load, 4400 requests per second in
// the whole fleet, with the popularity of accounts falling as 1/rank, or even.
// It returns the bytes and messages per node and second, including the
// replies, as every node of the fleet also sends replies to others.
func traffic(t *testing.T, even bool) (bytes, messages float64) {
	const (
		sampled, fleetSize, accounts = 16, 320, 1200
		length                       = 60 * time.Second
		perNode                      = 4400.0 / fleetSize
	)
	limits := map[proto.AccountID]note.Account{}
	ids := make([]proto.AccountID, 0, accounts)
	weights := make([]float64, accounts)
	var sum float64
	for i, a := range manyAccounts(accounts) {
		limits[i] = note.Account{ID: a.ID, Rate: 100_000, Burst: 1_000_000}
	}
	for i := range accounts {
		ids = append(ids, proto.AccountID("account-"+strconv.Itoa(i)))
		weights[i] = 1
		if !even {
			weights[i] = 1 / float64(i+1)
		}
		sum += weights[i]
	}
	holders := map[Lease]*Holder{}
	names := map[Lease]proto.RouterID{}
	now := proto.Instant(0)
	for g := range Groups {
		for p := range Parts {
			l := Lease{Group: g, Part: p}
			names[l] = proto.RouterID("router-" + strconv.Itoa(g*Parts+p))
			holders[l] = NewHolder(names[l], l, &fleetLease{f: &fleet{}, until: proto.Never, fence: 9_000_000})
			holders[l].SetAccounts(now, limits)
			holders[l].Tick(now)
		}
	}
	limiters := make([]*LocalLimiter, sampled)
	for i := range limiters {
		limiters[i] = NewLocalLimiter(proto.RouterID("router-" + strconv.Itoa(300+i)))
		limiters[i].SetAccounts(now, limits)
		limiters[i].SetHolders(names)
	}
	now = now.Add(time.Minute)
	start, rng := now, rand.New(rand.NewPCG(1, 2))
	count := func(e proto.Envelope) {
		line, err := proto.Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		bytes += float64(len(line) + 1)
		messages++
	}
	exchange := func(limiter *LocalLimiter) {
		limiter.Tick(now)
		for _, e := range limiter.Take() {
			count(e)
			m := e.Msg.(proto.GrantRequest)
			h := holders[Lease{Group: Group(m.Account), Part: m.Part}]
			h.Step(now, e)
			for _, r := range h.Take() {
				count(r)
				limiter.Step(now, r)
			}
		}
	}
	for now < start.Add(length) {
		now = now.Add(step)
		for _, limiter := range limiters {
			if rng.Float64() < perNode*step.Seconds() {
				x, k := rng.Float64()*sum, 0
				for x -= weights[0]; x > 0; x -= weights[k] {
					k++
				}
				d := limiter.Spend(now, ids[k], 386)
				for range 3 {
					if !d.OK {
						exchange(limiter)
						d = limiter.Spend(now, ids[k], 386)
					}
				}
				if !d.OK {
					t.Fatalf("refused: %+v", d)
				}
			}
			if limiter.Wake() <= now {
				exchange(limiter)
			}
		}
	}
	perSecond := float64(sampled) * length.Seconds()
	return bytes / perSecond, messages / perSecond
}

// Guards against control traffic above 3 KB/s per node at target size.
func TestControlTrafficAtTargetSize(t *testing.T) {
	bytes, messages := traffic(t, false)
	t.Logf("popularity 1/rank: %.0f bytes/s and %.1f messages/s per node", bytes, messages)
	if bytes > 3000 {
		t.Errorf("%.0f bytes/s, want at most 3000", bytes)
	}
	bytes, messages = traffic(t, true)
	t.Logf("even popularity: %.0f bytes/s and %.1f messages/s per node", bytes, messages)
}
