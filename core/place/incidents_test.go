package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// lostSends plays routers of which each sends a request every 20 ms, while ten of fifty
// endpoints were just replaced, until the registry shows that. It returns the number of sends
// to replaced endpoints; told is set if the routers tell each other.
func lostSends(t *testing.T, routers int, told bool) int {
	const (
		endpoints, replaced      = 50, 10
		step, every, registryLag = 5 * time.Millisecond, 20 * time.Millisecond, 1200 * time.Millisecond
		messageInterval          = 45 * time.Millisecond
	)
	var fleet []*fixture
	for range routers {
		fleet = append(fleet, newFixture(t, endpoints))
	}
	lost := 0
	for at := time.Duration(0); at < registryLag; at += step {
		for i, r := range fleet {
			r.now = start.Add(at)
			if (at+time.Duration(i)*step)%every == 0 {
				q := r.query("own")
				q.Parts[0].ID = fmt.Sprint("shared", i, at) // spreads the requests over the endpoints
				c, _ := r.placer.Choose(r.now, q)
				a := r.placer.StartAttempt(r.now, q, c)
				if isReplaced(c.Endpoint.ID, replaced) {
					lost++
					r.placer.RecordIncident(r.now, c, place.Replaced)
				}
				r.placer.EndAttempt(r.now, a, true)
			}
			if told && (at+time.Duration(i)*step)%messageInterval == 0 {
				notices, _ := r.placer.TakeIncidents(r.now, routers-1)
				for j, other := range fleet {
					for _, n := range notices {
						if j != i {
							other.placer.HandleIncident(r.now, r.now, n)
						}
					}
				}
			}
		}
	}
	return lost
}

func isReplaced(id proto.EndpointID, replaced int) bool {
	for i := range replaced {
		if engineID(i) == id {
			return true
		}
	}
	return false
}

// Guards against every router finding out on its own that endpoints were replaced when ten
// restart at the same time (890 sends in ten seconds of one day).
func TestTenRestartedEndpointsAreToldOnce(t *testing.T) {
	const routers, most = 29, 0.5
	alone, told := lostSends(t, routers, false), lostSends(t, routers, true)
	t.Logf("%d sends to replaced endpoints, %d when routers tell each other", alone, told)
	if float64(told) > most*float64(alone) {
		t.Errorf("%d sends to replaced endpoints, want at most %v of %d", told, most, alone)
	}
}

// Guards against stale, late, repeated and wrong notices, such as those of a router that is
// parted from all endpoints, that keep sound endpoints from getting requests.
func TestNoticesOfIncidentsThatDoNotHold(t *testing.T) {
	r := newFixture(t, 2)
	c, _ := r.placer.Choose(r.now, r.query("own"))
	a := r.placer.StartAttempt(r.now, r.query("own"), c)
	r.placer.RecordFirstByte(r.now, a)
	r.placer.EndAttempt(r.now, a, true)
	of := func(n place.IncidentNotice) place.IncidentNotice {
		n.Endpoint = c.Endpoint.ID
		return n
	}
	before, now := r.now, r.now.Add(100*time.Millisecond)
	for name, ignored := range map[string]bool{
		"another incarnation":    r.placer.HandleIncident(now, now, of(place.IncidentNotice{Started: 2, Kind: place.Replaced})),
		"too old":                r.placer.HandleIncident(now, now, of(place.IncidentNotice{Started: 1, Kind: place.Full, AgeMillis: 80})),
		"late":                   r.placer.HandleIncident(now, now.Add(-time.Minute), of(place.IncidentNotice{Started: 1, Kind: place.Replaced})),
		"before an answer":       r.placer.HandleIncident(now, before, of(place.IncidentNotice{Started: 1, Kind: place.Unreachable, AgeMillis: 10})),
		"unknown kind":           r.placer.HandleIncident(now, now, of(place.IncidentNotice{Started: 1, Kind: 99})),
		"of a negative age":      r.placer.HandleIncident(now, now, of(place.IncidentNotice{Started: 1, Kind: place.Replaced, AgeMillis: -1 << 60})),
		"of an endless age":      r.placer.HandleIncident(now, now, of(place.IncidentNotice{Started: 1, Kind: place.Replaced, AgeMillis: 1 << 62})),
		"of a later incarnation": r.placer.HandleIncident(now, now.Add(time.Hour), of(place.IncidentNotice{Started: 9, Kind: place.Full})),
	} {
		if !ignored {
			continue
		}
		t.Errorf("a notice %s was applied", name)
	}
	unreachable := of(place.IncidentNotice{Started: 1, Kind: place.Unreachable})
	if !r.placer.HandleIncident(now, now, unreachable) || r.placer.HandleIncident(now, now, unreachable) {
		t.Error("a notice was not applied once")
	}
	r.now = now
	if got, _ := r.placer.Choose(now, r.query("own")); got.Endpoint.ID == c.Endpoint.ID {
		t.Error("the endpoint is chosen although another one can serve")
	}
	after := now.Add(501 * time.Millisecond)
	if got, _ := r.placer.Choose(after, r.query("own")); got.Endpoint.ID != c.Endpoint.ID {
		t.Error("the endpoint is still avoided")
	}
}

// Guards against notices beyond the rate that a router may send while all endpoints are full,
// and against losing one with its first message.
func TestNoticesOfIncidentsAreBounded(t *testing.T) {
	const seconds, most = 10, 64 + 10*4
	r := newFixture(t, 50)
	sent := 0
	for range seconds * 20 {
		for i := range 50 {
			r.placer.RecordIncident(r.now, place.Choice{Endpoint: &discovery.Endpoint{ID: engineID(i), Started: 1}}, place.Full)
		}
		notices, _ := r.placer.TakeIncidents(r.now, 1)
		sent += len(notices)
		r.now = r.now.Add(50 * time.Millisecond)
	}
	if sent > most || sent < 64 {
		t.Errorf("%d notices in %d s, want 64 to %d", sent, seconds, most)
	}
	r.now = r.now.Add(time.Minute)
	r.placer.RecordIncident(r.now, place.Choice{Endpoint: &discovery.Endpoint{ID: engineID(1), Started: 1}}, place.Unreachable)
	first, more := r.placer.TakeIncidents(r.now, 1)
	second, last := r.placer.TakeIncidents(r.now.Add(45*time.Millisecond), 1)
	if len(first) != 1 || !more || len(second) != 1 || last || second[0].AgeMillis != 45 {
		t.Errorf("first %v %v, second %v %v", first, more, second, last)
	}
}
