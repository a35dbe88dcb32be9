package locality_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const constant = 16 * time.Millisecond

// bed is the controller of a router in domain d0 of three.
type bed struct {
	*locality.Controller
	now    proto.Instant
	usable [domains]int
}

func newBed() *bed {
	return &bed{Controller: locality.New(domainName(0)), now: proto.Instant(time.Hour), usable: [domains]int{100, 100, 100}}
}

// pass lets time pass in which loads are observed; a negative one is not.
func (b *bed) pass(d time.Duration, loads ...int) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(250 * time.Millisecond)
		var capacities []locality.Capacity
		for i, usable := range b.usable {
			capacities = append(capacities, locality.Capacity{Service: "s", Domain: domainName(i), Slots: 100, Usable: usable})
			if loads[i] >= 0 {
				b.ObserveLoad(b.now, locality.Load{Service: "s", Domain: domainName(i), Occupied: loads[i], Slots: 100})
			}
		}
		b.Update(b.now, capacities)
	}
}

// shares returns the parts of evenly drawn requests that leave for each domain.
func (b *bed) shares(r locality.Request) (shares [domains]float64) {
	const draws = 1000
	for i := range draws {
		decision := b.Decide(b.now, r, func() float64 { return (float64(i) + 0.5) / draws })
		for d := range domains {
			if decision != nil && decision.To == domainName(d) {
				shares[d] += 1.0 / draws
			}
		}
	}
	return shares
}

func (b *bed) cost(draw float64, to int) time.Duration {
	d := b.Decide(b.now, locality.Request{Service: "s"}, func() float64 { return draw })
	return d.Cost(domainName(to), constant)
}

// Guards against another cost than the constant where the load is unknown: without
// endpoints, without reports, and once these are old.
func TestConstantWithoutLoads(t *testing.T) {
	b := newBed()
	if got := b.cost(0, 1); got != constant {
		t.Errorf("without endpoints: %v", got)
	}
	b.pass(time.Second, -1, -1, -1)
	if got := b.cost(0, 1); got != constant {
		t.Errorf("without reports: %v", got)
	}
	b.pass(20*time.Second, 150, 30, 30)
	b.pass(4*time.Second, -1, 30, 30)
	if got := b.cost(0, 1); got != constant {
		t.Errorf("own load unknown: %v", got)
	}
}

// Guards against traffic that leaves a domain with room, and against a changed cost of one
// that serves near its capacity in time.
func TestCostByOwnLoad(t *testing.T) {
	b := newBed()
	b.pass(10*time.Second, 20, 20, 20)
	if got := b.cost(0, 1); got <= 2*constant || got > 3*constant {
		t.Errorf("with room: %v", got)
	}
	b.pass(10*time.Second, 75, 20, 20)
	if got := b.cost(0, 1); got != constant {
		t.Errorf("near capacity: %v", got)
	}
	b.pass(10*time.Second, 150, 20, 20)
	if to, other := b.cost(0, 1), b.cost(0, 2); to >= constant || other <= constant {
		t.Errorf("overloaded: %v to the domain drawn, %v to the other", to, other)
	}
	b.pass(30*time.Second, 85, 20, 20)
	if b.shares(locality.Request{Service: "s"}) == [domains]float64{} {
		t.Error("the share returns although the load is between the two thresholds")
	}
}

// Guards against sending work to a domain without room, and against shares that differ
// from the spare capacity.
func TestSharesFollowSpareCapacity(t *testing.T) {
	b := newBed()
	b.pass(8*time.Second, 150, 80, 30)
	shares := b.shares(locality.Request{Service: "s"})
	if shares[1] == 0 || shares[2] < 4*shares[1] || shares[2] > 8*shares[1] {
		t.Errorf("shares %v for spare capacities of 10 and 60 of 100", shares)
	}
	b.pass(20*time.Second, 150, 120, 100)
	if after := b.shares(locality.Request{Service: "s"}); after[1] > shares[1]/2 || after[2] > shares[2] {
		t.Errorf("shares %v, after the others were overloaded %v", shares, after)
	}
}

// Guards against large and less urgent requests that leave before small and urgent ones.
func TestSmallAndUrgentLeaveFirst(t *testing.T) {
	b := newBed()
	b.pass(time.Second, 150, 20, 20)
	for range 500 {
		b.ObserveArrival(locality.Arrival{Service: "s", Bytes: 10_000, Rank: 1})
	}
	leaving := func(bytes int64, rank int) float64 {
		shares := b.shares(locality.Request{Service: "s", Bytes: bytes, Rank: rank})
		return shares[1] + shares[2]
	}
	if small, large := leaving(1_000, 1), leaving(40_000, 1); small < 3*large {
		t.Errorf("%.2f of small requests leave, %.2f of large ones", small, large)
	}
	if urgent, other := leaving(10_000, 0), leaving(10_000, 3); urgent < 1.5*other {
		t.Errorf("%.2f of urgent requests leave, %.2f of others", urgent, other)
	}
}

// Guards against late answers in a domain whose endpoints are slow although slots are free,
// and against work that leaves because of expectations that no domain meets, or without load.
func TestLateArrivalsLeave(t *testing.T) {
	for _, c := range []struct {
		name      string
		load      int
		elsewhere time.Duration
		leaves    bool
	}{
		{"slow", 70, 0, true}, {"slow everywhere", 70, time.Second, false}, {"without load", 30, 0, false},
	} {
		b := newBed()
		for range 40 {
			for range 20 {
				b.ObserveArrival(locality.Arrival{Service: "s", Expected: time.Second, Elsewhere: c.elsewhere, Target: 400 * time.Millisecond})
			}
			b.pass(250*time.Millisecond, c.load, 20, 20)
		}
		if shares := b.shares(locality.Request{Service: "s"}); (shares[1]+shares[2] > 0.1) != c.leaves {
			t.Errorf("%s: shares %v", c.name, shares)
		}
	}
}

// Guards against a lost domain whose work all goes to one other, and against one that gets
// all its work back at once, with cold caches.
func TestLostDomainReturns(t *testing.T) {
	b := newBed()
	b.pass(5*time.Second, 50, 30, 60)
	b.usable[0] = 0
	b.pass(time.Second, -1, 30, 60)
	shares := b.shares(locality.Request{Service: "s"})
	if sum := shares[1] + shares[2]; sum < 0.99 || shares[1] < 1.5*shares[2] || shares[2] == 0 {
		t.Errorf("shares %v of a lost domain", shares)
	}
	b.usable[0] = 100
	b.pass(500*time.Millisecond, 5, 60, 85)
	if now := b.shares(locality.Request{Service: "s"}); now[1]+now[2] < 0.5 {
		t.Errorf("shares %v half a second after the domain has returned", now)
	}
	b.pass(20*time.Second, 30, 40, 65)
	if now := b.shares(locality.Request{Service: "s"}); now[1]+now[2] > 0 {
		t.Errorf("shares %v after the domain has returned", now)
	}
}

// Guards against sending work to a domain that no longer reports its load, because its
// routers are lost or their messages do not arrive, or whose endpoints do not respond.
func TestOtherDomainUnknown(t *testing.T) {
	for name, usable := range map[string]int{"silent": 100, "unreachable": 0} {
		b := newBed()
		b.pass(10*time.Second, 150, 30, 30)
		before := b.shares(locality.Request{Service: "s"})
		b.usable[1] = usable
		b.pass(10*time.Second, 150, -1, 30)
		if after := b.shares(locality.Request{Service: "s"}); before[1] == 0 || after[1] > before[1]/5 {
			t.Errorf("%s: shares %v, later %v", name, before, after)
		}
		if got := b.cost(0.99, 1); got != constant {
			t.Errorf("%s: the cost of leaving is %v", name, got)
		}
	}
}

// Guards against summaries that exceed their part of a message or carry nothing new.
func TestSummaries(t *testing.T) {
	b := newBed()
	for i := range 9 {
		name := fmt.Sprintf("service-%d", i)
		b.ObserveLoad(b.now, locality.Load{Service: name, Domain: domainName(0), Occupied: 1000 * i, Slots: 12345})
		b.Update(b.now, []locality.Capacity{{Service: name, Domain: domainName(0), Slots: 12345, Usable: 12345}})
	}
	b.pass(time.Second, 150, 20, 20)
	summaries := b.Summaries(b.now)
	data, err := json.Marshal(summaries)
	if err != nil || len(summaries) == 0 || len(data) >= 200 || summaries[0].Service != "s" {
		t.Fatalf("%d bytes: %s, %v", len(data), data, err)
	}
	other := locality.New(domainName(1))
	other.Update(b.now, []locality.Capacity{{Service: "s", Domain: domainName(0), Slots: 100, Usable: 100}})
	other.HandleSummary(b.now, domainName(0), summaries[0])
	other.Update(b.now, []locality.Capacity{{Service: "s", Domain: domainName(0), Slots: 100, Usable: 100}})
	if _, views := other.Views(b.now, "s"); len(views) == 0 || views[0].Load < 1.4 || views[0].Load > 1.6 {
		t.Errorf("the peer's view is %+v", views)
	}
}

// Guards against a cost below the time that the way to another domain takes.
func TestDelayBoundsCost(t *testing.T) {
	b := newBed()
	b.pass(10*time.Second, 150, 20, 20)
	for range 100 {
		b.ObserveDelay(b.now, domainName(0), time.Millisecond)
		b.ObserveDelay(b.now, domainName(1), 9*time.Millisecond)
	}
	if got := b.cost(0, 1); got < 7*time.Millisecond || got > 9*time.Millisecond {
		t.Errorf("cost %v", got)
	}
}
