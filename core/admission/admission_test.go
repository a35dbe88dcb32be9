package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	start    = proto.Instant(time.Hour)
	step     = 10 * time.Millisecond
	slots    = 100
	capacity = 200.0 // requests per second of all endpoints
)

// kind is a kind of requests in a simulated service.
type kind struct {
	rank    int
	perS    float64
	target  time.Duration
	account proto.AccountID
}

// tally counts the requests of one group.
type tally struct{ asked, inTime, late, refused int }

func (t tally) servedShare() float64 { return float64(t.inTime+t.late) / float64(t.asked) }
func (t tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.asked) }

// play plays a service whose endpoints work off a common queue, behind routers that refuse
// requests which would wait for three times their target. It returns the tallies after the
// first five seconds by kind, and by kind and size for the largest tenth ("/large").
func play(routers int, controlled bool, duration time.Duration, kinds []kind) (map[string]tally, []admission.Change) {
	controllers := make([]*admission.Controller, routers)
	for i := range controllers {
		controllers[i] = admission.New()
	}
	random := rand.New(rand.NewPCG(3, 4))
	tallies, due, backlog := map[string]tally{}, make([]float64, len(kinds)), 0.0
	var changes []admission.Change
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		backlog = max(0, backlog-capacity*step.Seconds())
		load := func() place.ServiceLoad {
			return place.ServiceLoad{Slots: slots, Running: min(slots, int(backlog)), Waiting: max(0, int(backlog)-slots)}
		}
		for i, k := range kinds {
			for due[i] += 2 * random.Float64() * k.perS * step.Seconds(); due[i] >= 1; due[i]-- {
				name := fmt.Sprint(k.account, k.rank)
				size := random.NormFloat64()
				c := controllers[random.IntN(routers)]
				q := admission.Request{Service: "s", Rank: k.rank, Account: k.account, Route: "r", Tokens: int64(1000 * math.Exp(size)), Remaining: 5 * time.Second}
				wait := time.Duration(max(0, backlog-slots) / capacity * float64(time.Second))
				outcome, refused := admission.InTime, false
				switch {
				case controlled && !c.Admit(now, q, load).OK:
					refused = true
				case wait > 3*k.target:
					outcome = admission.Unserved
				case wait > k.target:
					outcome = admission.Late
				}
				if !refused {
					c.Record(now, "s", k.rank, outcome)
				}
				if !refused && outcome != admission.Unserved {
					backlog++
				}
				if at < 5*time.Second {
					continue
				}
				names := []string{name}
				if size > 1.28 {
					names = append(names, name+"/large")
				}
				for _, n := range names {
					t := tallies[n]
					t.asked++
					switch {
					case refused, outcome == admission.Unserved:
						t.refused++
					case outcome == admission.Late:
						t.late++
					default:
						t.inTime++
					}
					tallies[n] = t
				}
			}
		}
		if at%admission.ReportInterval == 0 {
			exchange(now, controllers)
		}
		for i, c := range controllers {
			if (at+time.Duration(i)*step)%admission.Interval == 0 && controlled {
				changes = append(changes, c.Evaluate(now, func(string) place.ServiceLoad { return load() })...)
			}
		}
	}
	return tallies, changes
}

// exchange delivers the reports of all controllers to all others, but for the last one, which
// is parted from them.
func exchange(now proto.Instant, controllers []*admission.Controller) {
	connected := controllers[:max(1, len(controllers)-1)]
	for i, from := range connected {
		reports := from.Reports(now)
		for j, to := range connected {
			if i != j {
				to.HandleReports(now, now, proto.RouterID(fmt.Sprint(i)), reports)
			}
		}
	}
}

// Guards against more urgent requests that miss their targets while less urgent ones of the
// same service are served (one rank got 0.51 of its value where a less urgent one got 0.72),
// and against refusing accounts or sizes more often than others. The service is full: the
// demand of two ranks is 1.25 times its capacity.
func TestFullServiceWithTwoRanks(t *testing.T) {
	kinds := []kind{
		{0, 100, 400 * time.Millisecond, "a"},
		{3, 120, 1200 * time.Millisecond, "b"}, {3, 30, 1200 * time.Millisecond, "c"},
	}
	for _, routers := range []int{1, 29} {
		before, _ := play(routers, false, 40*time.Second, kinds)
		after, changes := play(routers, true, 40*time.Second, kinds)
		t.Logf("%d routers: before %+v", routers, before)
		t.Logf("%d routers: after %+v, %d changes", routers, after, len(changes))
		if share := after["a0"].inTimeShare(); share < 0.75 {
			t.Errorf("%d routers: %.2f of the urgent requests in time, %.2f before", routers, share, before["a0"].inTimeShare())
		}
		b, c := after["b3"].servedShare(), after["c3"].servedShare()
		if math.Abs(b-c) > 0.1 || math.Abs(after["b3/large"].servedShare()-b) > 0.1 || math.Abs(after["c3/large"].servedShare()-c) > 0.1 {
			t.Errorf("%d routers: unequal shares", routers)
		}
		if all := (after["a0"].servedShare()*100 + b*120 + c*30) / 250; min(b, c) < all/4 {
			t.Errorf("%d routers: less urgent requests are served less than a quarter as often as all", routers)
		}
	}
}

// Guards against refusals where they gain nothing: with one rank, with spare capacity, or
// where more urgent requests are served as well as less urgent ones.
func TestNothingIsRefusedInVain(t *testing.T) {
	for name, kinds := range map[string][]kind{
		"one rank":         {{2, 300, 400 * time.Millisecond, "a"}, {2, 100, 1200 * time.Millisecond, "b"}},
		"enough capacity":  {{0, 80, 400 * time.Millisecond, "a"}, {3, 100, 1200 * time.Millisecond, "b"}},
		"served as well":   {{0, 150, 1200 * time.Millisecond, "a"}, {3, 150, 400 * time.Millisecond, "b"}},
		"the same targets": {{0, 150, 400 * time.Millisecond, "a"}, {3, 150, 400 * time.Millisecond, "b"}},
	} {
		if _, changes := play(29, true, 20*time.Second, kinds); len(changes) > 0 {
			t.Errorf("%s: %+v", name, changes[0])
		}
	}
	// Misses that have another cause than a lack of capacity, such as slow endpoints.
	c := admission.New()
	spare := func() place.ServiceLoad { return place.ServiceLoad{Slots: slots, Running: slots/2 - 1} }
	now := start
	for range 1000 {
		now = now.Add(step)
		for rank, outcome := range []admission.Outcome{admission.Late, admission.InTime} {
			if !c.Admit(now, admission.Request{Service: "s", Rank: rank}, spare).OK {
				t.Fatal("refused while there is spare capacity")
			}
			c.Record(now, "s", rank, outcome)
		}
		if changes := c.Evaluate(now, func(string) place.ServiceLoad { return spare() }); len(changes) > 0 {
			t.Fatalf("%+v while there is spare capacity", changes[0])
		}
	}
}

// Guards against a rank that stays restricted when the more urgent requests have ended or are
// served again, and against a Retry-After beyond what the caller honors that is promised.
func TestRestrictionEnds(t *testing.T) {
	full := func() place.ServiceLoad { return place.ServiceLoad{Slots: slots, Running: slots, Waiting: 5} }
	c, now := admission.New(), start
	run := func(d time.Duration, urgent []admission.Outcome) (refused int, changes []admission.Change) {
		for end := now.Add(d); now < end; now = now.Add(step) {
			for _, o := range urgent {
				c.Admit(now, admission.Request{Service: "s"}, full)
				c.Record(now, "s", 0, o)
			}
			q := admission.Request{Service: "s", Rank: 1, Remaining: 3 * time.Second}
			if d := c.Admit(now, q, full); !d.OK {
				if refused++; d.RetryAfter <= 0 || d.Promised != (d.RetryAfter <= time.Second) {
					t.Errorf("refused with %+v", d)
				}
			}
			c.Record(now, "s", 1, admission.InTime)
			changes = append(changes, c.Evaluate(now, func(string) place.ServiceLoad { return full() })...)
		}
		return refused, changes
	}
	if refused, _ := run(10*time.Second, []admission.Outcome{admission.Late}); refused < 300 || refused > 750 {
		t.Errorf("%d of 1000 refused while urgent requests are late", refused)
	}
	run(30*time.Second, []admission.Outcome{admission.InTime})
	if refused, _ := run(5*time.Second, []admission.Outcome{admission.InTime}); refused > 0 {
		t.Errorf("%d refused although urgent requests are in time", refused)
	}
	run(10*time.Second, []admission.Outcome{admission.Unserved})
	run(6*time.Second, nil)
	if refused, _ := run(5*time.Second, nil); refused > 0 {
		t.Errorf("%d refused although there are no urgent requests", refused)
	}
}
