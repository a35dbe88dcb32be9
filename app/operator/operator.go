// Package operator implements the client for the messages that operators send to
// routers.
package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// UnreachableError reports that no router responded.
type UnreachableError struct {
	// Unsent is set when the message certainly reached no router.
	Unsent bool
	// Attempts holds the error of each router that was tried, in order.
	Attempts []error
}

// Error implements error, with one line per router.
func (e *UnreachableError) Error() string {
	lines := []string{"no router answered:"}
	for _, err := range e.Attempts {
		lines = append(lines, "  "+err.Error())
	}
	return strings.Join(lines, "\n")
}

// Client sends messages to routers. It is safe for concurrent use.
type Client struct {
	client *transport.Client
	addrs  []string
}

// New returns a client that tries the routers at addrs, each the "ip:port" of an
// internal listener, in order until one responds.
func New(client *transport.Client, addrs []string) *Client {
	return &Client{client: client, addrs: addrs}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

// NewID returns an id for a message or a record.
func NewID() string { return uuid.NewString() }

// Call sends a message to one router after the other until one responds, and returns
// its response. The message must be safe to send again, since a router whose response
// was lost may have acted on it. The error is an *UnreachableError, or wraps the
// *transport.StatusError of a router that refused the message.
func Call[R proto.Message](ctx context.Context, c *Client, m proto.Message) (R, error) {
	unreachable := &UnreachableError{Unsent: true}
	var zero R
	for _, addr := range c.addrs {
		reply, err := callRouter[R](ctx, c, addr, m)
		if err == nil {
			return reply, nil
		}
		var status *transport.StatusError
		if errors.As(err, &status) && status.Status < 500 {
			return zero, fmt.Errorf("router %s: %w", addr, err)
		}
		var connErr *transport.ConnectionError
		unreachable.Unsent = unreachable.Unsent && errors.As(err, &connErr) && connErr.Unsent
		unreachable.Attempts = append(unreachable.Attempts, fmt.Errorf("router %s: %w", addr, err))
		if ctx.Err() != nil {
			break
		}
	}
	return zero, unreachable
}

// callRouter sends a message to the router at addr and returns its response.
func callRouter[R proto.Message](ctx context.Context, c *Client, addr string, m proto.Message) (R, error) {
	env := proto.Envelope{
		From: proto.Addr{Role: proto.RoleOperator, ID: NewID()},
		To:   proto.Addr{Role: proto.RoleRouter},
		Msg:  m,
	}
	var reply R
	answered := false
	err := c.client.PostEnvelope(ctx, addr, env, func(in proto.Envelope) {
		if got, ok := in.Msg.(R); ok && in.To == env.From {
			reply, answered = got, true
		}
	})
	if err == nil && !answered {
		err = errors.New("the response ended without an answer")
	}
	if answered {
		err = nil // errors after the response are irrelevant
	}
	return reply, err
}
