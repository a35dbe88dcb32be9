// Package api is the callers' HTTP interface of a router.
package api

import "time"

// Limits bounds what one caller can take of a router.
type Limits struct {
	// Body is the greatest size of a request body, Answer that of an answer
	// or a whole stream, both in bytes.
	Body     int64
	Response int
	// Buffer bounds what waits for a slow caller, in bytes.
	Buffer int
	// Header is the greatest size of all request headers, in bytes.
	Header int
	// HeaderTimeout and BodyTime bound the arrival of a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// KeepAliveInterval is the time between comments on an idle event stream.
	KeepAliveInterval time.Duration
	// Timeout is the deadline of a request that names none, MaxTimeout the greatest.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ConcurrentRequests is the greatest number of requests at once.
	ConcurrentRequests int64
}

// DefaultLimits returns the limits that apply unless settings change them.
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
