// Package dev runs a whole fleet with stand-ins in one process.
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
	// model and version are what the example note serves.
	model   = "assistant"
	version = "v1"
	// submitRetry is the pause before the note is submitted again.
	submitRetry  = 200 * time.Millisecond
	drainTimeout = time.Minute
)

// Config sets up a fleet for development.
type Config struct {
	// Listen is the "ip:port" of the first router for callers.
	Listen  string
	Routers int
	Engines int
	Seed    uint64
	// Deployment, if set, is one of example.Names. Its accounts, model, routes
	// and policy replace those of the plain example note.
	Deployment string
	Log        *slog.Logger
}

// Fleet is a fleet in one process. All of it listens on loopback only.
type Fleet struct {
	t       tomb.Tomb
	cfg     Config
	keys    []Key
	model   note.Model
	service string
	note    note.Note
	logAddr string
	store   *kv.Store
	book    *orders.RunCounter
	servers []*http.Server
	hosts   []*serve.Server
	agents  []*node.Agent
	routers []*node.Router
	targets []target
	// OnReady, if set, is called once every router has the note and the
	// account can spend.
	OnReady func()
}

// target is where an operator reaches a router.
type target struct {
	id       proto.RouterID
	internal string
	callers  string
}

// Key is the key of one client account.
type Key struct {
	Account proto.AccountID
	Secret  string
}

// New opens all listeners; Start starts the fleet.
func New(cfg Config) (*Fleet, error) {
	d := &Fleet{cfg: cfg, store: kv.New(kv.Config{Seed: cfg.Seed}), book: orders.NewRunCounter()}
	if err := d.prepareNote(); err != nil {
		return nil, err
	}
	var err error
	if d.logAddr, err = d.serve(logsvc.New(logsvc.Config{Seed: cfg.Seed})); err != nil {
		return nil, err
	}
	for i := range cfg.Engines {
		if err := d.addEngine(i); err != nil {
			return nil, err
		}
	}
	if err := d.addOrders(); err != nil {
		return nil, err
	}
	for i := range cfg.Routers {
		if err := d.addRouter(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// prepareNote makes the note without endpoints, and a key for each account.
func (d *Fleet) prepareNote() error {
	d.note = baseNote()
	if d.cfg.Deployment != "" {
		var ok bool
		if d.note, ok = example.Note(d.cfg.Deployment); !ok {
			return Error.New("unknown deployment %q, known are %v", d.cfg.Deployment, example.DeploymentNames)
		}
		d.note.Added.Endpoints = nil
		d.note.Added.Models[0].MinEndpoints = 0
	}
	d.model, d.service = d.note.Added.Models[0], d.note.Added.Routes[0].Service
	rng := rand.New(rand.NewPCG(d.cfg.Seed, 0x6b6579))
	for _, a := range d.note.Added.Accounts {
		key := Key{Account: a.ID, Secret: exampleKey(rng)}
		d.keys = append(d.keys, key)
		d.note.Added.Keys = append(d.note.Added.Keys, note.Key{Hash: note.HashKey(key.Secret), Account: a.ID})
	}
	return nil
}

// exampleKey is the same for a seed. It admits to a fleet on loopback only.
func exampleKey(rng *rand.Rand) string {
	raw := make([]byte, 0, 16)
	for range 2 {
		raw = fmt.Appendf(raw, "%08x", rng.Uint32())
	}
	return "ks-dev-" + hex.EncodeToString(raw)
}

func baseNote() note.Note {
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

// serve puts a stand-in on a loopback listener and returns its address.
func (d *Fleet) serve(m proto.Machine) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", Error.Wrap(err)
	}
	host := serve.New(m)
	server := &http.Server{Handler: host, ReadHeaderTimeout: time.Minute}
	d.hosts = append(d.hosts, host)
	d.servers = append(d.servers, server)
	d.t.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return listener.Addr().String(), nil
}

func domain(i int) proto.Domain { return proto.Domain(fmt.Sprintf("zone-%c", 'a'+i%3)) }

func (d *Fleet) addEngine(i int) error {
	id := proto.EndpointID(fmt.Sprintf("engine-%d", i+1))
	cfg := engine.Config{
		Endpoint: id, Seed: d.cfg.Seed + uint64(i), Versions: map[string]string{d.model.Name: d.model.Version},
	}
	for _, dep := range workload.Deployments() {
		if dep.Name == d.cfg.Deployment {
			cfg.CacheBlocks, cfg.BatchSize = dep.Engine.CacheBlocks, dep.Engine.BatchSize
			cfg.PrefillPerToken, cfg.DecodePerToken = dep.Engine.PrefillPerToken, dep.Engine.DecodePerToken
		}
	}
	e := engine.New(cfg)
	return d.addAgent(e, note.Endpoint{ID: id, Kind: note.KindEngine, Domain: domain(i), Models: []string{d.model.Name}})
}

func (d *Fleet) addOrders() error {
	id := proto.EndpointID(d.service + "-1")
	s := orders.New(orders.Config{Endpoint: id, Seed: d.cfg.Seed, RunCounter: d.book})
	return d.addAgent(s, note.Endpoint{ID: id, Kind: note.KindService, Domain: domain(0), Service: d.service})
}

func (d *Fleet) addAgent(m proto.Machine, e note.Endpoint) error {
	addr, err := d.serve(m)
	if err != nil {
		return err
	}
	cfg := node.AgentConfig{Endpoint: e.ID, EngineAddr: addr, DrainTimeout: drainTimeout, Log: d.cfg.Log}
	if cfg.Internal, err = node.Listen(loopback, transport.TLSFiles{}); err != nil {
		return err
	}
	cfg.InitMachine(e.ChecksFence)
	a, err := node.NewAgent(cfg)
	if err != nil {
		return err
	}
	e.Addr = cfg.Internal.Addr().String()
	d.note.Added.Endpoints = append(d.note.Added.Endpoints, e)
	d.agents = append(d.agents, a)
	return nil
}

func (d *Fleet) addRouter(i int) error {
	listen := loopback
	if i == 0 {
		listen = d.cfg.Listen
	}
	cfg := node.RouterConfig{LogAddr: d.logAddr, Limits: api.DefaultLimits(), DrainTimeout: drainTimeout, Log: d.cfg.Log}
	var err error
	if cfg.Callers, err = node.Listen(listen, transport.TLSFiles{}); err != nil {
		return err
	}
	if cfg.Internal, err = node.Listen(loopback, transport.TLSFiles{}); err != nil {
		return err
	}
	cfg.InitMachine(fmt.Sprintf("router-%d", i+1), domain(i), node.LogRetention{})
	r, err := node.NewRouter(cfg)
	if err != nil {
		return err
	}
	d.routers = append(d.routers, r)
	d.targets = append(d.targets, target{id: cfg.ID, internal: cfg.Internal.Addr().String(), callers: cfg.Callers.Addr().String()})
	return nil
}

// Start starts the fleet and submits the example note.
func (d *Fleet) Start() {
	for _, a := range d.agents {
		a.Start()
	}
	for _, r := range d.routers {
		r.Start()
	}
	d.t.Go(d.setUp)
}

// StartAndWait starts the fleet and waits until OnReady would be called. It fails
// if the fleet fails or is not ready within the limit.
func (d *Fleet) StartAndWait(limit time.Duration) error {
	ready := make(chan struct{})
	d.OnReady = func() { close(ready) }
	d.Start()
	select {
	case <-ready:
		return nil
	case <-d.Failed():
		return d.Err()
	case <-time.After(limit):
		return Error.New("the fleet is not ready after %v", limit)
	}
}

// setUp submits the note until a router has accepted it, then waits for all.
func (d *Fleet) setUp() error {
	client := transport.NewClient(nil)
	defer client.Close()
	for {
		outcome, err := Submit(d.t.Context(context.Background()), client, d.targets[0].id, d.targets[0].internal, "dev-note", d.note)
		switch {
		case err == nil && outcome.Status == proto.NoteAccepted:
			return d.waitReady()
		case err == nil && outcome.Status != proto.NoteUnknown:
			return Error.New("the example note was %s: %s %v", outcome.Status, outcome.Detail, outcome.Problems)
		}
		select {
		case <-time.After(submitRetry):
		case <-d.t.Dying():
			return nil
		}
	}
}

func (d *Fleet) waitReady() error {
	for _, r := range d.routers {
		for r.Revision() == 0 || !r.Ready() || !r.Funded() {
			select {
			case <-time.After(submitRetry):
			case <-d.t.Dying():
				return nil
			}
		}
	}
	if d.OnReady != nil {
		d.OnReady()
	}
	return nil
}

// Submit sends a release note to a router and returns its fate.
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

// Usage tells how to use the fleet.
func (d *Fleet) Usage() string {
	text := "\n"
	for _, k := range d.keys {
		text += fmt.Sprintf("key of %s: %s\n", k.Account, k.Secret)
	}
	for _, t := range d.targets {
		text += fmt.Sprintf("router %s: callers http://%s, operators http://%s\n", t.id, t.callers, t.internal)
	}
	text += fmt.Sprintf("log service: %s\n", d.logAddr)
	return text + d.loadLine() + fmt.Sprintf("\nStream an answer:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true,\"temperature\":0,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n", d.targets[0].callers, d.FirstKey(), d.model.Name)
}

// loadLine is the command that loads a fleet with the note of a deployment. The
// rate falls with the engines, as the deployment's own would overload fewer.
func (d *Fleet) loadLine() string {
	for _, dep := range workload.Deployments() {
		if dep.Name != d.cfg.Deployment {
			continue
		}
		share := min(1, float64(d.cfg.Engines)/float64(dep.Engines))
		line := fmt.Sprintf("\nLoad it:\n\n  kumquatsill load --deployment %s --rate %.1f --duration 30s --example-limits", dep.Name, dep.Traffic.Rate*share)
		for _, t := range d.targets {
			line += " --router " + t.callers
		}
		for _, k := range d.keys {
			line += fmt.Sprintf(" --key %s=%s", k.Account, k.Secret)
		}
		return line + "\n"
	}
	return ""
}

// OperatorAddrs returns the "ip:port" of each router's listener for operators.
func (d *Fleet) OperatorAddrs() []string {
	var addrs []string
	for _, t := range d.targets {
		addrs = append(addrs, t.internal)
	}
	return addrs
}

// CallerAddr returns the "ip:port" of the first router's listener for callers.
func (d *Fleet) CallerAddr() string { return d.targets[0].callers }

// LogAddr returns the "ip:port" of the log service.
func (d *Fleet) LogAddr() string { return d.logAddr }

// FirstKey returns the key of the first account.
func (d *Fleet) FirstKey() string { return d.keys[0].Secret }

// Keys returns the keys of all accounts.
func (d *Fleet) Keys() []Key { return d.keys }

// Failed is closed when a part has ended by itself.
func (d *Fleet) Failed() <-chan struct{} { return d.t.Dying() }

// Err returns why.
func (d *Fleet) Err() error { return d.t.Err() }

// Drain ends the fleet after the requests in flight.
func (d *Fleet) Drain() error {
	var err error
	for _, r := range d.routers {
		err = errors.Join(err, r.Drain())
	}
	for _, a := range d.agents {
		err = errors.Join(err, a.Drain())
	}
	d.t.Kill(nil)
	for i, server := range d.servers {
		err = errors.Join(err, server.Close())
		d.hosts[i].Close()
	}
	return errors.Join(err, d.t.Wait())
}
