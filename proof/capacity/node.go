package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// Sizes describe the fleet around the one router that is measured.
type Sizes struct {
	Routers, Endpoints, Accounts, Models int
	// RequestRate is requests per second through the measured router.
	RequestRate float64
}

// BaseSizes is the fleet from which one size at a time is changed.
func BaseSizes() Sizes {
	return Sizes{Routers: 40, Endpoints: 150, Accounts: 120, Models: 8, RequestRate: 5}
}

// TargetSizes is the fleet of the target size.
func TargetSizes() Sizes {
	return Sizes{Routers: TargetRouters, Endpoints: TargetEndpoints, Accounts: TargetAccounts, Models: TargetModels, RequestRate: TargetRequestRate}
}

const (
	nodeWarmUp  = 25 * time.Second
	nodeMeasure = 30 * time.Second
	// beatPeers and beatEvery repeat what core/router does, for the beats that
	// the measured router gets from others.
	beatPeers = 16
	beatEvery = 469 * time.Millisecond
	// renewEvery is a third of the time to live of a lease.
	renewEvery = lease.DefaultTTL / 3
	// streamChunks is the number of chunks of an answer of the agents.
	streamChunks = 8
)

// Traffic counts messages and their JSON bytes, one line each.
type Traffic struct{ Messages, Bytes float64 }

func (t *Traffic) add(n int) {
	t.Messages++
	t.Bytes += float64(n + 1)
}

func (t Traffic) perSecond(d time.Duration) Traffic {
	return Traffic{Messages: t.Messages / d.Seconds(), Bytes: t.Bytes / d.Seconds()}
}

func (t Traffic) framed() float64 { return t.Bytes + framingBytes*t.Messages }

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{Messages: t.Messages + o.Messages, Bytes: t.Bytes + o.Bytes}
}

// RouterCost is what one router did, per second of virtual time.
type RouterCost struct {
	Beats, Grants, Config, Audit, Intents, Riding, Other Traffic
	// Replies is the answers of holders to the node's grant requests. They
	// count at the holders.
	Replies Traffic
	// ControlCPU and RequestCPU are shares of a core in per cent.
	ControlCPU, RequestCPU float64
	HeapBytes              float64
	// Answered and Refused count requests of the whole measurement.
	Answered, Refused int
}

// Control is all traffic but that of requests and what rides on them. A
// message between two nodes counts at its sender, one between a node and the
// log at the node.
func (n RouterCost) Control() Traffic {
	return n.Beats.plus(n.Grants).plus(n.Config).plus(n.Audit).plus(n.Intents).plus(n.Other)
}

// meter wraps the measured router and counts its processor time and traffic.
type meter struct {
	*router.Router
	on bool
	// last is set while the last input belonged to a request.
	last    bool
	node    RouterCost
	control time.Duration
	request time.Duration
}

func (m *meter) Step(now proto.Instant, in proto.Envelope) {
	isRequest := carriesRequest(in.Msg)
	if m.on && !isRequest {
		m.count(in, true)
	}
	start := time.Now()
	m.Router.Step(now, in)
	m.spend(isRequest, time.Since(start))
	m.last = isRequest
}

func (m *meter) Tick(now proto.Instant) {
	start := time.Now()
	m.Router.Tick(now)
	m.spend(false, time.Since(start))
	m.last = false
}

func (m *meter) Wake() proto.Instant {
	start := time.Now()
	at := m.Router.Wake()
	m.spend(m.last, time.Since(start))
	return at
}

func (m *meter) Take() []proto.Envelope {
	out := m.Router.Take()
	if !m.on {
		return out
	}
	for _, e := range out {
		if !carriesRequest(e.Msg) || isProbe(e.Msg) {
			m.count(e, false)
		}
	}
	return out
}

func (m *meter) spend(isRequest bool, d time.Duration) {
	switch {
	case !m.on:
	case isRequest:
		m.request += d
	default:
		m.control += d
	}
}

// count encodes or decodes a message as the transport would, and books its bytes
// at the node: all that it sends, and what it receives from the log.
func (m *meter) count(e proto.Envelope, received bool) {
	line, err := proto.Encode(e)
	if err != nil {
		panic(err) // messages of the fleet always encode
	}
	start := time.Now()
	if received {
		_, err = proto.Decode(line)
	} else {
		_, err = proto.Encode(e)
	}
	if err != nil {
		panic(err)
	}
	m.spend(isProbe(e.Msg), time.Since(start))
	if _, isReply := e.Msg.(proto.GrantReply); received && isReply {
		m.node.Replies.add(len(line))
	}
	if received && e.From != proto.Log {
		return
	}
	m.kind(e.Msg).add(len(line))
}

func (m *meter) kind(msg proto.Message) *Traffic {
	switch v := msg.(type) {
	case proto.PeerBeat, proto.PeerBeatReply:
		return &m.node.Beats
	case proto.GrantRequest, proto.GrantReply, proto.TokenRequest, proto.TokenReply:
		return &m.node.Grants
	case proto.Probe, proto.ProbeReply:
		return &m.node.Riding
	case proto.LogAppend:
		return m.stream(v.Stream)
	case proto.LogAppended:
		return m.stream(v.Stream)
	case proto.LogRead:
		return m.stream(v.Stream)
	case proto.LogRecords:
		return m.stream(v.Stream)
	}
	return &m.node.Other
}

func (m *meter) stream(name string) *Traffic {
	switch name {
	case proto.StreamConfig:
		return &m.node.Config
	case proto.StreamAudit:
		return &m.node.Audit
	}
	return &m.node.Intents
}

func isProbe(msg proto.Message) bool {
	switch msg.(type) {
	case proto.Probe, proto.ProbeReply:
		return true
	}
	return false
}

// carriesRequest reports whether a message is part of a caller's request or
// answer or, as a probe, rides on one.
func carriesRequest(msg proto.Message) bool {
	switch msg.(type) {
	case proto.CallerRequest, proto.CallerChunk, proto.CallerFinish, proto.CallerRefusal, proto.CallerGone,
		proto.Dispatch, proto.Cancel, proto.Accepted, proto.Chunk, proto.Heartbeat, proto.Finish, proto.AttemptRefused,
		proto.Probe, proto.ProbeReply, proto.ConnLost:
		return true
	}
	return false
}

// around plays everything around the measured router.
type around struct {
	proto.Outbox
	world   *drive.Sim
	meter   *meter
	sizes   Sizes
	holders map[limit.Lease]*limit.Holder
	calls   uint64
	records map[proto.RouterID]int
	node    *RouterCost
}

func (a *around) Tick(proto.Instant)  {}
func (a *around) Wake() proto.Instant { return proto.Never }

func (a *around) Step(now proto.Instant, in proto.Envelope) {
	reply := func(m proto.Message) { a.Forward([]proto.Envelope{{From: in.To, To: in.From, Msg: m}}) }
	switch m := in.Msg.(type) {
	case proto.PeerBeat:
		reply(proto.PeerBeatReply{Beat: a.beat(proto.RouterID(in.To.ID), m.Call)})
	case proto.GrantRequest:
		h := a.holders[limit.Lease{Group: limit.Group(m.Account), Part: m.Part}]
		h.Step(now, in)
		a.Forward(h.Take())
	case proto.Probe:
		reply(proto.ProbeReply{Stamp: m.Stamp, Request: m.Request, Report: a.report(in.To.ID, len(m.Blocks)/2)})
	case proto.Dispatch:
		a.answer(in, m)
	case proto.CallerFinish:
		a.node.Answered++
	case proto.CallerRefusal:
		a.node.Refused++
	}
}

func (a *around) answer(in proto.Envelope, d proto.Dispatch) {
	reply := func(m proto.Message) { a.Forward([]proto.Envelope{{From: in.To, To: in.From, Msg: m}}) }
	report := a.report(in.To.ID, len(d.Blocks))
	reply(proto.Accepted{Stamp: d.Stamp, Attempt: d.Attempt, Report: report})
	for seq := proto.Seq(1); seq <= streamChunks; seq++ {
		reply(proto.Chunk{Attempt: d.Attempt, Seq: seq, Text: "token "})
	}
	reply(proto.Finish{
		Stamp: d.Stamp, Attempt: d.Attempt, LastSeq: streamChunks, Report: report,
		Usage: proto.Usage{PromptTokens: d.PromptTokens, CompletionTokens: streamChunks},
	})
}

func (a *around) report(endpoint string, matched int) proto.Report {
	return proto.Report{
		Endpoint: proto.EndpointID(endpoint), Incarnation: "engine-life-1", AgentInstance: "agent-life-1", MatchedBlocks: matched,
		QueuedTokens: 4000, Running: 3, Versions: a.versions(endpoint),
	}
}

func (a *around) versions(endpoint string) map[string]string {
	var i int
	if _, err := fmt.Sscanf(endpoint, "engine-%d", &i); err != nil {
		panic(err) // the note of this package names the endpoints
	}
	return map[string]string{modelName(i % a.sizes.Models): "v1"}
}

func (a *around) beat(self proto.RouterID, call uint64) proto.PeerBeat {
	return proto.PeerBeat{
		Stamp: a.meter.Snapshot().Stamp, Router: self, Domain: "domain-1", Call: call,
		LogReadAge: 123456789, LogReachable: true,
	}
}

// append sends records of another router to the config stream.
func (a *around) append(from proto.RouterID, kind proto.RecordKind, body any) {
	a.calls++
	a.world.Inject(proto.Envelope{From: proto.RouterAddr(from), To: proto.Log, Msg: proto.LogAppend{
		Call: a.calls, Stream: proto.StreamConfig, Records: []proto.Record{a.record(from, kind, body)},
	}})
}

func (a *around) record(from proto.RouterID, kind proto.RecordKind, body any) proto.Record {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies of this package always encode
	}
	a.records[from]++
	return proto.Record{ID: proto.RecordID(fmt.Sprintf("%s.%d", from, a.records[from])), Kind: kind, Body: data}
}

func peerID(i int) proto.RouterID { return proto.RouterID(fmt.Sprintf("router-%03d-life", i)) }
func modelName(i int) string      { return fmt.Sprintf("model-%02d", i) }
func accountID(i int) proto.AccountID {
	return proto.AccountID(fmt.Sprintf("account-%d", i))
}
func keyOf(i int) proto.KeyHash { return proto.KeyHash(fmt.Sprintf("%064x", i+1)) }

// fleetNote returns a note of the given size.
func fleetNote(s Sizes) note.Note {
	var n note.Note
	for i := range s.Accounts {
		n.Added.Accounts = append(n.Added.Accounts, note.Account{ID: accountID(i), Rate: 100_000, Burst: 1_000_000})
		n.Added.Keys = append(n.Added.Keys, note.Key{Hash: keyOf(i), Account: accountID(i)})
	}
	for i := range s.Models {
		n.Added.Models = append(n.Added.Models, note.Model{Name: modelName(i), Version: "v1"})
	}
	for i := range s.Endpoints {
		n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
			ID: proto.EndpointID(fmt.Sprintf("engine-%d", i)), Kind: note.KindEngine, Domain: proto.Domain(fmt.Sprintf("domain-%d", i%4)),
			Addr: fmt.Sprintf("10.1.%d.%d:8090", i/250, i%250+1), Models: []string{modelName(i % s.Models)},
		})
	}
	return n
}

// staticLease is a lease that is never lost.
type staticLease struct{}

func (staticLease) Valid(proto.Instant) bool { return true }
func (staticLease) Fence() proto.Offset      { return 9_000_000 }

// MeasureRouter runs one router in a fleet of the given size. The rest of the
// fleet is played: beats and their answers, lease renewals, grants, agents.
func MeasureRouter(s Sizes) (RouterCost, error) {
	a, err := startNode(s)
	if err != nil {
		return RouterCost{}, err
	}
	m := a.meter
	a.startRequests()
	a.world.Run(nodeWarmUp)
	m.node.Answered, m.node.Refused = 0, 0
	m.on = true
	a.world.Run(nodeMeasure)
	m.on = false
	n := m.result()
	n.HeapBytes = m.heapBytes(a.world)
	return n, nil
}

const noteEvery = 100 * time.Millisecond

// MeasureNoteCPU returns the processor time in seconds that one router of a
// fleet of the target size takes for a number of notes, beyond its other work.
// Each note changes the rate of one account.
func MeasureNoteCPU(notes int) (float64, error) {
	a, err := startNode(TargetSizes())
	if err != nil {
		return 0, err
	}
	m := a.meter
	period := time.Duration(notes) * noteEvery
	m.on = true
	a.world.Run(period)
	idle := m.control
	for i := range notes {
		a.world.After(time.Duration(i)*noteEvery, func() {
			n := changeOf(proto.Revision(i+1), int64(100_001+i))
			a.append(peerID(0), configlog.KindReleaseNote, configlog.ReleaseNote{Note: n})
		})
	}
	a.world.Run(period + time.Second)
	if got, want := m.Snapshot().Config.Revision, proto.Revision(notes+1); got != want {
		return 0, Error.New("revision %d is in force after %d notes, want %d", got, notes, want)
	}
	return max(0, (m.control - 2*idle).Seconds()), nil
}

// startNode runs the router until it is ready.
func startNode(s Sizes) (*around, error) {
	w := drive.New(drive.Config{Seed: 1})
	service := logsvc.New(logsvc.Config{AppendsPerSecond: 1_000_000})
	m := &meter{}
	a := &around{world: w, meter: m, sizes: s, holders: map[limit.Lease]*limit.Holder{}, records: map[proto.RouterID]int{}, node: &m.node}
	w.Add(proto.Log, service, 0)
	for _, role := range []proto.Role{proto.RoleRouter, proto.RoleAgent, proto.RoleCaller} {
		w.AddRoleHandler(role, a)
	}
	a.seed(service)
	a.startHolders()
	m.Router = router.New(router.Config{ID: "router-under-test", Domain: "domain-0", Addr: "10.9.9.9:80", Incarnation: "router-under-test", Seed: 7})
	w.Add(proto.RouterAddr("router-under-test"), m, 0)
	a.startRenewals()
	a.startBeats()
	w.Run(nodeWarmUp)
	if !m.Snapshot().Ready {
		return nil, Error.New("the router is not ready after %v", nodeWarmUp)
	}
	return a, nil
}

func (m *meter) result() RouterCost {
	n := m.node
	for _, t := range []*Traffic{&n.Beats, &n.Grants, &n.Config, &n.Audit, &n.Intents, &n.Riding, &n.Other, &n.Replies} {
		*t = t.perSecond(nodeMeasure)
	}
	n.ControlCPU = 100 * m.control.Seconds() / nodeMeasure.Seconds()
	n.RequestCPU = 100 * m.request.Seconds() / nodeMeasure.Seconds()
	return n
}

// heapBytes returns what the heap loses when the router is gone.
func (m *meter) heapBytes(w *drive.Sim) float64 {
	with := heap()
	w.Crash(proto.RouterAddr("router-under-test"))
	m.Router = nil
	size := with - heap()
	runtime.KeepAlive(w)
	return size
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
