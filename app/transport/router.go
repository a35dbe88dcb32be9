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
	// peerTimeout bounds a message between routers.
	peerTimeout = 3 * time.Second
	// maxPeerMessages bounds the messages to other routers that are in flight.
	maxPeerMessages = 1024
	// cancelGrace is how long the response of a canceled attempt stays open.
	cancelGrace = 3 * time.Second
)

// View is what the transport and the caller API read of a router's state. It is immutable.
type View struct {
	Config *note.Config
	// Routers holds the "ip:port" of each known router.
	Routers map[proto.RouterID]string
	Ready   bool
	// Funded is set once the accounts' buckets have had time to fill.
	Funded bool
}

// workers is the number of goroutines that step requests.
var workers = max(2, min(8, runtime.GOMAXPROCS(0)))

// Router runs a router's machines over the network.
type Router struct {
	t       tomb.Tomb
	self    proto.Addr
	machine *worker.Router
	client  *Client
	log     *LogClient
	inbound *Inbound
	metrics *Metrics
	peers   chan struct{}

	mu       sync.Mutex
	callers  map[proto.RequestID]*Mailbox
	attempts map[proto.AttemptID]context.CancelFunc
}

// NewRouter returns a router transport that is not yet running.
func NewRouter(id proto.RouterID, control *router.Control, client, logClient *Client, logAddr string, metrics *Metrics) *Router {
	r := &Router{
		self:     proto.RouterAddr(id),
		client:   client,
		metrics:  metrics,
		peers:    make(chan struct{}, maxPeerMessages),
		callers:  map[proto.RequestID]*Mailbox{},
		attempts: map[proto.AttemptID]context.CancelFunc{},
	}
	r.machine = worker.New(control, workers, rand.Uint64(), r.deliver)
	r.inbound = NewInbound(r.self, metrics, r.machine.Step)
	r.log = NewLogClient(logClient, logAddr, metrics, r.machine.Step)
	return r
}

// Start starts the machine.
func (r *Router) Start() {
	r.t.Go(func() error {
		<-r.t.Dying()
		return nil
	})
	r.machine.Start()
}

// Stop ends the machine and all connections. Requests in flight are cut;
// callers drain first.
func (r *Router) Stop() error {
	err := r.machine.Stop()
	r.t.Kill(nil)
	err = errors.Join(err, r.t.Wait(), r.log.Stop())
	r.client.Close()
	return err
}

// Inbound returns the handler for envelopes of other routers.
func (r *Router) Inbound() *Inbound { return r.inbound }

// View returns the state in force.
func (r *Router) View() View {
	s := r.machine.Snapshot()
	return View{Config: s.Config, Routers: s.Routers, Ready: s.Ready, Funded: s.Funded}
}

// Machine returns the machines that run.
func (r *Router) Machine() *worker.Router { return r.machine }

// Do runs f in the control machine's goroutine.
func (r *Router) Do(f func(now proto.Instant)) bool { return r.machine.Do(f) }

// Submit hands a request to the machine. What is for the caller goes to the
// mailbox; the caller must call EndRequest at the end.
func (r *Router) Submit(req proto.CallerRequest, limit int) (*Mailbox, bool) {
	box := NewMailbox(limit)
	r.mu.Lock()
	r.callers[req.ID] = box
	r.mu.Unlock()
	ok := r.machine.Step(proto.Envelope{From: proto.CallerAddr(req.ID), To: r.self, Msg: req})
	return box, ok
}

// EndRequest ends a request's mailbox. gone tells the machine that the caller hung up.
func (r *Router) EndRequest(id proto.RequestID, gone bool) {
	r.mu.Lock()
	delete(r.callers, id)
	r.mu.Unlock()
	if gone {
		r.machine.Step(proto.Envelope{From: proto.CallerAddr(id), To: r.self, Msg: proto.CallerGone{Request: id}})
	}
}

// InFlight returns the number of requests that have not ended.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.callers)
}

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
			r.lost(env, &ConnectionError{Unsent: true, Err: Error.New("endpoint %s has no address", env.To.ID)})
			return nil
		})
		return
	}
	if cancel, ok := env.Msg.(proto.Cancel); ok {
		r.closeLater(cancel.Attempt)
	}
	ctx, done := r.attemptContext(env.Msg)
	r.t.Go(func() error {
		defer done()
		if err := r.post(ctx, endpoint.Addr, env); err != nil {
			r.lost(env, err)
		}
		return nil
	})
}

// post sends an envelope to an agent and hands its answers to the machine.
func (r *Router) post(ctx context.Context, addr string, env proto.Envelope) error {
	key, _ := topicOf(env.To, env.Msg)
	ended := key.kind == ""
	err := r.client.PostEnvelope(ctx, addr, env, func(in proto.Envelope) {
		got, last := topicOf(in.From, in.Msg)
		if got != key || in.To != r.self || !slices.Contains(agentAnswerKinds, in.Msg.Kind()) {
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

// closeLater closes the response of a canceled attempt even if the agent never ends it.
func (r *Router) closeLater(a proto.AttemptID) {
	r.mu.Lock()
	cancel := r.attempts[a]
	r.mu.Unlock()
	if cancel != nil {
		time.AfterFunc(cancelGrace, cancel)
	}
}

func (r *Router) lost(env proto.Envelope, err error) {
	var lost *ConnectionError
	silent := errors.As(err, &lost) && lost.Silent
	if silent {
		r.metrics.ConnSilent.Inc()
	}
	unsent := rejectedBefore(err)
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
	case r.peers <- struct{}{}:
	default:
		r.metrics.PeerDropped.Inc()
		return
	}
	r.t.Go(func() error {
		defer func() { <-r.peers }()
		ctx, cancel := context.WithTimeout(r.t.Context(context.Background()), peerTimeout)
		defer cancel()
		if err := r.client.PostEnvelope(ctx, addr, env, func(proto.Envelope) {}); err != nil {
			r.lost(env, err)
		}
		return nil
	})
}
