package place_test

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against an endpoint of a release that is not allowed, also if the request has to return
// to it, which must not wait for another one then.
func TestReleaseThatIsNotAllowedIsLeftOut(t *testing.T) {
	r := newFixture(t, 2)
	q := r.query("x")
	q.Allows = func(e *discovery.Endpoint) bool { return e.ID == engineID(1) }
	for range 10 {
		if c := r.choose(q); c.Endpoint.ID != engineID(1) || c.Excluded.String() != "release:1" {
			t.Fatalf("%s, excluded %s", c.Endpoint.ID, c.Excluded.String())
		}
	}
	q.Only = []proto.EndpointID{engineID(0)}
	if c, ok := r.placer.Choose(r.now, q); ok || !c.Excluded.OnlyAttempts() {
		t.Errorf("%+v, excluded %s", c.Endpoint, c.Excluded.String())
	}
}
