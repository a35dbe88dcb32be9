// Package engine is a stand-in of a model engine.
package engine

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
	"github.com/kumquatsill/kumquatsill/standin/kv"
	"github.com/kumquatsill/kumquatsill/standin/weights"
)

// BlockTokens is the number of tokens of a cached block.
const BlockTokens = 2048

const (
	defaultMaxTokens = 16
	// keptStreams bounds the finished or broken streams that can be resumed.
	keptStreams = 256
)

// BlockSource is a place that cached blocks can be imported from.
type BlockSource interface {
	// Import returns how many leading blocks can be taken over.
	Import(blocks []proto.BlockHash) int
}

// Config sets up one engine. Zero durations and sizes take the defaults of New.
type Config struct {
	Endpoint proto.EndpointID
	Seed     uint64
	Faults   faultqueue.Faults
	// BatchSize is the number of runs decoded together.
	BatchSize int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// PrefillPerToken is the cost of each prompt token that the cache misses,
	// DecodePerToken the time between two tokens of a run.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ImportPerBlock is the cost of each block taken over from a peer.
	ImportPerBlock time.Duration
	Versions       map[string]string
	Adapters       []string
	// ChecksFence is set for engines that refuse orders with an old fencing number.
	ChecksFence bool
	// EventDelay delays cache events; EventLoss is the share that is lost.
	EventDelay    time.Duration
	EventLossRate float64
	// LoadReportDelay is the age of load reports, LoadEvery the time between them.
	LoadReportDelay    time.Duration
	LoadReportInterval time.Duration
	// RestartAfter is the time from a crash to the empty return; Never if negative.
	RestartAfter time.Duration
	// CrashOn makes a prompt that contains it crash the engine during prefill.
	CrashOn string
	// Weights limits loads; nil means an own store.
	Weights *weights.Store
	// Store receives exported blocks; Peers finds where to import from. Both may be nil.
	Store *kv.Store
	Peers func(proto.EndpointID) BlockSource
}

// Counts holds totals since the engine was built, over all incarnations.
type Counts struct {
	Runs            int
	PrefilledTokens int64
	CachedTokens    int64
	Crashes         int
	// StaleOrders counts orders that carried an older fencing number than one before.
	StaleOrders int
}

type run struct {
	from    proto.Addr
	msg     proto.EngineRun
	arrived uint64
	// prefilled is when the first token may be decoded; next is when the next one is due.
	next   proto.Instant
	seq    proto.Seq
	last   proto.Seq
	cached int64
	stored bool
	prompt []byte
	tokens []string
}

type order struct {
	from proto.Addr
	msg  proto.Order
	at   proto.Instant
}

type life struct {
	incarnation proto.Incarnation
	cache       *kv.LRU
	waiting     []*run
	running     []*run
	prefillFree proto.Instant
	eventSeq    uint64
	orders      []order
	streams     map[string]*run
	streamOrder []string
}

// Engine is a model engine. It implements proto.Machine.
type Engine struct {
	cfg      Config
	out      *faultqueue.Queue
	now      proto.Instant
	lives    int
	life     *life
	back     proto.Instant
	nextLoad proto.Instant
	arrivals uint64
	versions map[string]string
	adapters []string
	fence    proto.Offset
	agent    proto.Addr
	// Counts may be read between steps.
	Counts Counts
}

// New returns an engine that announces itself to its agent on the first tick.
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

// Queue gives access to the faults of messages.
func (e *Engine) Queue() *faultqueue.Queue { return e.out }

// Incarnation returns the present life, or "" while the engine is down.
func (e *Engine) Incarnation() proto.Incarnation {
	if e.life == nil {
		return ""
	}
	return e.life.incarnation
}

// CachedBlocks returns the blocks in the cache.
func (e *Engine) CachedBlocks() []proto.BlockHash {
	if e.life == nil {
		return nil
	}
	return e.life.cache.All()
}

// Held returns how many leading blocks the cache holds.
func (e *Engine) Held(blocks []proto.BlockHash) int {
	if e.life == nil {
		return 0
	}
	return e.life.cache.PeekPrefix(blocks)
}

// Import implements Peer.
func (e *Engine) Import(blocks []proto.BlockHash) int { return e.Held(blocks) }

// Versions returns the loaded version of each model.
func (e *Engine) Versions() map[string]string { return e.copyVersions() }

// Crash ends the present life. Runs in flight fail; the cache is lost.
func (e *Engine) Crash(now proto.Instant) {
	e.now = max(e.now, now)
	if e.life == nil {
		return
	}
	dead := e.life
	e.life = nil
	e.Counts.Crashes++
	e.out.Clear()
	for _, r := range slices.Concat(dead.running, dead.waiting) {
		e.out.Send(e.now, r.from, proto.EngineFailed{
			Attempt: r.msg.Attempt, Cause: proto.CauseEndpointFailed, Verdict: proto.MayHaveRun, Crashed: true,
		})
	}
	e.out.Send(e.now, e.agent, proto.EngineDown{Incarnation: dead.incarnation})
	e.back = proto.Never
	if e.cfg.RestartAfter >= 0 {
		e.back = e.now.Add(e.cfg.RestartAfter)
	}
}

func (e *Engine) start() {
	e.lives++
	e.life = &life{
		incarnation: proto.Incarnation(string(e.cfg.Endpoint) + "-life" + itoa(e.lives)),
		cache:       kv.NewLRU(e.cfg.CacheBlocks),
		streams:     map[string]*run{},
	}
	e.nextLoad = e.now
	e.announce()
}

func (e *Engine) announce() {
	e.out.Send(e.now, e.agent, proto.EngineUp{
		Incarnation: e.life.incarnation,
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
	if e.life == nil {
		return
	}
	switch m := in.Msg.(type) {
	case proto.EngineRun:
		e.accept(in.From, m)
	case proto.EngineCancel:
		e.cancel(m.Attempt)
	case proto.CacheListRequest:
		e.announce()
		e.out.Send(e.now, e.agent, proto.CacheList{
			Incarnation: e.life.incarnation, AsOf: e.life.eventSeq, Blocks: e.life.cache.All(),
		})
	case proto.EngineOrder:
		e.order(in.From, m.Order)
	}
	e.advance()
}

func (e *Engine) fail(to proto.Addr, a proto.AttemptID, cause proto.Cause) {
	e.out.Send(e.now, to, proto.EngineFailed{Attempt: a, Cause: cause, Verdict: proto.NotRun})
}

func (e *Engine) accept(from proto.Addr, m proto.EngineRun) {
	version, loaded := e.versions[m.Model]
	r := &run{from: from, msg: m, last: proto.Seq(m.MaxTokens), seq: m.ResumeAfter, prompt: Prompt(m.Body)}
	if m.MaxTokens <= 0 {
		r.last = defaultMaxTokens
	}
	kept := e.life.streams[m.StreamID]
	switch {
	case e.out.ShouldRefuse():
		e.fail(from, m.Attempt, proto.CauseEndpointFailed)
		return
	case !loaded:
		e.fail(from, m.Attempt, proto.CauseUnknownModel)
		return
	case m.Version != "" && m.Version != version:
		e.fail(from, m.Attempt, proto.CauseWrongVersion)
		return
	case m.Adapter != "" && !slices.Contains(e.adapters, m.Adapter):
		e.fail(from, m.Attempt, proto.CauseUnknownModel)
		return
	case m.ResumeAfter > 0 && !m.Sampling.Reproducible() && kept == nil:
		e.fail(from, m.Attempt, proto.CauseNotResumable)
		return
	}
	if kept != nil && m.ResumeAfter > 0 {
		r.tokens = kept.tokens
	}
	r.msg.Version = version
	e.arrivals++
	r.arrived = e.arrivals
	e.life.waiting = append(e.life.waiting, r)
	slices.SortStableFunc(e.life.waiting, func(a, b *run) int { return b.msg.Priority - a.msg.Priority })
	e.keepStream(r)
}

func (e *Engine) keepStream(r *run) {
	id := r.msg.StreamID
	if id == "" {
		return
	}
	if _, known := e.life.streams[id]; !known {
		e.life.streamOrder = append(e.life.streamOrder, id)
	}
	e.life.streams[id] = r
	if len(e.life.streamOrder) > keptStreams {
		delete(e.life.streams, e.life.streamOrder[0])
		e.life.streamOrder = e.life.streamOrder[1:]
	}
}

func (e *Engine) cancel(a proto.AttemptID) {
	other := func(r *run) bool { return r.msg.Attempt == a }
	e.life.waiting = slices.DeleteFunc(e.life.waiting, other)
	e.life.running = slices.DeleteFunc(e.life.running, other)
}

// Tick implements proto.Machine.
func (e *Engine) Tick(now proto.Instant) {
	e.now = max(e.now, now)
	if e.life == nil && !e.now.Before(e.back) {
		e.start()
	}
	if e.life != nil {
		e.advance()
		e.finishOrders()
		e.reportLoad()
	}
}

func (e *Engine) advance() {
	if e.life == nil {
		return
	}
	for {
		e.admit()
		if !e.decode() || e.life == nil {
			return
		}
	}
}

func (e *Engine) admit() {
	for len(e.life.running) < e.cfg.BatchSize && len(e.life.waiting) > 0 {
		r := e.life.waiting[0]
		e.life.waiting = e.life.waiting[1:]
		e.prefill(r)
		e.life.running = append(e.life.running, r)
	}
}

// prefill charges the prompt tokens that neither the cache nor a peer holds.
func (e *Engine) prefill(r *run) {
	blocks := r.msg.Blocks
	hit := min(e.life.cache.MatchPrefix(blocks), max(0, r.msg.ReusableBlocks))
	imported := max(0, e.importable(r.msg)-hit)
	r.cached = min(int64(hit)*BlockTokens, r.msg.PromptTokens)
	missed := max(0, r.msg.PromptTokens-int64(hit+imported)*BlockTokens)
	start := max(e.now, e.life.prefillFree)
	cost := time.Duration(missed)*e.cfg.PrefillPerToken + time.Duration(imported)*e.cfg.ImportPerBlock
	e.life.prefillFree = start.Add(cost)
	r.next = e.life.prefillFree.Add(e.cfg.DecodePerToken)
	e.Counts.Runs++
	e.Counts.PrefilledTokens += missed
	e.Counts.CachedTokens += r.cached
}

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

// decode emits the tokens that are due and reports whether a run ended.
func (e *Engine) decode() bool {
	ended := false
	for _, r := range slices.Clone(e.life.running) {
		for !e.now.Before(r.next) && r.seq < r.last {
			if e.crashes(r) {
				e.Crash(e.now)
				return false
			}
			e.emit(r)
		}
		if r.seq >= r.last {
			e.done(r)
			ended = true
		}
	}
	return ended
}

func (e *Engine) crashes(r *run) bool {
	return e.cfg.CrashOn != "" && containsText(r.msg.Body, e.cfg.CrashOn)
}

func (e *Engine) emit(r *run) {
	e.cacheBlocks(r)
	r.seq++
	text := e.token(r, r.seq)
	r.next = r.next.Add(e.cfg.DecodePerToken)
	e.out.Send(e.now, r.from, proto.EngineToken{Attempt: r.msg.Attempt, Seq: r.seq, Text: text})
}

// token returns the text of one position, and the same text again on a
// resume of the same stream.
func (e *Engine) token(r *run, seq proto.Seq) string {
	if r.msg.Sampling.Reproducible() {
		return Token(r.prompt, r.msg.Version, r.msg.Adapter, r.msg.Sampling, seq)
	}
	for proto.Seq(len(r.tokens)) < seq {
		r.tokens = append(r.tokens, word(e.out.Rand().Uint64()))
	}
	return r.tokens[seq-1]
}

func (e *Engine) cacheBlocks(r *run) {
	if r.stored {
		return
	}
	r.stored = true
	added, evicted := e.life.cache.Add(r.msg.Blocks)
	if e.cfg.Store != nil {
		e.cfg.Store.Export(r.msg.Blocks)
	}
	if len(added)+len(evicted) == 0 {
		return
	}
	e.life.eventSeq++
	if e.out.Chance(e.cfg.EventLossRate) {
		return
	}
	event := proto.CacheEvent{Seq: e.life.eventSeq, Added: added, Evicted: evicted}
	batch := proto.CacheEvents{Incarnation: e.life.incarnation, Events: []proto.CacheEvent{event}}
	e.out.SendAfter(e.now, e.cfg.EventDelay, e.agent, batch)
}

func (e *Engine) done(r *run) {
	e.life.running = slices.DeleteFunc(e.life.running, func(other *run) bool { return other == r })
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
	if e.life == nil {
		return min(e.back, e.out.Wake())
	}
	wake := min(e.nextLoad, e.out.Wake())
	for _, r := range e.life.running {
		wake = min(wake, r.next)
	}
	for _, o := range e.life.orders {
		wake = min(wake, o.at)
	}
	return wake
}

// Take implements proto.Machine.
func (e *Engine) Take() []proto.Envelope { return e.out.TakeDue(e.now) }
