package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// controlTimeout limits a control call to an endpoint, in addition to the
	// time that the call asks the endpoint to wait.
	controlTimeout = 1200 * time.Millisecond
	// maxControlResponseBytes limits the size of the response to a control call.
	// Several calls run at the same time on hosts with some 100 MB of memory.
	maxControlResponseBytes = 2 << 20
)

var errPaused = errors.New("the engine takes no requests for a time")

// endpointCaller sends control calls, which are not requests of callers, to
// endpoints.
type endpointCaller struct {
	client *upstream.Client
	// admit reports whether a call may be sent to an engine, by what the engine says.
	admit func(e *discovery.Endpoint, urgent bool) bool
	// observe is called with the head of each answer of an engine.
	observe func(e *discovery.Endpoint, head platform.ResponseInfo)
}

// Call implements platform.EndpointCaller. Responses do not name the control call that
// they belong to, so that a call that changes something has a connection of its own.
func (c endpointCaller) Call(ctx context.Context, call platform.ControlCall) (int, []byte, error) {
	if call.Endpoint != nil && !c.admit(call.Endpoint, call.Urgent) {
		return 0, nil, errPaused
	}
	resp, err := c.client.Send(ctx, &upstream.Request{
		Addr: call.Addr, Method: call.Method, Target: call.Target, Host: call.Addr, Header: call.Header, Body: call.Body,
		Exclusive: call.Method != http.MethodGet, Matches: platform.IsControlResponse,
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	if call.Endpoint != nil {
		c.observe(call.Endpoint, platform.DecodeResponse(resp.Status, resp.Header))
	}
	respBody, _, err := resp.ReadBody(maxControlResponseBytes)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	return resp.Status, respBody, nil
}
