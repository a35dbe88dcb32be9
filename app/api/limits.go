// Package api is the callers' HTTP interface of a router.
package api

import "time"

// Limits bounds what one caller can take of a router.
type Limits struct {
	// Body is the greatest size of a request body, Answer that of an answer
	// or a whole stream, both in bytes.
	Body   int64
	Answer int
	// Buffer bounds what waits for a slow caller, in bytes.
	Buffer int
	// Header is the greatest size of all request headers, in bytes.
	Header int
	// HeaderTime and BodyTime bound the arrival of a request.
	HeaderTime time.Duration
	BodyTime   time.Duration
	// WriteTime bounds each write to a caller.
	WriteTime time.Duration
	// KeepAlive is the time between comments on an idle event stream.
	KeepAlive time.Duration
	// Timeout is the deadline of a request that names none, MaxTimeout the greatest.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// InFlight is the greatest number of requests at once.
	InFlight int64
}

// DefaultLimits returns the limits that apply unless settings change them.
func DefaultLimits() Limits {
	return Limits{
		Body:       8 << 20,
		Answer:     16 << 20,
		Buffer:     1 << 20,
		Header:     32 << 10,
		HeaderTime: 10 * time.Second,
		BodyTime:   30 * time.Second,
		WriteTime:  20 * time.Second,
		KeepAlive:  10 * time.Second,
		Timeout:    2 * time.Minute,
		MaxTimeout: 15 * time.Minute,
		InFlight:   4096,
	}
}
