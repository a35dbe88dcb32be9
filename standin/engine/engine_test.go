package engine_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

type fixture struct {
	t   *testing.T
	e   *engine.Engine
	now proto.Instant
}

func (f *fixture) runUntil(end proto.Instant) []proto.Message {
	var out []proto.Message
	for {
		for _, env := range f.e.Take() {
			out = append(out, env.Msg)
		}
		next := f.e.Wake()
		if next > end {
			f.now = end
			return out
		}
		f.now = max(next, f.now)
		f.e.Tick(f.now)
	}
}

func (f *fixture) send(m proto.Message) {
	f.e.Step(f.now, proto.Envelope{From: proto.AgentAddr("e1"), To: proto.EngineAddr("e1"), Msg: m})
}

func newFixture(t *testing.T, configure func(*engine.Config)) *fixture {
	cfg := engine.Config{Endpoint: "e1", Seed: 1, Versions: map[string]string{"m": "v1"}, CacheBlocks: 4}
	if configure != nil {
		configure(&cfg)
	}
	f := &fixture{t: t, e: engine.New(cfg)}
	f.runUntil(proto.Instant(10 * time.Millisecond))
	return f
}

func collectTokens(out []proto.Message) (texts []string, done *proto.EngineDone) {
	for _, m := range out {
		switch m := m.(type) {
		case proto.EngineToken:
			texts = append(texts, m.Text)
		case proto.EngineDone:
			done = &m
		}
	}
	return texts, done
}

// Guards against a stream that continues with different tokens when it is resumed on
// another engine.
func TestOutputContinuesOnAnotherEngine(t *testing.T) {
	run := proto.EngineRun{Attempt: "r#1", Model: "m", Version: "v1", Body: []byte(`{"prompt":"x"}`), MaxTokens: 8}
	a := newFixture(t, nil)
	a.send(run)
	whole, _ := collectTokens(a.runUntil(proto.Instant(time.Minute)))
	b := newFixture(t, func(c *engine.Config) { c.Seed = 99 })
	run.ResumeAfter = 3
	b.send(run)
	rest, _ := collectTokens(b.runUntil(proto.Instant(time.Minute)))
	if len(whole) != 8 || !reflect.DeepEqual(whole[3:], rest) {
		t.Errorf("whole %q, rest %q", whole, rest)
	}
}

// Guards against a prefix cache that yields no hits, or that survives a crash.
func TestCacheHitsAndCrash(t *testing.T) {
	f := newFixture(t, nil)
	run := proto.EngineRun{Attempt: "r#1", Model: "m", MaxTokens: 1, PromptTokens: 2 * engine.BlockTokens, Blocks: []proto.BlockHash{1, 2}, ReusableBlocks: 2}
	f.send(run)
	_, first := collectTokens(f.runUntil(proto.Instant(time.Minute)))
	f.send(run)
	_, second := collectTokens(f.runUntil(proto.Instant(2 * time.Minute)))
	f.e.Crash(f.now)
	f.runUntil(proto.Instant(3 * time.Minute))
	f.send(run)
	_, third := collectTokens(f.runUntil(proto.Instant(4 * time.Minute)))
	got := []int64{first.Usage.CachedTokens, second.Usage.CachedTokens, third.Usage.CachedTokens}
	if want := []int64{0, 2 * engine.BlockTokens, 0}; !reflect.DeepEqual(got, want) {
		t.Errorf("cached tokens %v, want %v", got, want)
	}
}

// Guards against an engine that checks fencing tokens but loads weights on an order of
// a previous lease holder. An engine without the check obeys such an order.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newFixture(t, func(c *engine.Config) { c.ChecksFence = checks })
		f.send(proto.EngineOrder{Order: proto.Order{ID: "new", Fence: 5, Action: proto.OrderLoad, Model: "m", Version: "v3"}})
		f.runUntil(proto.Instant(time.Minute))
		f.send(proto.EngineOrder{Order: proto.Order{ID: "old", Fence: 4, Action: proto.OrderLoad, Model: "m", Version: "v2"}})
		f.runUntil(proto.Instant(2 * time.Minute))
		want := map[bool]string{true: "v3", false: "v2"}[checks]
		if got := f.e.Versions()["m"]; got != want {
			t.Errorf("checks fence %v: version %s, want %s", checks, got, want)
		}
	}
}
