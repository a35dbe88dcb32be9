package scenario

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
)

const (
	requestTimeout = 40 * time.Second
	maxTokens      = 8
	// longTokens makes a stream last several seconds, so that faults hit it.
	longTokens = 200
)

// Generation returns a streamed generation request. Requests with the same prefix
// number share their prompt prefix.
func (r *Run) Generation(account int, prefix uint64) proto.CallerRequest {
	r.requests++
	id := proto.RequestID(fmt.Sprintf("g%d", r.requests))
	req := proto.CallerRequest{
		ID: id, Key: r.keys[r.accounts[account].ID], Class: proto.ClassGenerate,
		Method: "POST", Path: "/v1/completions", Model: "assistant", Stream: true,
		Body:      []byte(fmt.Sprintf(`{"prompt":"%d/%s"}`, prefix, id)),
		MaxTokens: maxTokens, PromptTokens: 6500, Timeout: r.settings.RequestTimeout,
		Pieces: []uint64{1, r.prefixBase + prefix, uint64(r.requests) << 32},
	}
	if r.Sim.Rand().IntN(4) == 0 {
		req.Sampling.Temperature = 0.7
	}
	return req
}

// Order returns a plain call that is not idempotent.
func (r *Run) Order(account int, key string) proto.CallerRequest {
	r.requests++
	return proto.CallerRequest{
		ID: proto.RequestID(fmt.Sprintf("o%d", r.requests)), Key: r.keys[r.accounts[account].ID], Class: proto.ClassCall,
		Method: "POST", Path: "/orders", Body: []byte(fmt.Sprintf(`{"order":%q}`, key)),
		IdempotencyKey: key, ArrivedWall: r.wallClock.Add(r.now().Sub(0)), Timeout: r.settings.RequestTimeout,
	}
}

// Query returns an idempotent plain call.
func (r *Run) Query(account int) proto.CallerRequest {
	r.requests++
	return proto.CallerRequest{
		ID: proto.RequestID(fmt.Sprintf("s%d", r.requests)), Key: r.keys[r.accounts[account].ID], Class: proto.ClassCall,
		Method: "GET", Path: "/orders/1", Timeout: r.settings.RequestTimeout,
	}
}

// Send sends a request through router i.
func (r *Run) Send(i int, req proto.CallerRequest) *fleet.Response {
	return r.Callers.Send(r.RouterAddr(i), req)
}

// randomRequest sends one request of a random kind. Half of the orders are sent
// a second time later, and some callers hang up.
func (r *Run) randomRequest() {
	rng := r.Sim.Rand()
	account := rng.IntN(len(r.accounts))
	via := rng.IntN(len(r.Routers))
	switch rng.IntN(6) {
	case 0, 1:
		key := fmt.Sprintf("key-%d", r.requests)
		r.Send(via, r.Order(account, key))
		if rng.IntN(2) == 0 {
			again := r.Order(account, key)
			again.Body = []byte(fmt.Sprintf(`{"order":%q}`, key))
			delay := time.Duration(rng.Int64N(int64(10 * time.Second)))
			r.Sim.After(delay, func() { r.Send(r.Sim.Rand().IntN(len(r.Routers)), again) })
		}
	case 2:
		r.Send(via, r.Query(account))
	default:
		req := r.Generation(account, uint64(rng.IntN(5)))
		if rng.IntN(4) == 0 {
			req.MaxTokens = longTokens
		}
		a := r.Send(via, req)
		if rng.IntN(10) == 0 {
			r.Sim.After(time.Duration(rng.Int64N(int64(2*time.Second))), func() { r.Callers.HangUp(a.Request.ID) })
		}
	}
}

// SendBaselineRequest sends one small request, whose kind alternates.
func (r *Run) SendBaselineRequest() {
	via, account := r.requests%len(r.Routers), r.requests%2
	switch r.requests % 4 {
	case 0:
		r.Send(via, r.Order(account, fmt.Sprintf("calm-%d", r.requests)))
	case 1:
		r.Send(via, r.Query(account))
	default:
		r.Send(via, r.Generation(account, uint64(r.requests%3)))
	}
}
