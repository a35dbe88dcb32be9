package engine_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

type world struct {
	t   *testing.T
	e   *engine.Engine
	now proto.Instant
}

func (w *world) until(end proto.Instant) []proto.Message {
	var out []proto.Message
	for {
		for _, env := range w.e.Take() {
			out = append(out, env.Msg)
		}
		next := w.e.Wake()
		if next > end {
			w.now = end
			return out
		}
		w.now = max(next, w.now)
		w.e.Tick(w.now)
	}
}

func (w *world) send(m proto.Message) {
	w.e.Step(w.now, proto.Envelope{From: proto.AgentAddr("e1"), To: proto.EngineAddr("e1"), Msg: m})
}

func newWorld(t *testing.T, change func(*engine.Config)) *world {
	cfg := engine.Config{Endpoint: "e1", Seed: 1, Versions: map[string]string{"m": "v1"}, CacheBlocks: 4}
	if change != nil {
		change(&cfg)
	}
	w := &world{t: t, e: engine.New(cfg)}
	w.until(proto.Instant(10 * time.Millisecond))
	return w
}

func tokens(out []proto.Message) (texts []string, done *proto.EngineDone) {
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

// Guards against output that a resume on another engine cannot continue.
func TestOutputContinuesOnAnotherEngine(t *testing.T) {
	run := proto.EngineRun{Attempt: "r#1", Model: "m", Version: "v1", Body: []byte(`{"prompt":"x"}`), MaxTokens: 8}
	a := newWorld(t, nil)
	a.send(run)
	whole, _ := tokens(a.until(proto.Instant(time.Minute)))
	b := newWorld(t, func(c *engine.Config) { c.Seed = 99 })
	run.ResumeAfter = 3
	b.send(run)
	rest, _ := tokens(b.until(proto.Instant(time.Minute)))
	if len(whole) != 8 || !reflect.DeepEqual(whole[3:], rest) {
		t.Errorf("whole %q, rest %q", whole, rest)
	}
}

// Guards against a prefix cache that is not used, or survives a crash.
func TestCacheHitsAndCrash(t *testing.T) {
	w := newWorld(t, nil)
	run := proto.EngineRun{Attempt: "r#1", Model: "m", MaxTokens: 1, PromptTokens: 2 * engine.BlockTokens, Blocks: []proto.BlockHash{1, 2}, ReusableBlocks: 2}
	w.send(run)
	_, first := tokens(w.until(proto.Instant(time.Minute)))
	w.send(run)
	_, second := tokens(w.until(proto.Instant(2 * time.Minute)))
	w.e.Crash(w.now)
	w.until(proto.Instant(3 * time.Minute))
	w.send(run)
	_, third := tokens(w.until(proto.Instant(4 * time.Minute)))
	got := []int64{first.Usage.CachedTokens, second.Usage.CachedTokens, third.Usage.CachedTokens}
	if want := []int64{0, 2 * engine.BlockTokens, 0}; !reflect.DeepEqual(got, want) {
		t.Errorf("cached tokens %v, want %v", got, want)
	}
}

// Guards against an engine that reloads weights on an order from an old lease holder.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, func(c *engine.Config) { c.ChecksFence = checks })
		w.send(proto.EngineOrder{Order: proto.Order{ID: "new", Fence: 5, Action: proto.OrderLoad, Model: "m", Version: "v3"}})
		w.until(proto.Instant(time.Minute))
		w.send(proto.EngineOrder{Order: proto.Order{ID: "old", Fence: 4, Action: proto.OrderLoad, Model: "m", Version: "v2"}})
		w.until(proto.Instant(2 * time.Minute))
		want := map[bool]string{true: "v3", false: "v2"}[checks]
		if got := w.e.Versions()["m"]; got != want {
			t.Errorf("checks fence %v: version %s, want %s", checks, got, want)
		}
	}
}
