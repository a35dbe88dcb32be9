package transport

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/app/worker"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
	"gopkg.in/tomb.v2"
)

const (
	// peerTimeout bounds the sending of a message to another router.
	peerTimeout = 3 * time.Second
	// maxPeerMessages bounds the messages to other routers that are in flight.
	maxPeerMessages = 1024
	// cancelGrace is how long the response of a canceled attempt stays open, so that
	// the agent can end it.
	cancelGrace = 3 * time.Second
)

// View is the part of a router's state that the transport and the caller API use.
// It is immutable.
type View struct {
	Config *note.Config
	// Routers holds the "ip:port" of each known router's internal listener.
	Routers map[proto.RouterID]string
	// Ready is set once the router has applied the config stream up to its head, and
	// the recorded intents of calls that must not be repeated.
	Ready bool
	// Funded is set once every client account's bucket has had a holder for long
	// enough to contain tokens.
	Funded bool
}

// workers is the number of goroutines that process requests.
var workers = max(2, min(8, runtime.GOMAXPROCS(0)))

// Router runs a router's machines and connects them to the network.
type Router struct {
	t         tomb.Tomb
	self      proto.Addr
	machine   *worker.Router
	client    *Client
	log       *LogClient
	inbound   *Inbound
	metrics   *Metrics
	peerSlots chan struct{}

	mu       sync.Mutex
	callers  map[proto.RequestID]*Mailbox
	attempts map[proto.AttemptID]context.CancelFunc
}

// NewRouter returns a router that Start starts.
func NewRouter(id proto.RouterID, control *router.Control, client, logClient *Client, logAddr string, metrics *Metrics) *Router {
	r := &Router{
		self:      proto.RouterAddr(id),
		client:    client,
		metrics:   metrics,
		peerSlots: make(chan struct{}, maxPeerMessages),
		callers:   map[proto.RequestID]*Mailbox{},
		attempts:  map[proto.AttemptID]context.CancelFunc{},
	}
	r.machine = worker.New(control, workers, rand.Uint64(), r.deliver)
	r.inbound = NewInbound(r.self, metrics, r.machine.Step)
	r.log = NewLogClient(logClient, logAddr, metrics, r.machine.Step)
	return r
}

// Start starts the machines.
func (r *Router) Start() {
	r.t.Go(func() error {
		<-r.t.Dying()
		return nil
	})
	r.machine.Start()
}

// Stop stops the machines and closes all connections. It aborts requests in flight;
// a graceful shutdown drains the router first.
func (r *Router) Stop() error {
	err := r.machine.Stop()
	r.t.Kill(nil)
	err = errors.Join(err, r.t.Wait(), r.log.Stop())
	r.client.Close()
	return err
}

// Inbound returns the handler for envelopes from other routers and operators.
func (r *Router) Inbound() *Inbound { return r.inbound }

// View returns the current state.
func (r *Router) View() View {
	s := r.machine.Snapshot()
	return View{Config: s.Config, Routers: s.Routers, Ready: s.Ready, Funded: s.Funded}
}

// Machine returns the router's machines.
func (r *Router) Machine() *worker.Router { return r.machine }

// Do runs f in the control machine's goroutine.
func (r *Router) Do(f func(now proto.Instant)) bool { return r.machine.Do(f) }

// Submit passes a request to the machine and returns a mailbox for the messages to
// its caller, of up to limit bytes, and whether the router still runs. EndRequest
// must be called in either case.
func (r *Router) Submit(req proto.CallerRequest, limit int) (*Mailbox, bool) {
	box := NewMailbox(limit)
	r.mu.Lock()
	r.callers[req.ID] = box
	r.mu.Unlock()
	ok := r.machine.Step(proto.Envelope{From: proto.CallerAddr(req.ID), To: r.self, Msg: req})
	return box, ok
}

// EndRequest removes a request's mailbox. If gone is set, the machine is told that
// the caller has closed its connection.
func (r *Router) EndRequest(id proto.RequestID, gone bool) {
	r.mu.Lock()
	delete(r.callers, id)
	r.mu.Unlock()
	if gone {
		r.machine.Step(proto.Envelope{From: proto.CallerAddr(id), To: r.self, Msg: proto.CallerGone{Request: id}})
	}
}

// InFlight returns the number of requests whose mailbox is in use.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.callers)
}

// deliver sends a message of a machine to its receiver.
func (r *Router) deliver(env proto.Envelope) {
	switch env.To.Role {
	case proto.RoleCaller:
		r.toCaller(env)
	case proto.RoleAgent:
		r.toAgent(env)
	case proto.RoleRouter:
		r.toRouter(env)
	case proto.RoleLog:
		r.log.Send(env)
	case proto.RoleOperator:
		if !r.inbound.Deliver(env) {
			r.metrics.Undeliverable.Inc()
		}
	default:
		r.metrics.Undeliverable.Inc()
	}
}

func (r *Router) toCaller(env proto.Envelope) {
	r.mu.Lock()
	box := r.callers[proto.RequestID(env.To.ID)]
	r.mu.Unlock()
	if box == nil {
		r.metrics.Undeliverable.Inc()
		return
	}
	box.Put(env)
}

func (r *Router) toAgent(env proto.Envelope) {
	if !r.t.Alive() {
		return
	}
	endpoint, ok := r.View().Config.Endpoints[proto.EndpointID(env.To.ID)]
	if !ok {
		r.metrics.Undeliverable.Inc()
		r.t.Go(func() error {
			r.connectionLost(env, &ConnectionError{Unsent: true, Err: Error.New("endpoint %s has no address", env.To.ID)})
			return nil
		})
		return
	}
	if cancel, ok := env.Msg.(proto.Cancel); ok {
		r.closeAfterGrace(cancel.Attempt)
	}
	ctx, done := r.attemptContext(env.Msg)
	r.t.Go(func() error {
		defer done()
		if err := r.post(ctx, endpoint.Addr, env); err != nil {
			r.connectionLost(env, err)
		}
		return nil
	})
}

// post sends an envelope to an agent and passes its replies to the machine.
func (r *Router) post(ctx context.Context, addr string, env proto.Envelope) error {
	key, _ := streamKeyOf(env.To, env.Msg)
	ended := key.kind == ""
	err := r.client.PostEnvelope(ctx, addr, env, func(in proto.Envelope) {
		got, last := streamKeyOf(in.From, in.Msg)
		if got != key || in.To != r.self || !slices.Contains(agentResponseKinds, in.Msg.Kind()) {
			r.metrics.Misdelivered.Inc()
			return
		}
		ended = ended || last
		r.machine.Step(in)
	})
	if err == nil && !ended {
		return &ConnectionError{Err: Error.New("the response ended before the attempt")}
	}
	return err
}

// attemptContext returns the context for sending a message and a function to call
// when that has ended. closeAfterGrace can cancel the context of a Dispatch.
func (r *Router) attemptContext(m proto.Message) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.t.Context(context.Background()))
	dispatch, ok := m.(proto.Dispatch)
	if !ok {
		return ctx, cancel
	}
	r.mu.Lock()
	r.attempts[dispatch.Attempt] = cancel
	r.mu.Unlock()
	return ctx, func() {
		r.mu.Lock()
		delete(r.attempts, dispatch.Attempt)
		r.mu.Unlock()
		cancel()
	}
}

// closeAfterGrace closes the response of a canceled attempt after cancelGrace if
// the agent has not ended it.
func (r *Router) closeAfterGrace(a proto.AttemptID) {
	r.mu.Lock()
	cancel := r.attempts[a]
	r.mu.Unlock()
	if cancel != nil {
		time.AfterFunc(cancelGrace, cancel)
	}
}

// connectionLost counts a message that was not delivered or whose response was
// lost. For a Dispatch, it tells the machine that the connection was lost.
func (r *Router) connectionLost(env proto.Envelope, err error) {
	var connectionLost *ConnectionError
	silent := errors.As(err, &connectionLost) && connectionLost.Silent
	if silent {
		r.metrics.ConnSilent.Inc()
	}
	unsent := hadNoEffect(err)
	if unsent {
		r.metrics.ConnRefused.Inc()
	} else {
		r.metrics.ConnLost.Inc()
	}
	dispatch, ok := env.Msg.(proto.Dispatch)
	if !ok {
		return
	}
	r.machine.Step(proto.Envelope{From: env.To, To: r.self, Msg: proto.ConnLost{Attempt: dispatch.Attempt, Unsent: unsent}})
}

func (r *Router) toRouter(env proto.Envelope) {
	addr := r.View().Routers[proto.RouterID(env.To.ID)]
	if addr == "" || !r.t.Alive() {
		r.metrics.Undeliverable.Inc()
		return
	}
	select {
	case r.peerSlots <- struct{}{}:
	default:
		r.metrics.PeerDropped.Inc()
		return
	}
	r.t.Go(func() error {
		defer func() { <-r.peerSlots }()
		ctx, cancel := context.WithTimeout(r.t.Context(context.Background()), peerTimeout)
		defer cancel()
		if err := r.client.PostEnvelope(ctx, addr, env, func(proto.Envelope) {}); err != nil {
			r.connectionLost(env, err)
		}
		return nil
	})
}
