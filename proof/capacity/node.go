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

// Sizes describes the fleet that surrounds the measured router.
type Sizes struct {
	Routers, Endpoints, Accounts, Models int
	// RequestRate is the number of requests per second to the measured router.
	RequestRate float64
}

// BaseSizes returns the fleet of which the measurements vary one size at a time.
func BaseSizes() Sizes {
	return Sizes{Routers: 40, Endpoints: 150, Accounts: 120, Models: 8, RequestRate: 5}
}

// TargetSizes returns the fleet at the target size.
func TargetSizes() Sizes {
	return Sizes{Routers: TargetRouters, Endpoints: TargetEndpoints, Accounts: TargetAccounts, Models: TargetModels, RequestRate: TargetRequestRate}
}

const (
	warmUpTime  = 25 * time.Second
	measureTime = 30 * time.Second
	// heartbeatPeers and heartbeatInterval set how many heartbeats the measured
	// router receives. They match maxHeartbeatPeers and the mean interval with
	// jitter in core/router.
	heartbeatPeers    = 16
	heartbeatInterval = 469 * time.Millisecond
	// renewalInterval is the time between two renewals of a lease, a third of
	// its time to live.
	renewalInterval = lease.DefaultTTL / 3
	// responseChunks is the number of chunks in each response of the simulated
	// agents.
	responseChunks = 8
)

// Traffic counts messages and their bytes, each message as one line of JSON.
// After perSecond both are rates.
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

// RouterCost is the traffic, per second of virtual time, and the resource use
// of one router. Saved results hold its fields under their Go names. Beats
// are heartbeats; Riding is the probes that are sent along with requests.
type RouterCost struct {
	Beats, Grants, Config, Audit, Intents, Riding, Other Traffic
	// Replies is the traffic of the bucket holders' replies to the router's
	// grant requests. It is attributed to the holders.
	Replies Traffic
	// ControlCPU and RequestCPU are per cent of one core.
	ControlCPU, RequestCPU float64
	HeapBytes              float64
	// Answered and Refused count the requests of the whole measurement.
	Answered, Refused int
}

// Control returns all traffic except that of requests and of the probes sent
// along with them. A message between two nodes is counted at its sender, a
// message between a node and the log at the node.
func (n RouterCost) Control() Traffic {
	return n.Beats.plus(n.Grants).plus(n.Config).plus(n.Audit).plus(n.Intents).plus(n.Other)
}

// meter wraps the measured router and records its processor time and traffic
// while it is enabled.
type meter struct {
	*router.Router
	enabled bool
	// lastWasRequest reports whether the last input belonged to a request, so
	// that Wake is attributed to the same work.
	lastWasRequest bool
	cost           RouterCost
	controlTime    time.Duration
	requestTime    time.Duration
}

func (m *meter) Step(now proto.Instant, in proto.Envelope) {
	isRequest := belongsToRequest(in.Msg)
	if m.enabled && !isRequest {
		m.countMessage(in, true)
	}
	start := time.Now()
	m.Router.Step(now, in)
	m.addCPUTime(isRequest, time.Since(start))
	m.lastWasRequest = isRequest
}

func (m *meter) Tick(now proto.Instant) {
	start := time.Now()
	m.Router.Tick(now)
	m.addCPUTime(false, time.Since(start))
	m.lastWasRequest = false
}

func (m *meter) Wake() proto.Instant {
	start := time.Now()
	at := m.Router.Wake()
	m.addCPUTime(m.lastWasRequest, time.Since(start))
	return at
}

func (m *meter) Take() []proto.Envelope {
	out := m.Router.Take()
	if !m.enabled {
		return out
	}
	for _, e := range out {
		if !belongsToRequest(e.Msg) || isProbe(e.Msg) {
			m.countMessage(e, false)
		}
	}
	return out
}

func (m *meter) addCPUTime(isRequest bool, d time.Duration) {
	switch {
	case !m.enabled:
	case isRequest:
		m.requestTime += d
	default:
		m.controlTime += d
	}
}

// countMessage adds the time to encode or decode a message, as the transport
// would, and its size. Sizes are counted for messages that the router sends or
// receives from the log; grant replies that it receives count as Replies.
func (m *meter) countMessage(e proto.Envelope, received bool) {
	line, err := proto.Encode(e)
	if err != nil {
		panic(err) // unreachable: every message of the fleet can be encoded
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
	m.addCPUTime(isProbe(e.Msg), time.Since(start))
	if _, isReply := e.Msg.(proto.GrantReply); received && isReply {
		m.cost.Replies.add(len(line))
	}
	if received && e.From != proto.Log {
		return
	}
	m.trafficOf(e.Msg).add(len(line))
}

func (m *meter) trafficOf(msg proto.Message) *Traffic {
	switch v := msg.(type) {
	case proto.PeerBeat, proto.PeerBeatReply:
		return &m.cost.Beats
	case proto.GrantRequest, proto.GrantReply, proto.TokenRequest, proto.TokenReply:
		return &m.cost.Grants
	case proto.Probe, proto.ProbeReply:
		return &m.cost.Riding
	case proto.LogAppend:
		return m.streamTraffic(v.Stream)
	case proto.LogAppended:
		return m.streamTraffic(v.Stream)
	case proto.LogRead:
		return m.streamTraffic(v.Stream)
	case proto.LogRecords:
		return m.streamTraffic(v.Stream)
	}
	return &m.cost.Other
}

func (m *meter) streamTraffic(name string) *Traffic {
	switch name {
	case proto.StreamConfig:
		return &m.cost.Config
	case proto.StreamAudit:
		return &m.cost.Audit
	}
	return &m.cost.Intents
}

func isProbe(msg proto.Message) bool {
	switch msg.(type) {
	case proto.Probe, proto.ProbeReply:
		return true
	}
	return false
}

// belongsToRequest reports whether a message is part of a caller's request or
// its response, or is a probe sent along with one.
func belongsToRequest(msg proto.Message) bool {
	switch msg.(type) {
	case proto.CallerRequest, proto.CallerChunk, proto.CallerFinish, proto.CallerRefusal, proto.CallerGone,
		proto.Dispatch, proto.Cancel, proto.Accepted, proto.Chunk, proto.Heartbeat, proto.Finish, proto.AttemptRefused,
		proto.Probe, proto.ProbeReply, proto.ConnLost:
		return true
	}
	return false
}

// simulatedFleet stands in for the rest of the fleet around the measured
// router: its peers, the lease holders, the agents and the callers.
type simulatedFleet struct {
	proto.Outbox
	sim          *drive.Sim
	meter        *meter
	sizes        Sizes
	holders      map[limit.Lease]*limit.Holder
	appendCalls  uint64
	recordCounts map[proto.RouterID]int
	cost         *RouterCost
}

func (a *simulatedFleet) Tick(proto.Instant)  {}
func (a *simulatedFleet) Wake() proto.Instant { return proto.Never }

func (a *simulatedFleet) Step(now proto.Instant, in proto.Envelope) {
	reply := func(m proto.Message) { a.Forward([]proto.Envelope{{From: in.To, To: in.From, Msg: m}}) }
	switch m := in.Msg.(type) {
	case proto.PeerBeat:
		reply(proto.PeerBeatReply{Beat: a.heartbeat(proto.RouterID(in.To.ID), m.Call)})
	case proto.GrantRequest:
		h := a.holders[limit.Lease{Group: limit.Group(m.Account), Part: m.Part}]
		h.Step(now, in)
		a.Forward(h.Take())
	case proto.Probe:
		reply(proto.ProbeReply{Stamp: m.Stamp, Request: m.Request, Report: a.report(in.To.ID, len(m.Blocks)/2)})
	case proto.Dispatch:
		a.respond(in, m)
	case proto.CallerFinish:
		a.cost.Answered++
	case proto.CallerRefusal:
		a.cost.Refused++
	}
}

func (a *simulatedFleet) respond(in proto.Envelope, d proto.Dispatch) {
	reply := func(m proto.Message) { a.Forward([]proto.Envelope{{From: in.To, To: in.From, Msg: m}}) }
	report := a.report(in.To.ID, len(d.Blocks))
	reply(proto.Accepted{Stamp: d.Stamp, Attempt: d.Attempt, Report: report})
	for seq := proto.Seq(1); seq <= responseChunks; seq++ {
		reply(proto.Chunk{Attempt: d.Attempt, Seq: seq, Text: "token "})
	}
	reply(proto.Finish{
		Stamp: d.Stamp, Attempt: d.Attempt, LastSeq: responseChunks, Report: report,
		Usage: proto.Usage{PromptTokens: d.PromptTokens, CompletionTokens: responseChunks},
	})
}

func (a *simulatedFleet) report(endpoint string, matched int) proto.Report {
	return proto.Report{
		Endpoint: proto.EndpointID(endpoint), Incarnation: "engine-life-1", AgentInstance: "agent-life-1", MatchedBlocks: matched,
		QueuedTokens: 4000, Running: 3, Versions: a.versions(endpoint),
	}
}

func (a *simulatedFleet) versions(endpoint string) map[string]string {
	var i int
	if _, err := fmt.Sscanf(endpoint, "engine-%d", &i); err != nil {
		panic(err) // unreachable: fleetNote names all endpoints engine-%d
	}
	return map[string]string{modelName(i % a.sizes.Models): "v1"}
}

func (a *simulatedFleet) heartbeat(self proto.RouterID, call uint64) proto.PeerBeat {
	return proto.PeerBeat{
		Stamp: a.meter.Snapshot().Stamp, Router: self, Domain: "domain-1", Call: call,
		LogReadAge: 123456789, LogReachable: true,
	}
}

// append appends a record of another router to the config stream.
func (a *simulatedFleet) append(from proto.RouterID, kind proto.RecordKind, body any) {
	a.appendCalls++
	a.sim.Inject(proto.Envelope{From: proto.RouterAddr(from), To: proto.Log, Msg: proto.LogAppend{
		Call: a.appendCalls, Stream: proto.StreamConfig, Records: []proto.Record{a.newRecord(from, kind, body)},
	}})
}

func (a *simulatedFleet) newRecord(from proto.RouterID, kind proto.RecordKind, body any) proto.Record {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // unreachable: every body in this package can be encoded
	}
	a.recordCounts[from]++
	return proto.Record{ID: proto.RecordID(fmt.Sprintf("%s.%d", from, a.recordCounts[from])), Kind: kind, Body: data}
}

func peerID(i int) proto.RouterID { return proto.RouterID(fmt.Sprintf("router-%03d-life", i)) }
func modelName(i int) string      { return fmt.Sprintf("model-%02d", i) }
func accountID(i int) proto.AccountID {
	return proto.AccountID(fmt.Sprintf("account-%d", i))
}
func keyHash(i int) proto.KeyHash { return proto.KeyHash(fmt.Sprintf("%064x", i+1)) }

// fleetNote returns the release note that configures a fleet of the given sizes.
func fleetNote(s Sizes) note.Note {
	var n note.Note
	for i := range s.Accounts {
		n.Added.Accounts = append(n.Added.Accounts, note.Account{ID: accountID(i), Rate: 100_000, Burst: 1_000_000})
		n.Added.Keys = append(n.Added.Keys, note.Key{Hash: keyHash(i), Account: accountID(i)})
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

// staticLease is a lease that is always held.
type staticLease struct{}

func (staticLease) Valid(proto.Instant) bool { return true }
func (staticLease) Fence() proto.Offset      { return 9_000_000 }

// MeasureRouter runs one router in a fleet of the given sizes and measures its
// cost. The rest of the fleet is simulated: heartbeats and their replies, lease
// renewals, grants and agents.
func MeasureRouter(s Sizes) (RouterCost, error) {
	a, err := startRouter(s)
	if err != nil {
		return RouterCost{}, err
	}
	m := a.meter
	a.startRequests()
	a.sim.Run(warmUpTime)
	m.cost.Answered, m.cost.Refused = 0, 0
	m.enabled = true
	a.sim.Run(measureTime)
	m.enabled = false
	n := m.result()
	n.HeapBytes = m.heapBytes(a.sim)
	return n, nil
}

// noteInterval is the time between two notes of MeasureNoteCPU.
const noteInterval = 100 * time.Millisecond

// MeasureNoteCPU returns the processor time in seconds that one router in a
// fleet of the target size spends on the given number of notes, in addition to
// its other work. Each note changes the rate of one account.
func MeasureNoteCPU(notes int) (float64, error) {
	a, err := startRouter(TargetSizes())
	if err != nil {
		return 0, err
	}
	m := a.meter
	period := time.Duration(notes) * noteInterval
	m.enabled = true
	a.sim.Run(period)
	idle := m.controlTime
	for i := range notes {
		a.sim.After(time.Duration(i)*noteInterval, func() {
			n := accountChange(proto.Revision(i+1), int64(100_001+i))
			a.append(peerID(0), configlog.KindReleaseNote, configlog.ReleaseNote{Note: n})
		})
	}
	a.sim.Run(period + time.Second)
	if got, want := m.Snapshot().Config.Revision, proto.Revision(notes+1); got != want {
		return 0, Error.New("revision %d is in force after %d notes, want %d", got, notes, want)
	}
	return max(0, (m.controlTime - 2*idle).Seconds()), nil
}

// startRouter starts the router and the simulated fleet and waits until the
// router is ready.
func startRouter(s Sizes) (*simulatedFleet, error) {
	w := drive.New(drive.Config{Seed: 1})
	service := logsvc.New(logsvc.Config{AppendsPerSecond: 1_000_000})
	m := &meter{}
	a := &simulatedFleet{sim: w, meter: m, sizes: s, holders: map[limit.Lease]*limit.Holder{}, recordCounts: map[proto.RouterID]int{}, cost: &m.cost}
	w.Add(proto.Log, service, 0)
	for _, role := range []proto.Role{proto.RoleRouter, proto.RoleAgent, proto.RoleCaller} {
		w.AddRoleHandler(role, a)
	}
	a.seed(service)
	a.startBucketHolders()
	m.Router = router.New(router.Config{ID: "router-under-test", Domain: "domain-0", Addr: "10.9.9.9:80", Incarnation: "router-under-test", Seed: 7})
	w.Add(proto.RouterAddr("router-under-test"), m, 0)
	a.startRenewals()
	a.startHeartbeats()
	w.Run(warmUpTime)
	if !m.Snapshot().Ready {
		return nil, Error.New("the router is not ready after %v", warmUpTime)
	}
	return a, nil
}

func (m *meter) result() RouterCost {
	n := m.cost
	for _, t := range []*Traffic{&n.Beats, &n.Grants, &n.Config, &n.Audit, &n.Intents, &n.Riding, &n.Other, &n.Replies} {
		*t = t.perSecond(measureTime)
	}
	n.ControlCPU = 100 * m.controlTime.Seconds() / measureTime.Seconds()
	n.RequestCPU = 100 * m.requestTime.Seconds() / measureTime.Seconds()
	return n
}

// heapBytes removes the router and returns by how much the heap shrinks.
func (m *meter) heapBytes(w *drive.Sim) float64 {
	with := liveHeapBytes()
	w.Crash(proto.RouterAddr("router-under-test"))
	m.Router = nil
	size := with - liveHeapBytes()
	runtime.KeepAlive(w)
	return size
}

// liveHeapBytes returns the heap in use after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
