// Package measure computes the five measures of the design page from events:
// prefix hit rate, time to first token, wasted recomputation, the worst-served
// client account and wrongful refusals.
//
// An event source may supply only the events that it can observe. An
// HTTP caller knows Sent, FirstToken, Completed and Refused; the measures that
// need the others are then unknown, see Report.HasEngines.
package measure

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Event is an observation of an event source. All times that are added to a
// Recorder must be on the same clock.
type Event interface{ event() }

// Sent is the first send of a request by a caller. A request that is resent after
// a broken connection gets no second Sent.
type Sent struct {
	At      time.Duration
	Request proto.RequestID
	Account proto.AccountID
	Class   proto.Class
	// Router is the ID of the router that received the request; it may be empty.
	Router string
	// TokenCost is the maximum cost of the request, prompt and generation.
	TokenCost int64
}

// FirstToken is the arrival of the first chunk of a response at the caller.
type FirstToken struct {
	At      time.Duration
	Request proto.RequestID
}

// Completed is the arrival of a complete response at the caller.
type Completed struct {
	At      time.Duration
	Request proto.RequestID
	Usage   proto.Usage
}

// Refused is the end of a request without a complete response.
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
	// Prompt is the length of the prompt. Computed is the part that the engine
	// prefills because neither its cache nor an import provides it.
	Prompt, Computed int64
	// Held is the longest prefix that any one live engine has cached at this time.
	Held int64
}

func (Sent) event()           {}
func (FirstToken) event()     {}
func (Completed) event()      {}
func (Refused) event()        {}
func (PrefillStarted) event() {}
