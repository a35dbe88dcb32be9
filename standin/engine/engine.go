// Package engine simulates a model engine for tests and development.
package engine

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
	"github.com/kumquatsill/kumquatsill/standin/kv"
	"github.com/kumquatsill/kumquatsill/standin/weights"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 2048

const (
	defaultMaxTokens = 16
	// maxRetainedStreams bounds the streams, running or ended, that can be resumed.
	maxRetainedStreams = 256
)

// BlockSource is another engine or a KV store from which cached blocks can be imported.
type BlockSource interface {
	// Import returns the number of leading blocks that the source can provide.
	Import(blocks []proto.BlockHash) int
}

// Config holds the settings of one engine. New replaces zero durations and sizes with defaults.
type Config struct {
	Endpoint proto.EndpointID
	Seed     uint64
	Faults   faultqueue.Faults
	// BatchSize is the maximum number of runs decoded concurrently.
	BatchSize int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// PrefillPerToken is the prefill time of each prompt token that is neither
	// cached nor imported. DecodePerToken is the time between two tokens of a run.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ImportPerBlock is the time to import one block from another engine or the KV store.
	ImportPerBlock time.Duration
	Versions       map[string]string
	Adapters       []string
	// ChecksFence is set for engines that reject orders with an outdated fencing token.
	ChecksFence bool
	// EventDelay delays cache events. EventLossRate is the fraction of them that is
	// lost, from 0 to 1.
	EventDelay    time.Duration
	EventLossRate float64
	// LoadReportDelay is the age of a load report on arrival; LoadReportInterval is
	// the time between two reports.
	LoadReportDelay    time.Duration
	LoadReportInterval time.Duration
	// RestartAfter is the time from a crash to the restart with an empty cache. If it
	// is negative, the engine stays down.
	RestartAfter time.Duration
	// CrashOn, if not empty, crashes the engine when a request body that contains it
	// is about to yield its first token.
	CrashOn string
	// Weights limits the rate of weight loads. If it is nil, the engine gets a store
	// of its own.
	Weights *weights.Store
	// Store receives exported blocks and serves imports. Peers returns the engine of
	// an endpoint to import from. Both may be nil.
	Store *kv.Store
	Peers func(proto.EndpointID) BlockSource
}

// Counts holds totals over all incarnations of an engine.
type Counts struct {
	Runs            int
	PrefilledTokens int64
	CachedTokens    int64
	Crashes         int
	// StaleOrders counts orders with a lower fencing token than an earlier order.
	StaleOrders int
}

// run is one generation, queued or running.
type run struct {
	from    proto.Addr
	msg     proto.EngineRun
	arrived uint64
	// next is the time at which the next token is due.
	next         proto.Instant
	seq          proto.Seq
	last         proto.Seq
	cached       int64
	blocksCached bool
	prompt       []byte
	tokens       []string
}

// order is a load or unload order that takes effect at the time at.
type order struct {
	from proto.Addr
	msg  proto.Order
	at   proto.Instant
}

// instance is the state of one incarnation, which a crash discards.
type instance struct {
	incarnation   proto.Incarnation
	cache         *kv.LRU
	waiting       []*run
	running       []*run
	prefillFreeAt proto.Instant
	eventSeq      uint64
	orders        []order
	streams       map[string]*run
	streamOrder   []string
}

// Engine simulates one model engine. It implements proto.Machine.
type Engine struct {
	cfg       Config
	out       *faultqueue.Queue
	now       proto.Instant
	starts    int
	instance  *instance
	restartAt proto.Instant
	nextLoad  proto.Instant
	arrivals  uint64
	versions  map[string]string
	adapters  []string
	fence     proto.Offset
	agent     proto.Addr
	// Counts may be read between steps.
	Counts Counts
}

// New returns an engine that starts, and announces itself to its agent, on the first tick.
func New(cfg Config) *Engine {
	setDefault(&cfg.BatchSize, 16)
	setDefault(&cfg.CacheBlocks, 512)
	setDefault(&cfg.PrefillPerToken, 50*time.Microsecond)
	setDefault(&cfg.DecodePerToken, 20*time.Millisecond)
	setDefault(&cfg.ImportPerBlock, 5*time.Millisecond)
	setDefault(&cfg.EventDelay, 50*time.Millisecond)
	setDefault(&cfg.LoadReportDelay, 500*time.Millisecond)
	setDefault(&cfg.LoadReportInterval, time.Second)
	setDefault(&cfg.RestartAfter, time.Second)
	if cfg.Weights == nil {
		cfg.Weights = weights.New(weights.Config{})
	}
	e := &Engine{
		cfg:      cfg,
		out:      faultqueue.New(proto.EngineAddr(cfg.Endpoint), cfg.Seed, cfg.Faults),
		versions: map[string]string{},
		agent:    proto.AgentAddr(cfg.Endpoint),
	}
	for model, version := range cfg.Versions {
		e.versions[model] = version
	}
	e.adapters = slices.Clone(cfg.Adapters)
	return e
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Queue returns the send queue, which injects the faults of messages.
func (e *Engine) Queue() *faultqueue.Queue { return e.out }

// Incarnation returns the current incarnation, or "" while the engine is down.
func (e *Engine) Incarnation() proto.Incarnation {
	if e.instance == nil {
		return ""
	}
	return e.instance.incarnation
}

// CachedBlocks returns the blocks in the prefix cache, most recently used first.
func (e *Engine) CachedBlocks() []proto.BlockHash {
	if e.instance == nil {
		return nil
	}
	return e.instance.cache.All()
}

// Held returns the number of leading blocks in the prefix cache, without marking them as used.
func (e *Engine) Held(blocks []proto.BlockHash) int {
	if e.instance == nil {
		return 0
	}
	return e.instance.cache.PeekPrefix(blocks)
}

// Import implements BlockSource.
func (e *Engine) Import(blocks []proto.BlockHash) int { return e.Held(blocks) }

// Versions returns the loaded version of each model.
func (e *Engine) Versions() map[string]string { return e.copyVersions() }

// Crash ends the current incarnation. Runs in flight fail and the cache is lost.
func (e *Engine) Crash(now proto.Instant) {
	e.now = max(e.now, now)
	if e.instance == nil {
		return
	}
	crashed := e.instance
	e.instance = nil
	e.Counts.Crashes++
	e.out.Clear()
	for _, r := range slices.Concat(crashed.running, crashed.waiting) {
		e.out.Send(e.now, r.from, proto.EngineFailed{
			Attempt: r.msg.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.MayHaveRun, Crashed: true,
		})
	}
	e.out.Send(e.now, e.agent, proto.EngineDown{Incarnation: crashed.incarnation})
	e.restartAt = proto.Never
	if e.cfg.RestartAfter >= 0 {
		e.restartAt = e.now.Add(e.cfg.RestartAfter)
	}
}

// start begins a new incarnation and announces it to the agent.
func (e *Engine) start() {
	e.starts++
	e.instance = &instance{
		incarnation: proto.Incarnation(string(e.cfg.Endpoint) + "-life" + itoa(e.starts)),
		cache:       kv.NewLRU(e.cfg.CacheBlocks),
		streams:     map[string]*run{},
	}
	e.nextLoad = e.now
	e.announce()
}

func (e *Engine) announce() {
	e.out.Send(e.now, e.agent, proto.EngineUp{
		Incarnation: e.instance.incarnation,
		Versions:    e.copyVersions(),
		Adapters:    slices.Clone(e.adapters),
		BatchSize:   e.cfg.BatchSize,
	})
}

func (e *Engine) copyVersions() map[string]string {
	out := map[string]string{}
	for model, version := range e.versions {
		out[model] = version
	}
	return out
}

// Step implements proto.Machine.
func (e *Engine) Step(now proto.Instant, in proto.Envelope) {
	e.Tick(now)
	if e.instance == nil {
		return
	}
	switch m := in.Msg.(type) {
	case proto.EngineRun:
		e.enqueue(in.From, m)
	case proto.EngineCancel:
		e.cancel(m.Attempt)
	case proto.CacheListRequest:
		e.announce()
		e.out.Send(e.now, e.agent, proto.CacheList{
			Incarnation: e.instance.incarnation, AsOf: e.instance.eventSeq, Blocks: e.instance.cache.All(),
		})
	case proto.EngineOrder:
		e.order(in.From, m.Order)
	}
	e.advance()
}

// reject tells the sender of a run that the run was refused and had no effect.
func (e *Engine) reject(to proto.Addr, a proto.AttemptID, cause proto.Cause) {
	e.out.Send(e.now, to, proto.EngineFailed{Attempt: a, Cause: cause, Verdict: proto.NotRun})
}

// enqueue validates a run and queues it by priority.
func (e *Engine) enqueue(from proto.Addr, m proto.EngineRun) {
	version, loaded := e.versions[m.Model]
	r := &run{from: from, msg: m, last: proto.Seq(m.MaxTokens), seq: m.ResumeAfter, prompt: Prompt(m.Body)}
	if m.MaxTokens <= 0 {
		r.last = defaultMaxTokens
	}
	retained := e.instance.streams[m.StreamID]
	switch {
	case e.out.ShouldRefuse():
		e.reject(from, m.Attempt, proto.CauseEndpointFailed)
		return
	case !loaded:
		e.reject(from, m.Attempt, proto.CauseUnknownModel)
		return
	case m.Version != "" && m.Version != version:
		e.reject(from, m.Attempt, proto.CauseWrongVersion)
		return
	case m.Adapter != "" && !slices.Contains(e.adapters, m.Adapter):
		e.reject(from, m.Attempt, proto.CauseUnknownModel)
		return
	case m.ResumeAfter > 0 && !m.Sampling.Reproducible() && retained == nil:
		e.reject(from, m.Attempt, proto.CauseNotResumable)
		return
	}
	if retained != nil && m.ResumeAfter > 0 {
		r.tokens = retained.tokens
	}
	r.msg.Version = version
	e.arrivals++
	r.arrived = e.arrivals
	e.instance.waiting = append(e.instance.waiting, r)
	slices.SortStableFunc(e.instance.waiting, func(a, b *run) int { return b.msg.Priority - a.msg.Priority })
	e.retainStream(r)
}

// retainStream remembers a stream so that it can be resumed, and forgets the oldest
// stream beyond maxRetainedStreams.
func (e *Engine) retainStream(r *run) {
	id := r.msg.StreamID
	if id == "" {
		return
	}
	if _, known := e.instance.streams[id]; !known {
		e.instance.streamOrder = append(e.instance.streamOrder, id)
	}
	e.instance.streams[id] = r
	if len(e.instance.streamOrder) > maxRetainedStreams {
		delete(e.instance.streams, e.instance.streamOrder[0])
		e.instance.streamOrder = e.instance.streamOrder[1:]
	}
}

// cancel removes a run without a response.
func (e *Engine) cancel(a proto.AttemptID) {
	matches := func(r *run) bool { return r.msg.Attempt == a }
	e.instance.waiting = slices.DeleteFunc(e.instance.waiting, matches)
	e.instance.running = slices.DeleteFunc(e.instance.running, matches)
}

// Tick implements proto.Machine.
func (e *Engine) Tick(now proto.Instant) {
	e.now = max(e.now, now)
	if e.instance == nil && !e.now.Before(e.restartAt) {
		e.start()
	}
	if e.instance != nil {
		e.advance()
		e.finishOrders()
		e.reportLoad()
	}
}

// advance runs the batch scheduler up to the current time.
func (e *Engine) advance() {
	if e.instance == nil {
		return
	}
	for {
		e.admit()
		if !e.decode() || e.instance == nil {
			return
		}
	}
}

// admit moves queued runs into free slots of the batch.
func (e *Engine) admit() {
	for len(e.instance.running) < e.cfg.BatchSize && len(e.instance.waiting) > 0 {
		r := e.instance.waiting[0]
		e.instance.waiting = e.instance.waiting[1:]
		e.prefill(r)
		e.instance.running = append(e.instance.running, r)
	}
}

// prefill schedules the prefill of a run. Only the prompt tokens that are neither
// cached nor importable cost PrefillPerToken.
func (e *Engine) prefill(r *run) {
	blocks := r.msg.Blocks
	hit := min(e.instance.cache.MatchPrefix(blocks), max(0, r.msg.ReusableBlocks))
	imported := max(0, e.importable(r.msg)-hit)
	r.cached = min(int64(hit)*BlockTokens, r.msg.PromptTokens)
	missed := max(0, r.msg.PromptTokens-int64(hit+imported)*BlockTokens)
	start := max(e.now, e.instance.prefillFreeAt)
	cost := time.Duration(missed)*e.cfg.PrefillPerToken + time.Duration(imported)*e.cfg.ImportPerBlock
	e.instance.prefillFreeAt = start.Add(cost)
	r.next = e.instance.prefillFreeAt.Add(e.cfg.DecodePerToken)
	e.Counts.Runs++
	e.Counts.PrefilledTokens += missed
	e.Counts.CachedTokens += r.cached
}

// importable returns the number of leading blocks that the import source of a run provides.
func (e *Engine) importable(m proto.EngineRun) int {
	if m.Import == nil {
		return 0
	}
	var source BlockSource
	switch {
	case m.Import.Endpoint != "" && e.cfg.Peers != nil:
		source = e.cfg.Peers(m.Import.Endpoint)
	case m.Import.Endpoint == "" && e.cfg.Store != nil:
		source = e.cfg.Store
	}
	if source == nil {
		return 0
	}
	return source.Import(m.Blocks[:min(len(m.Blocks), m.Import.Blocks)])
}

// decode emits all tokens that are due. It reports whether a run ended.
func (e *Engine) decode() bool {
	ended := false
	for _, r := range slices.Clone(e.instance.running) {
		for !e.now.Before(r.next) && r.seq < r.last {
			if e.triggersCrash(r) {
				e.Crash(e.now)
				return false
			}
			e.emitToken(r)
		}
		if r.seq >= r.last {
			e.finish(r)
			ended = true
		}
	}
	return ended
}

func (e *Engine) triggersCrash(r *run) bool {
	return e.cfg.CrashOn != "" && containsText(r.msg.Body, e.cfg.CrashOn)
}

func (e *Engine) emitToken(r *run) {
	e.cacheBlocks(r)
	r.seq++
	text := e.token(r, r.seq)
	r.next = r.next.Add(e.cfg.DecodePerToken)
	e.out.Send(e.now, r.from, proto.EngineToken{Attempt: r.msg.Attempt, Seq: r.seq, Text: text})
}

// token returns the text at one output position. A resume of the same stream gets
// the same text.
func (e *Engine) token(r *run, seq proto.Seq) string {
	if r.msg.Sampling.Reproducible() {
		return Token(r.prompt, r.msg.Version, r.msg.Adapter, r.msg.Sampling, seq)
	}
	for proto.Seq(len(r.tokens)) < seq {
		r.tokens = append(r.tokens, word(e.out.Rand().Uint64()))
	}
	return r.tokens[seq-1]
}

// cacheBlocks adds the prompt blocks of a run to the cache, once a run, and reports
// the change to the agent.
func (e *Engine) cacheBlocks(r *run) {
	if r.blocksCached {
		return
	}
	r.blocksCached = true
	added, evicted := e.instance.cache.Add(r.msg.Blocks)
	if e.cfg.Store != nil {
		e.cfg.Store.Export(r.msg.Blocks)
	}
	if len(added)+len(evicted) == 0 {
		return
	}
	e.instance.eventSeq++
	if e.out.Chance(e.cfg.EventLossRate) {
		return
	}
	event := proto.CacheEvent{Seq: e.instance.eventSeq, Added: added, Evicted: evicted}
	batch := proto.CacheEvents{Incarnation: e.instance.incarnation, Events: []proto.CacheEvent{event}}
	e.out.SendAfter(e.now, e.cfg.EventDelay, e.agent, batch)
}

// finish removes a run from the batch and reports its end and usage.
func (e *Engine) finish(r *run) {
	e.instance.running = slices.DeleteFunc(e.instance.running, func(other *run) bool { return other == r })
	if e.out.NoResponse() {
		return
	}
	e.out.Send(e.now, r.from, proto.EngineDone{
		Attempt: r.msg.Attempt,
		LastSeq: r.last,
		Usage: proto.Usage{
			PromptTokens: r.msg.PromptTokens, CachedTokens: r.cached, CompletionTokens: int64(r.last),
		},
	})
}

// Wake implements proto.Machine.
func (e *Engine) Wake() proto.Instant {
	if e.instance == nil {
		return min(e.restartAt, e.out.Wake())
	}
	wake := min(e.nextLoad, e.out.Wake())
	for _, r := range e.instance.running {
		wake = min(wake, r.next)
	}
	for _, o := range e.instance.orders {
		wake = min(wake, o.at)
	}
	return wake
}

// Take implements proto.Machine.
func (e *Engine) Take() []proto.Envelope { return e.out.TakeDue(e.now) }
