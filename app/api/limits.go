// Package api serves the HTTP API for callers of a router.
package api

import (
	"log/slog"
	"time"
)

// Limits bounds the resources that callers can use. Sizes are in bytes.
type Limits struct {
	// Body is the maximum size of a request body.
	Body int64
	// Response is the maximum size of a response or a whole stream.
	Response int
	// Buffer is the maximum size of the data that waits for a slow caller.
	Buffer int
	// Header is the maximum size of all request headers.
	Header int
	// HeaderTimeout and BodyTimeout bound the arrival of a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// KeepAliveInterval is the time between comments on an idle event stream.
	KeepAliveInterval time.Duration
	// Timeout is the default deadline of a request, MaxTimeout the maximum.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ConcurrentRequests is the maximum number of requests in flight.
	ConcurrentRequests int64
	// Memory is the memory limit of the process, from which that for bodies follows; 0 means
	// none.
	Memory int64
	// Log receives the counts of refused bodies, if set.
	Log *slog.Logger
}

// DefaultLimits returns the limits for which no setting is given.
func DefaultLimits() Limits {
	return Limits{
		Body:               8 << 20,
		Response:           16 << 20,
		Buffer:             1 << 20,
		Header:             32 << 10,
		HeaderTimeout:      10 * time.Second,
		BodyTimeout:        30 * time.Second,
		WriteTimeout:       20 * time.Second,
		KeepAliveInterval:  10 * time.Second,
		Timeout:            2 * time.Minute,
		MaxTimeout:         15 * time.Minute,
		ConcurrentRequests: 4096,
	}
}
