package transport

import "github.com/VictoriaMetrics/metrics"

// Metrics holds the counters of the transports of one process.
type Metrics struct {
	// Misdelivered counts envelopes that were not for this process or not allowed.
	Misdelivered *metrics.Counter
	// Undeliverable counts outputs of a machine that had nowhere to go.
	Undeliverable *metrics.Counter
	// PeerDropped counts messages to routers that were dropped because too many waited.
	PeerDropped *metrics.Counter
	// ConnLost counts connections that ended after a message was sent, ConnRefused
	// messages that certainly had no effect.
	ConnLost    *metrics.Counter
	ConnRefused *metrics.Counter
	ConnSilent  *metrics.Counter
	LogFailed   *metrics.Counter
	EngineDown  *metrics.Counter
}

// NewMetrics registers the counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Misdelivered:  set.NewCounter("kumquatsill_transport_misdelivered_total"),
		Undeliverable: set.NewCounter("kumquatsill_transport_undeliverable_total"),
		PeerDropped:   set.NewCounter("kumquatsill_transport_peer_dropped_total"),
		ConnLost:      set.NewCounter("kumquatsill_transport_connections_lost_total"),
		ConnRefused:   set.NewCounter("kumquatsill_transport_connections_refused_total"),
		ConnSilent:    set.NewCounter("kumquatsill_transport_connections_silent_total"),
		LogFailed:     set.NewCounter("kumquatsill_log_calls_failed_total"),
		EngineDown:    set.NewCounter("kumquatsill_engine_down_total"),
	}
}
