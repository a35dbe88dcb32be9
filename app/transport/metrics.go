package transport

import "github.com/VictoriaMetrics/metrics"

// Metrics holds the counters of the transports of one process.
type Metrics struct {
	// Misdelivered counts envelopes that were addressed to another process, or had a
	// kind or sender that is not accepted.
	Misdelivered *metrics.Counter
	// Undeliverable counts messages of a machine whose receiver is unknown or has no
	// response open.
	Undeliverable *metrics.Counter
	// PeerDropped counts messages to other routers that were dropped because too
	// many were in flight.
	PeerDropped *metrics.Counter
	// ConnLost counts connections that ended after a message was sent, ConnRefused
	// messages that certainly had no effect, such as after a refused connection.
	ConnLost    *metrics.Counter
	ConnRefused *metrics.Counter
	// ConnSilent counts connections that were abandoned after SilenceTimeout.
	ConnSilent *metrics.Counter
	// LogFailed counts calls to the log service without a usable response.
	LogFailed *metrics.Counter
	// EngineDown counts losses of the connection to the engine.
	EngineDown *metrics.Counter
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
