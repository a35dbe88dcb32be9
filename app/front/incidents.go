package front

import (
	"fmt"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// recordIncident records what an attempt that did not run says about its endpoint, so that
// other requests avoid it, and tells the peers at once if it is news.
func (a *attempt) recordIncident(now proto.Instant, kind place.IncidentKind) {
	f := a.request.front
	if !f.placer.RecordIncident(now, a.choice, kind) {
		return
	}
	f.metrics.incident(kind, true)
	e := a.choice.Endpoint
	f.log.Info("endpoint avoided", "endpoint", string(e.ID), "started", e.Started, "reason", kind.String(), "observed", true, "respondent", string(a.respondent))
	f.requestEarlySend()
}

// handleIncidents applies what a peer has learned about endpoints. The message was sent at
// sentAt.
func (f *Front) handleIncidents(now, sentAt proto.Instant, router proto.RouterID, notices []place.IncidentNotice) {
	for _, n := range notices {
		if !f.placer.HandleIncident(now, sentAt, n) {
			continue
		}
		f.metrics.incident(n.Kind, false)
		f.log.Info("endpoint avoided", "endpoint", string(n.Endpoint), "started", n.Started, "reason", n.Kind.String(), "observed", false,
			"router", string(router), "age_ms", now.Sub(sentAt).Milliseconds()+n.AgeMillis)
	}
}

// receivers returns about how many datagrams a message to all peers takes.
func (f *Front) receivers() int {
	const otherDomains = 3
	return len(f.peersAt(near)) + otherDomains
}

// incident counts an endpoint that is avoided.
func (t *telemetry) incident(kind place.IncidentKind, observed bool) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_endpoints_avoided_total{reason=%q,observed="%t"}`, kind, observed)).Inc()
}
