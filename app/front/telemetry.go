package front

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// telemetry holds the counters and histograms of one process.
type telemetry struct {
	set             *metrics.Set
	peerSendErrors  *metrics.Counter
	peerBadMessages *metrics.Counter
	endpoints       atomic.Int64
}

func newTelemetry(f *Front) *telemetry {
	set := metrics.NewSet()
	t := &telemetry{
		set:             set,
		peerSendErrors:  set.NewCounter("kumquatsill_peer_send_errors_total"),
		peerBadMessages: set.NewCounter("kumquatsill_peer_bad_messages_total"),
	}
	set.NewGauge("kumquatsill_requests_in_flight", func() float64 { return float64(f.inFlight.Load()) })
	set.NewGauge("kumquatsill_peer_facts_unconfirmed", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.facts.Unconfirmed())
	})
	set.NewGauge("kumquatsill_endpoints", func() float64 { return float64(t.endpoints.Load()) })
	set.NewGauge("kumquatsill_log_lines_dropped_total", func() float64 { return float64(f.cfg.LogDropped()) })
	set.NewGauge("kumquatsill_upstream_dials_total", func() float64 { return float64(f.client.Stats.Dials.Load()) })
	set.NewGauge("kumquatsill_upstream_stale_connections_total", func() float64 { return float64(f.client.Stats.Stale.Load()) })
	set.NewGauge("kumquatsill_upstream_foreign_answers_total", func() float64 { return float64(f.client.Stats.Mismatched.Load()) })
	set.NewGauge("kumquatsill_upstream_response_bytes", func() float64 { return float64(f.client.Memory.Held()) })
	set.NewGauge("kumquatsill_upstream_given_up_responses_total", func() float64 { return float64(f.client.Memory.GivenUp.Load()) })
	f.memory.addMetrics(set)
	return t
}

// refused counts a request that was refused before it was sent to an endpoint,
// or that no endpoint ran.
func (t *telemetry) refused(reason string) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_refusals_total{reason=%q}`, reason)).Inc()
}

// finished records the end of a request, labeled with its route's kind and
// priority.
func (t *telemetry) finished(r *serving.Route, decision relay.Decision, took time.Duration) {
	labels := fmt.Sprintf(`kind=%q,priority="%d",outcome=%q`, r.Kind, r.Priority, decision.Action)
	t.set.GetOrCreateHistogram("kumquatsill_request_duration_seconds{" + labels + "}").Update(took.Seconds())
}

// attempted records an attempt and its time to first byte.
func (t *telemetry) attempted(service string, result relay.Result, a *attempt) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_attempts_total{service=%q,result=%q}`, service, result)).Inc()
	if a.firstByteAt != 0 {
		t.set.GetOrCreateHistogram(fmt.Sprintf(`kumquatsill_first_byte_seconds{service=%q}`, service)).Update(a.firstByteAt.Sub(a.sentAt).Seconds())
	}
}
