package front_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// metrics returns the metrics of a router.
func (r *router) metrics() string {
	resp, err := http.Get("http://" + r.readinessAddr + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body) // what was read is searched
	return string(data)
}

// Guards against a router that has to find out on its own that an endpoint is full after
// another router has.
func TestRouterLearnsOfAFullEndpointFromItsPeer(t *testing.T) {
	b := newTestbed(t)
	b.configure(unlimited)
	r1, r2 := b.startReady("r1"), b.startReady("r2")
	b.engines[2].RefuseWithRetryAfter(func() string { return "0" })
	eventually(t, "the peer avoids the endpoint", func() bool {
		r1.call("/look/1", "secret")
		return strings.Contains(r2.metrics(), `kumquatsill_endpoints_avoided_total{reason="full",observed="false"}`)
	})
	if strings.Contains(r2.metrics(), `reason="full",observed="true"`) {
		t.Error("the peer has sent the endpoint a request")
	}
}
