package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/upstream"
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

// endpointCaller sends control calls, which are not requests of callers, to
// endpoints.
type endpointCaller struct{ client *upstream.Client }

// Call implements platform.EndpointCaller. Responses do not name the control call that
// they belong to, so that a call that changes something has a connection of its own.
func (c endpointCaller) Call(ctx context.Context, addr, method, target string, h http.Header, body []byte) (int, []byte, error) {
	resp, err := c.client.Send(ctx, &upstream.Request{
		Addr: addr, Method: method, Target: target, Host: addr, Header: h, Body: body,
		Exclusive: method != http.MethodGet, Matches: platform.IsControlResponse,
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	return resp.Status, respBody, nil
}
