// Package measure computes the five measures of the design page from events:
// prefix hit rate, time to first token, wasted recomputation, the worst-served
// client account and wrongful refusals.
//
// A source that does not know everything supplies a subset of the events. An
// HTTP caller knows Sent, FirstToken, Answered and Refused; the measures that
// need the others are then marked as unknown.
package measure

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Event is one thing that a source saw. All times of one Recorder are on one clock.
type Event interface{ event() }

// Sent is a request that a caller sends. A request that is sent again after a
// broken connection is the same request and gets no second Sent.
type Sent struct {
	At      time.Duration
	Request proto.RequestID
	Account proto.AccountID
	Class   proto.Class
	// Router names the router that got the request; it may be empty.
	Router string
	// TokenCost is the most that the request may cost: prompt and answer.
	TokenCost int64
}

// FirstToken is the arrival of the first part of an answer at the caller.
type FirstToken struct {
	At      time.Duration
	Request proto.RequestID
}

// Completed is the arrival of a whole answer at the caller.
type Completed struct {
	At      time.Duration
	Request proto.RequestID
	Usage   proto.Usage
}

// Refused is the end of a request without a whole answer.
type Refused struct {
	At      time.Duration
	Request proto.RequestID
	Cause   proto.Cause
	Verdict proto.Verdict
}

// PrefillStarted is the start of a run at an engine. All counts are prompt tokens.
type PrefillStarted struct {
	At      time.Duration
	Request proto.RequestID
	// Prompt is the length of the prompt; Computed is the part that the engine
	// prefills, as neither its cache nor an import provides it.
	Prompt, Computed int64
	// Held is the longest part that one live engine held at this moment.
	Held int64
}

func (Sent) event()           {}
func (FirstToken) event()     {}
func (Completed) event()      {}
func (Refused) event()        {}
func (PrefillStarted) event() {}
