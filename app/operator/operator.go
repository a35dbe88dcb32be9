// Package operator is the client side of the messages that operators send to
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

// UnreachableError tells that no router answered.
type UnreachableError struct {
	// Unsent is set when no message can have reached a router.
	Unsent bool
	// Attempts are the errors by router, in the order in which they were asked.
	Attempts []error
}

// Error implements error, one router a line.
func (e *UnreachableError) Error() string {
	lines := []string{"no router answered:"}
	for _, err := range e.Attempts {
		lines = append(lines, "  "+err.Error())
	}
	return strings.Join(lines, "\n")
}

// Client asks routers. It is safe for concurrent use.
type Client struct {
	client *transport.Client
	addrs  []string
}

// New returns a client that asks the routers at addrs, each the "ip:port" of
// an internal listener, in this order until one answers.
func New(client *transport.Client, addrs []string) *Client {
	return &Client{client: client, addrs: addrs}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

// NewID returns an id for a message or a record.
func NewID() string { return uuid.NewString() }

// Call sends a message to the first router that answers and returns its
// answer. The message must be safe to send again, since a router whose answer
// was lost may have acted on it. Errors are *UnreachableError,
// *transport.StatusError for a router that refused the message, or the context's.
func Call[R proto.Message](ctx context.Context, c *Client, m proto.Message) (R, error) {
	lost := &UnreachableError{Unsent: true}
	var none R
	for _, addr := range c.addrs {
		reply, err := askOne[R](ctx, c, addr, m)
		if err == nil {
			return reply, nil
		}
		var status *transport.StatusError
		if errors.As(err, &status) && status.Status < 500 {
			return none, fmt.Errorf("router %s: %w", addr, err)
		}
		var conn *transport.ConnectionError
		lost.Unsent = lost.Unsent && errors.As(err, &conn) && conn.Unsent
		lost.Attempts = append(lost.Attempts, fmt.Errorf("router %s: %w", addr, err))
		if ctx.Err() != nil {
			break
		}
	}
	return none, lost
}

func askOne[R proto.Message](ctx context.Context, c *Client, addr string, m proto.Message) (R, error) {
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
		err = nil // what broke after the answer does not matter
	}
	return reply, err
}
