package front_test

import (
	"net/http"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a router that does not learn the load of another failure domain from the
// routers there, and against a changed cost if the option is off.
func TestDomainLoadsReachOtherDomains(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	for _, e := range b.engines {
		e.Load = func(int) string { return "6,2,16" }
	}
	adapt := func(domain proto.Domain) func(*front.Config) {
		return func(c *front.Config) { c.Settings.Domain, c.AdaptDomainCost = domain, true }
	}
	near := b.startWith("r1", adapt("zone-a")).awaitReady(b)
	far := b.startWith("r2", adapt("zone-b"))
	off := b.startWith("r3", func(c *front.Config) { c.Settings.Domain = "zone-b" })
	eventually(t, "all are ready", func() bool { return far.isReady() && off.isReady() })
	var view locality.View
	eventually(t, "the load is known in the other domain", func() bool {
		if status, _ := near.call("/look/1", "secret"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		for _, v := range far.explain(far.request("/look/1", "secret")).DomainCost.Loads {
			if v.Domain == "zone-a" && v.Known && v.Load > 0 { // applied by the housekeeping
				view = v
			}
		}
		return view.Known
	})
	if view.Load < 0.4 || view.Load > 0.6 || view.IsOwn {
		t.Errorf("view %+v, want a load of 8 requests for 16 slots", view)
	}
	if x := off.explain(off.request("/look/1", "secret")); x.DomainCost.Mode != "constant" || len(x.DomainCost.Loads) != 0 {
		t.Errorf("switched off: %+v", x.DomainCost)
	}
}
