package front_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/front"
)

// metricSum returns the sum of the values of the metrics that match a pattern.
func (r *router) metricSum(pattern string) float64 {
	r.t.Helper()
	resp, err := http.Get("http://" + r.readinessAddr + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	sum := 0.0
	for _, m := range regexp.MustCompile(`(?m)^`+pattern+` (\S+)$`).FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(m[1], 64)
		if err != nil {
			r.t.Fatal(err)
		}
		sum += value
	}
	return sum
}

// Guards against bytes between failure domains that are not counted, and against bytes
// within a domain that are.
func TestBytesBetweenDomains(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	near := b.startReady("r1")
	far := b.startWith("r2", func(c *front.Config) { c.Settings.Domain = "zone-b" }).awaitReady(b)
	if status, _ := far.call("/sheet/1", "secret"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	sent := far.metricSum(`kumquatsill_domain_bytes_total\{kind="request",from="zone-b",to="zone-a"\}`)
	received := far.metricSum(`kumquatsill_domain_bytes_total\{kind="response",from="zone-a",to="zone-b"\}`)
	if sent < 100 || received < 100 {
		t.Errorf("counted %v bytes of requests and %v of responses", sent, received)
	}
	if n := near.metricSum(`kumquatsill_domain_bytes_total\{kind="(?:request|response)".*\}`); n != 0 {
		t.Errorf("counted %v bytes of requests and responses within the domain", n)
	}
	eventually(t, "messages between the domains are counted", func() bool {
		return near.metricSum(`kumquatsill_domain_bytes_total\{kind="message",from="zone-a",to="zone-b"\}`) > 0
	})
}
