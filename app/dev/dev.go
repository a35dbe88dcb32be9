// Package dev runs a whole fleet in one process for development, with stand-ins
// for the engines, the log service and a plain service.
package dev

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/example"
	"github.com/kumquatsill/kumquatsill/app/node"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
	"github.com/kumquatsill/kumquatsill/standin/engine"
	"github.com/kumquatsill/kumquatsill/standin/kv"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
	"github.com/kumquatsill/kumquatsill/standin/orders"
	"github.com/kumquatsill/kumquatsill/standin/serve"
	"github.com/zeebo/errs"
	"gopkg.in/tomb.v2"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dev")

const (
	loopback = "127.0.0.1:0"
	// model and version are those of the plain example note.
	model   = "assistant"
	version = "v1"
	// retryInterval is the time between attempts to submit the note and between
	// checks of the routers.
	retryInterval = 200 * time.Millisecond
	drainTimeout  = time.Minute
)

// Config configures a fleet for development.
type Config struct {
	// Listen is the "ip:port" of the first router's listener for callers.
	Listen  string
	Routers int
	Engines int
	Seed    uint64
	// Deployment, if set, is one of example.DeploymentNames. Its accounts, model,
	// routes and policy replace those of the plain example note.
	Deployment string
	Log        *slog.Logger
}

// Fleet is a fleet in one process. All its listeners are on loopback, except the
// one of the first router for callers, which Config.Listen sets.
type Fleet struct {
	t           tomb.Tomb
	cfg         Config
	keys        []Key
	model       note.Model
	service     string
	note        note.Note
	logAddr     string
	store       *kv.Store
	runCounter  *orders.RunCounter
	servers     []*http.Server
	hosts       []*serve.Server
	agents      []*node.Agent
	routers     []*node.Router
	routerAddrs []routerListeners
	// OnReady, if set, is called once every router is ready and has applied the
	// note, and the buckets of all accounts contain tokens.
	OnReady func()
}

// routerListeners holds the listener addresses of a router.
type routerListeners struct {
	id       proto.RouterID
	internal string
	callers  string
}

// Key is the key of one client account.
type Key struct {
	Account proto.AccountID
	Secret  string
}

// New creates a fleet and opens all its listeners. Start starts it.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, store: kv.New(kv.Config{Seed: cfg.Seed}), runCounter: orders.NewRunCounter()}
	if err := f.buildNote(); err != nil {
		return nil, err
	}
	var err error
	if f.logAddr, err = f.serve(logsvc.New(logsvc.Config{Seed: cfg.Seed})); err != nil {
		return nil, err
	}
	for i := range cfg.Engines {
		if err := f.addEngine(i); err != nil {
			return nil, err
		}
	}
	if err := f.addOrders(); err != nil {
		return nil, err
	}
	for i := range cfg.Routers {
		if err := f.addRouter(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// buildNote creates the release note, as yet without endpoints, and a key for
// each account.
func (f *Fleet) buildNote() error {
	f.note = plainNote()
	if f.cfg.Deployment != "" {
		var ok bool
		if f.note, ok = example.Note(f.cfg.Deployment); !ok {
			return Error.New("unknown deployment %q, known are %v", f.cfg.Deployment, example.DeploymentNames)
		}
		f.note.Added.Endpoints = nil
		f.note.Added.Models[0].MinEndpoints = 0
	}
	f.model, f.service = f.note.Added.Models[0], f.note.Added.Routes[0].Service
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 0x6b6579))
	for _, a := range f.note.Added.Accounts {
		key := Key{Account: a.ID, Secret: exampleKey(rng)}
		f.keys = append(f.keys, key)
		f.note.Added.Keys = append(f.note.Added.Keys, note.Key{Hash: note.HashKey(key.Secret), Account: a.ID})
	}
	return nil
}

// exampleKey returns a key that depends only on the seed. A predictable key is
// acceptable, as the fleet is meant for development on loopback.
func exampleKey(rng *rand.Rand) string {
	raw := make([]byte, 0, 16)
	for range 2 {
		raw = fmt.Appendf(raw, "%08x", rng.Uint32())
	}
	return "ks-dev-" + hex.EncodeToString(raw)
}

// plainNote returns the note without a deployment: one account, a model and the
// routes of the orders service.
func plainNote() note.Note {
	return note.Note{
		Author: "dev", Reason: "example note",
		Added: note.Items{
			Accounts: []note.Account{{ID: "example", Rate: 100_000, Burst: 1_000_000}},
			Models:   []note.Model{{Name: model, Version: version}},
			Routes: []note.Route{
				{Method: http.MethodPost, Path: "/orders", Service: "orders"},
				{Method: http.MethodGet, Path: "/orders/", Service: "orders", Idempotent: true},
			},
		},
	}
}

// serve runs a stand-in on a loopback listener and returns its address.
func (f *Fleet) serve(m proto.Machine) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", Error.Wrap(err)
	}
	host := serve.New(m)
	server := &http.Server{Handler: host, ReadHeaderTimeout: time.Minute}
	f.hosts = append(f.hosts, host)
	f.servers = append(f.servers, server)
	f.t.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// failureDomain assigns the failure domains in turn.
func failureDomain(i int) proto.Domain { return proto.Domain(fmt.Sprintf("zone-%c", 'a'+i%3)) }

func (f *Fleet) addEngine(i int) error {
	id := proto.EndpointID(fmt.Sprintf("engine-%d", i+1))
	cfg := engine.Config{
		Endpoint: id, Seed: f.cfg.Seed + uint64(i), Versions: map[string]string{f.model.Name: f.model.Version},
	}
	for _, dep := range workload.Deployments() {
		if dep.Name == f.cfg.Deployment {
			cfg.CacheBlocks, cfg.BatchSize = dep.Engine.CacheBlocks, dep.Engine.BatchSize
			cfg.PrefillPerToken, cfg.DecodePerToken = dep.Engine.PrefillPerToken, dep.Engine.DecodePerToken
		}
	}
	e := engine.New(cfg)
	return f.addAgent(e, note.Endpoint{ID: id, Kind: note.KindEngine, Domain: failureDomain(i), Models: []string{f.model.Name}})
}

func (f *Fleet) addOrders() error {
	id := proto.EndpointID(f.service + "-1")
	s := orders.New(orders.Config{Endpoint: id, Seed: f.cfg.Seed, RunCounter: f.runCounter})
	return f.addAgent(s, note.Endpoint{ID: id, Kind: note.KindService, Domain: failureDomain(0), Service: f.service})
}

// addAgent runs a stand-in with an agent and adds its endpoint to the note.
func (f *Fleet) addAgent(m proto.Machine, e note.Endpoint) error {
	addr, err := f.serve(m)
	if err != nil {
		return err
	}
	cfg := node.AgentConfig{Endpoint: e.ID, EngineAddr: addr, DrainTimeout: drainTimeout, Log: f.cfg.Log}
	if cfg.Internal, err = node.Listen(loopback, transport.TLSFiles{}); err != nil {
		return err
	}
	cfg.InitMachine(e.ChecksFence)
	a, err := node.NewAgent(cfg)
	if err != nil {
		return err
	}
	e.Addr = cfg.Internal.Addr().String()
	f.note.Added.Endpoints = append(f.note.Added.Endpoints, e)
	f.agents = append(f.agents, a)
	return nil
}

func (f *Fleet) addRouter(i int) error {
	listen := loopback
	if i == 0 {
		listen = f.cfg.Listen
	}
	cfg := node.RouterConfig{LogAddr: f.logAddr, Limits: api.DefaultLimits(), DrainTimeout: drainTimeout, Log: f.cfg.Log}
	var err error
	if cfg.Callers, err = node.Listen(listen, transport.TLSFiles{}); err != nil {
		return err
	}
	if cfg.Internal, err = node.Listen(loopback, transport.TLSFiles{}); err != nil {
		return err
	}
	cfg.InitMachine(fmt.Sprintf("router-%d", i+1), failureDomain(i), node.LogRetention{})
	r, err := node.NewRouter(cfg)
	if err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	f.routerAddrs = append(f.routerAddrs, routerListeners{id: cfg.ID, internal: cfg.Internal.Addr().String(), callers: cfg.Callers.Addr().String()})
	return nil
}

// Start starts the fleet, which then submits the note to itself.
func (f *Fleet) Start() {
	for _, a := range f.agents {
		a.Start()
	}
	for _, r := range f.routers {
		r.Start()
	}
	f.t.Go(f.setUp)
}

// StartAndWait starts the fleet and waits until it is ready, for which it sets
// OnReady. It returns an error if the fleet fails or is not ready within limit.
func (f *Fleet) StartAndWait(limit time.Duration) error {
	ready := make(chan struct{})
	f.OnReady = func() { close(ready) }
	f.Start()
	select {
	case <-ready:
		return nil
	case <-f.Failed():
		return f.Err()
	case <-time.After(limit):
		return Error.New("the fleet is not ready after %v", limit)
	}
}

// setUp submits the note until the first router has accepted it and then waits
// for all routers.
func (f *Fleet) setUp() error {
	client := transport.NewClient(nil)
	defer client.Close()
	for {
		outcome, err := Submit(f.t.Context(context.Background()), client, f.routerAddrs[0].id, f.routerAddrs[0].internal, "dev-note", f.note)
		switch {
		case err == nil && outcome.Status == proto.NoteAccepted:
			return f.waitReady()
		case err == nil && outcome.Status != proto.NoteUnknown:
			return Error.New("the example note was %s: %s %v", outcome.Status, outcome.Detail, outcome.Problems)
		}
		select {
		case <-time.After(retryInterval):
		case <-f.t.Dying():
			return nil
		}
	}
}

// waitReady waits until all routers are ready and calls OnReady.
func (f *Fleet) waitReady() error {
	for _, r := range f.routers {
		for r.Revision() == 0 || !r.Ready() || !r.Funded() {
			select {
			case <-time.After(retryInterval):
			case <-f.t.Dying():
				return nil
			}
		}
	}
	if f.OnReady != nil {
		f.OnReady()
	}
	return nil
}

// Submit sends a release note to a router and returns the outcome.
func Submit(ctx context.Context, client *transport.Client, router proto.RouterID, addr string, id proto.RecordID, n note.Note) (proto.NoteOutcome, error) {
	body, err := json.Marshal(n)
	if err != nil {
		return proto.NoteOutcome{}, Error.Wrap(err)
	}
	env := proto.Envelope{
		From: proto.Addr{Role: proto.RoleOperator, ID: string(id)},
		To:   proto.RouterAddr(router),
		Msg:  proto.NoteSubmit{ID: id, Note: body, SubmittedWall: time.Now()},
	}
	var outcome proto.NoteOutcome
	answered := false
	err = client.PostEnvelope(ctx, addr, env, func(in proto.Envelope) {
		if m, ok := in.Msg.(proto.NoteOutcome); ok {
			outcome, answered = m, true
		}
	})
	if err == nil && !answered {
		err = Error.New("router %s gave no answer", router)
	}
	return outcome, err
}

// Usage returns instructions with the keys, the addresses and sample commands.
func (f *Fleet) Usage() string {
	text := "\n"
	for _, k := range f.keys {
		text += fmt.Sprintf("key of %s: %s\n", k.Account, k.Secret)
	}
	for _, t := range f.routerAddrs {
		text += fmt.Sprintf("router %s: callers http://%s, operators http://%s\n", t.id, t.callers, t.internal)
	}
	text += fmt.Sprintf("log service: %s\n", f.logAddr)
	return text + f.loadCommand() + fmt.Sprintf("\nStream an answer:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true,\"temperature\":0,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n", f.routerAddrs[0].callers, f.FirstKey(), f.model.Name)
}

// loadCommand returns the command that replays the deployment's workload, or ""
// without a deployment. With fewer engines than the deployment has, its rate is
// reduced in proportion, as it would overload them.
func (f *Fleet) loadCommand() string {
	for _, dep := range workload.Deployments() {
		if dep.Name != f.cfg.Deployment {
			continue
		}
		share := min(1, float64(f.cfg.Engines)/float64(dep.Engines))
		line := fmt.Sprintf("\nLoad it:\n\n  kumquatsill load --deployment %s --rate %.1f --duration 30s --example-limits", dep.Name, dep.Traffic.Rate*share)
		for _, t := range f.routerAddrs {
			line += " --router " + t.callers
		}
		for _, k := range f.keys {
			line += fmt.Sprintf(" --key %s=%s", k.Account, k.Secret)
		}
		return line + "\n"
	}
	return ""
}

// OperatorAddrs returns the "ip:port" of each router's listener for operators.
func (f *Fleet) OperatorAddrs() []string {
	var addrs []string
	for _, t := range f.routerAddrs {
		addrs = append(addrs, t.internal)
	}
	return addrs
}

// CallerAddr returns the "ip:port" of the first router's listener for callers.
func (f *Fleet) CallerAddr() string { return f.routerAddrs[0].callers }

// LogAddr returns the "ip:port" of the log service.
func (f *Fleet) LogAddr() string { return f.logAddr }

// FirstKey returns the key of the first account.
func (f *Fleet) FirstKey() string { return f.keys[0].Secret }

// Keys returns the keys of all accounts.
func (f *Fleet) Keys() []Key { return f.keys }

// Failed returns a channel that is closed when a part of the fleet fails or the
// fleet is drained.
func (f *Fleet) Failed() <-chan struct{} { return f.t.Dying() }

// Err returns the error that ended the fleet.
func (f *Fleet) Err() error { return f.t.Err() }

// Drain stops the fleet once the requests in flight have ended.
func (f *Fleet) Drain() error {
	var err error
	for _, r := range f.routers {
		err = errors.Join(err, r.Drain())
	}
	for _, a := range f.agents {
		err = errors.Join(err, a.Drain())
	}
	f.t.Kill(nil)
	for i, server := range f.servers {
		err = errors.Join(err, server.Close())
		f.hosts[i].Close()
	}
	return errors.Join(err, f.t.Wait())
}
