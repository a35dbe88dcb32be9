package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/prefix"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// Units of the benchmark metrics, as go test prints them.
const (
	metricNanosPerOp = "ns/op"
	metricWireBytes  = "wire-bytes"
	metricHeapBytes  = "heap-bytes"
	// metricChangeBytes is the size of a note with a single change.
	metricChangeBytes = "change-bytes"
)

// Benchmark is a Go benchmark that runs at several sizes.
type Benchmark struct {
	Name     string
	SizeName string
	Sizes    []int
	Target   float64
	Role     Role
	// Mechanism names the code that the benchmark runs.
	Mechanism string
	// Metrics lists the metrics of the benchmark. Each makes one series.
	Metrics []Metric
	Run     func(b *testing.B, size int)
}

// Metric is a value that a benchmark reports. Name is its unit in the output of
// go test; Quantity and Unit describe the series.
type Metric struct{ Name, Quantity, Unit string }

func nanos(quantity string) Metric { return Metric{metricNanosPerOp, quantity, "ns"} }

// Benchmarks lists the Go benchmarks of the package.
func Benchmarks() []Benchmark {
	endpoints, accounts := []int{18, 150, 600}, []int{5, 120, 1200}
	return []Benchmark{
		{"choose", "endpoints", endpoints, TargetEndpoints, RoleRouter, "route.View.Choose", []Metric{nanos("routing decision")}, benchChoose},
		{"configure", "endpoints", endpoints, TargetEndpoints, RoleRouter, "route.View.Configure", []Metric{nanos("placement after an endpoint came or went")}, benchConfigure},
		{"note", "accounts", accounts, TargetAccounts, RoleOperators, "note.Parse", []Metric{nanos("parsing a whole note"), {metricWireBytes, "size of a whole note", "B"}, {metricChangeBytes, "size of a note of one change", "B"}}, benchNote},
		{"fold-note", "accounts", accounts, TargetAccounts, RoleRouter, "configlog.State.Apply", []Metric{nanos("folding a note of one change")}, benchApplyNote},
		{"checkpoint", "accounts", accounts, TargetAccounts, RoleLog, "configlog.State.Checkpoint", []Metric{nanos("encoding a checkpoint"), {metricWireBytes, "size of a checkpoint", "B"}}, benchCheckpoint},
		{"holder", "accounts", accounts, TargetAccounts, RoleBucket, "limit.Holder.Step with JSON in and out", []Metric{nanos("answering a grant request"), {metricHeapBytes, "heap of one lease's buckets", "B"}}, benchHolder},
		{"index", "blocks", []int{1000, 10_000, TargetCacheBlocks}, TargetCacheBlocks, RoleAgent, "prefix.Index.Events with JSON in", []Metric{nanos("applying a cache event"), {metricWireBytes, "size of a cache event", "B"}, {metricHeapBytes, "heap of the index", "B"}}, benchIndex},
		{"heartbeat", "models", []int{2, 8, 22}, TargetModels, RoleAgent, "proto.Report.Versions in proto.Heartbeat", []Metric{nanos("encoding a heartbeat"), {metricWireBytes, "size of a heartbeat", "B"}}, benchHeartbeat},
		{"audit", "entries", []int{100, 1000, 10_000}, 10_000, RoleOperators, "audit.Verify", []Metric{nanos("verifying a chain"), {metricWireBytes, "size of a chain", "B"}}, benchAudit},
	}
}

// RunBenchmarks runs every benchmark at every size as a sub-benchmark of b.
func RunBenchmarks(b *testing.B) {
	for _, bench := range Benchmarks() {
		for _, size := range bench.Sizes {
			b.Run(fmt.Sprintf("%s/%d", bench.Name, size), func(b *testing.B) { bench.Run(b, size) })
		}
	}
}

func buildConfig(s Sizes) *note.Config {
	state := configlog.NewState(nil)
	a := &simulatedFleet{sizes: s, recordCounts: map[proto.RouterID]int{}}
	rec := a.newRecord("writer", configlog.KindReleaseNote, configlog.ReleaseNote{Note: fleetNote(s)})
	state.Apply(rec)
	return state.Snapshot().Config
}

func benchChoose(b *testing.B, size int) {
	s := TargetSizes()
	// All endpoints serve the same model, so that each is a candidate.
	s.Endpoints, s.Models = size, 1
	v := route.NewView(route.ViewConfig{Seed: 1})
	v.Configure(0, buildConfig(s))
	queries := make([]route.Query, 1024)
	for i := range queries {
		q := &queries[i]
		q.Class, q.Model, q.PromptTokens = proto.ClassGenerate, modelName(0), 32_000
		for depth := range uint64(16) {
			q.Blocks = append(q.Blocks, proto.BlockHash(uint64(i%200)*1000+depth))
		}
		if c, cause := v.Choose(0, *q); cause == "" {
			v.Observe(0, proto.Report{Endpoint: c.Endpoint, Incarnation: "1", MatchedBlocks: 8}, q.Blocks)
		} else {
			b.Fatal(cause)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q := queries[i%len(queries)]
		c, cause := v.Choose(1, q)
		if cause != "" {
			b.Fatal(cause)
		}
		v.AttemptStarted(1, c.Endpoint, q)
		v.AttemptEnded(1, c.Endpoint, q)
	}
}

// benchConfigure alternately removes and adds one endpoint.
func benchConfigure(b *testing.B, size int) {
	s := TargetSizes()
	s.Endpoints, s.Models = size, min(s.Models, size)
	with := buildConfig(s)
	s.Endpoints--
	without := buildConfig(s)
	v := route.NewView(route.ViewConfig{Seed: 1})
	v.Configure(0, with)
	for i := 0; b.Loop(); i++ {
		if i%2 == 0 {
			v.Configure(0, without)
		} else {
			v.Configure(0, with)
		}
	}
}

func benchNote(b *testing.B, size int) {
	s := TargetSizes()
	s.Accounts = size
	rec := (&simulatedFleet{recordCounts: map[proto.RouterID]int{}}).newRecord("writer", configlog.KindReleaseNote, fleetNote(s))
	for b.Loop() {
		if _, err := note.Parse(rec.Body); err != nil {
			b.Fatal(err)
		}
	}
	change := (&simulatedFleet{recordCounts: map[proto.RouterID]int{}}).newRecord("writer", configlog.KindReleaseNote, accountChange(1300, 100_001))
	b.ReportMetric(float64(len(rec.Body)), metricWireBytes)
	b.ReportMetric(float64(len(change.Body)), metricChangeBytes)
}

func accountChange(revision proto.Revision, rate int64) note.Note {
	n := note.Note{BasedOn: revision}
	n.Changed.Accounts = []note.Account{{ID: accountID(1), Rate: rate, Burst: 2_000_000_000}}
	return n
}

// newState returns the config state of a fleet of the target size, but with the
// given number of accounts, after all its records are applied.
func newState(b *testing.B, accounts int) (*configlog.State, *simulatedFleet) {
	s := TargetSizes()
	s.Accounts = accounts
	a := &simulatedFleet{sizes: s, recordCounts: map[proto.RouterID]int{}}
	state := configlog.NewState(nil)
	a.applyRecord(b, state, "writer", configlog.KindReleaseNote, configlog.ReleaseNote{Note: fleetNote(s)})
	for i := range TargetRouters {
		a.applyRecord(b, state, peerID(i), configlog.KindRegistration, configlog.Registration{
			Router: peerID(i), Addr: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250+1), Domain: "domain-1", Slot: configlog.NoSlot,
		})
	}
	return state, a
}

func (a *simulatedFleet) applyRecord(b *testing.B, state *configlog.State, from proto.RouterID, kind proto.RecordKind, body any) {
	rec := a.newRecord(from, kind, body)
	rec.Offset = state.NextOffset()
	if res := state.Apply(rec); res.Outcome != configlog.Applied {
		b.Fatalf("%s: %s %s", kind, res.Outcome, res.Detail)
	}
}

func benchApplyNote(b *testing.B, size int) {
	state, a := newState(b, size)
	rate := int64(100_000)
	for b.Loop() {
		rate++
		a.applyRecord(b, state, "writer", configlog.KindReleaseNote, configlog.ReleaseNote{Note: accountChange(state.Snapshot().Revision, rate)})
	}
}

func benchCheckpoint(b *testing.B, size int) {
	state, _ := newState(b, size)
	bytes := 0
	for b.Loop() {
		parts, err := state.Checkpoint("writer")
		if err != nil {
			b.Fatal(err)
		}
		bytes = 0
		for _, p := range parts {
			bytes += len(p.Data)
		}
	}
	b.ReportMetric(float64(bytes), metricWireBytes)
}

func benchHolder(b *testing.B, size int) {
	before := liveHeapBytes()
	l := limit.Lease{Group: limit.Group(accountID(1)), Part: 0}
	h := limit.NewHolder("holder", l, staticLease{})
	accounts := map[proto.AccountID]note.Account{}
	for i := range size {
		if id := accountID(i); limit.Group(id) == l.Group {
			accounts[id] = note.Account{ID: id, Rate: 1_000_000_000, Burst: 1_000_000_000_000}
		}
	}
	h.SetAccounts(0, accounts)
	now := proto.Instant(0).Add(time.Minute)
	h.Tick(now)
	call := uint64(0)
	for b.Loop() {
		call++
		now = now.Add(20 * time.Millisecond)
		in := decodeEncoded(b, proto.Envelope{From: proto.RouterAddr(peerID(int(call % TargetRouters))), To: proto.RouterAddr("holder"), Msg: proto.GrantRequest{
			Account: accountID(1), Call: call, Need: 386, Want: 1000,
		}})
		h.Step(now, in)
		for _, out := range h.Take() {
			if _, err := proto.Encode(out); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(max(0, liveHeapBytes()-before), metricHeapBytes)
	if h.Counts().Granted == 0 {
		b.Fatal("the holder granted no tokens")
	}
}

// decodeEncoded encodes a message and decodes it again. Only the decoding is
// timed, since the sender pays for the encoding.
func decodeEncoded(b *testing.B, e proto.Envelope) proto.Envelope {
	b.StopTimer()
	line, err := proto.Encode(e)
	if err != nil {
		b.Fatal(err)
	}
	b.StartTimer()
	out, err := proto.Decode(line)
	if err != nil {
		b.Fatal(err)
	}
	return out
}

// eventsPerBatch is the number of cache events in one message at the target
// rate of 233 events/s, sent in 10 messages/s.
const eventsPerBatch = 24

func benchIndex(b *testing.B, size int) {
	before := liveHeapBytes()
	x := prefix.New("life")
	blocks := make([]proto.BlockHash, size)
	for i := range blocks {
		blocks[i] = blockHash(uint64(i))
	}
	x.List(proto.CacheList{Incarnation: "life", AsOf: 1, Blocks: blocks})
	blocks = nil
	seq, bytes := uint64(1), 0
	for b.Loop() {
		b.StopTimer()
		batch := proto.CacheEvents{Incarnation: "life"}
		for range eventsPerBatch {
			seq++
			batch.Events = append(batch.Events, proto.CacheEvent{
				Seq: seq, Added: []proto.BlockHash{blockHash(uint64(size) + seq)}, Evicted: []proto.BlockHash{blockHash(seq - 2)},
			})
		}
		line, err := proto.Encode(proto.Envelope{From: proto.EngineAddr("engine-1"), To: proto.AgentAddr("engine-1"), Msg: batch})
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(line)
		b.StartTimer()
		in, err := proto.Decode(line)
		if err != nil {
			b.Fatal(err)
		}
		x.Events(in.Msg.(proto.CacheEvents))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*eventsPerBatch), metricNanosPerOp)
	b.ReportMetric(float64(bytes)/eventsPerBatch, metricWireBytes)
	b.ReportMetric(max(0, liveHeapBytes()-before), metricHeapBytes)
	if x.NeedsList() {
		b.Fatal("the index needs a new cache list")
	}
}

// blockHash spreads consecutive numbers over all 64 bits, as hashes of real
// blocks are.
func blockHash(i uint64) proto.BlockHash { return proto.BlockHash((i + 1) * 0x9e3779b97f4a7c15) }

func benchHeartbeat(b *testing.B, size int) {
	versions := map[string]string{}
	for i := range size {
		versions[modelName(i)] = "v1"
	}
	e := proto.Envelope{From: proto.AgentAddr("engine-1"), To: proto.RouterAddr(peerID(1)), Msg: proto.Heartbeat{
		Stamp: proto.Stamp{Revision: 1300, ConfigOffset: 9_000_000}, Attempt: "request-under-test-000001#1", LastSeq: 120,
		Report: proto.Report{Endpoint: "engine-1", Incarnation: "engine-life-1", AgentInstance: "agent-life-1", QueuedTokens: 40_000, Running: 8, Queued: 3, MatchedBlocks: 12, Versions: versions},
	}}
	bytes := 0
	for b.Loop() {
		line, err := proto.Encode(e)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(line) + 1
	}
	b.ReportMetric(float64(bytes), metricWireBytes)
}

func benchAudit(b *testing.B, size int) {
	trail := audit.NewTrail("chain", "router")
	var batches []audit.Batch
	for i := range size {
		if err := trail.Add(auditRecord(i)); err != nil {
			b.Fatal(err)
		}
		if i%64 == 63 || i == size-1 {
			batch, ok := trail.Next()
			if !ok {
				b.Fatal("the audit trail has no batch")
			}
			trail.Confirm()
			batches = append(batches, batch)
		}
	}
	rec := (&simulatedFleet{recordCounts: map[proto.RouterID]int{}}).newRecord("router", audit.KindBatch, batches)
	for b.Loop() {
		if r := audit.Verify(batches, false); !r.OK() {
			b.Fatalf("%+v", r.Faults[0])
		}
	}
	b.ReportMetric(float64(len(rec.Body)), metricWireBytes)
}

func auditRecord(i int) proto.RequestEnded {
	id := proto.RequestID(fmt.Sprintf("request-under-test-%06d", i))
	return proto.RequestEnded{
		Request: id, Account: accountID(i % TargetAccounts), Class: proto.ClassGenerate, Path: "/v1/completions", Model: modelName(i % TargetModels),
		Version: "v1", Revision: 1300, Arrived: time.Unix(1_800_000_000+int64(i), 123456789).UTC(), RateReason: limit.ReasonAdmitted, Verdict: proto.Ran,
		Attempts: []proto.AttemptSummary{{Attempt: proto.NewAttemptID(id, 1), Endpoint: "engine-1"}},
		Usage:    proto.Usage{PromptTokens: 8100, CachedTokens: 6000, CompletionTokens: 286},
		Total:    3 * time.Second, FirstToken: 400 * time.Millisecond,
	}
}
