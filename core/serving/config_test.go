package serving_test

import (
	"math"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

func route(name, host, prefix string) *serving.Route {
	return &serving.Route{Name: name, Host: host, Prefix: prefix, Targets: []serving.Target{{Service: "s", Weight: 1}}}
}

func build(t *testing.T, routes ...*serving.Route) *serving.Config {
	t.Helper()
	cfg, err := serving.New(serving.Spec{
		Routes: routes, Services: []*serving.Service{{Name: "s"}},
		Accounts: []*serving.Account{{ID: "a"}},
		Keys:     map[proto.KeyHash]proto.AccountID{note.HashKey("secret"): "a"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against matching a route with a shorter prefix or of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	cfg := build(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"))
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/x/yy/1": "short"} {
		if r := cfg.Match("A.example:80", path); r == nil || r.Name != want {
			t.Errorf("%s goes to %v, want %s", path, r, want)
		}
	}
	if r := cfg.Match("a.example", "/"); r != nil {
		t.Errorf("/ goes to %s", r.Name)
	}
	if r := cfg.Match("c.example", "/x/1"); r != nil {
		t.Errorf("an unknown host goes to %s", r.Name)
	}
}

// Guards against accepting an empty or unknown key.
func TestKeys(t *testing.T) {
	cfg := build(t)
	if cfg.AccountForKey("secret") == nil || cfg.AccountForKey("") != nil || cfg.AccountForKey("other") != nil {
		t.Fatal("a key does not map to its account, or an unknown key maps to one")
	}
}

// Guards against accepting a configuration that would fail only on a request.
func TestInvalidConfigIsRejected(t *testing.T) {
	for name, content := range map[string]serving.Spec{
		"unknown service": {Routes: []*serving.Route{route("r", "h", "/")}},
		"no host":         {Routes: []*serving.Route{route("r", "", "/")}, Services: []*serving.Service{{Name: "s"}}},
		"no target":       {Routes: []*serving.Route{{Name: "r", Host: "h", Prefix: "/"}}},
		"unknown account": {Keys: map[proto.KeyHash]proto.AccountID{"k": "a"}},
	} {
		if _, err := serving.New(content); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against a traffic split that does not follow the weights.
func TestTargetFollowsWeights(t *testing.T) {
	r := &serving.Route{Targets: []serving.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.Target(i)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Fatalf("split %v", counts)
	}
}

// Guards against charging requests in the wrong unit.
func TestCost(t *testing.T) {
	tokens := serving.Account{CountsTokens: true, DefaultTokens: 200}
	if tokens.Cost(900, true) != 900 || tokens.Cost(0, false) != 200 || (&serving.Account{}).Cost(900, true) != 1 {
		t.Fatal("a request is charged in the wrong unit")
	}
}

// Guards against a configuration that is taken although its numbers make no sense, and then
// sends requests to a service that gets no share.
func TestInvalidNumbersAreRejected(t *testing.T) {
	valid := func() serving.Spec {
		return serving.Spec{
			Routes: []*serving.Route{route("r", "h", "/")}, Services: []*serving.Service{{Name: "s"}, {Name: "t"}},
			Accounts: []*serving.Account{{ID: "a"}},
		}
	}
	if _, err := serving.New(valid()); err != nil {
		t.Fatal(err)
	}
	targets := func(weights ...int) []serving.Target {
		return []serving.Target{{Service: "s", Weight: weights[0]}, {Service: "t", Weight: weights[1]}}
	}
	for name, change := range map[string]func(*serving.Spec){
		"no weight":         func(c *serving.Spec) { c.Routes[0].Targets = targets(0, 0) },
		"negative weight":   func(c *serving.Spec) { c.Routes[0].Targets = targets(-1, 5) },
		"too large weights": func(c *serving.Spec) { c.Routes[0].Targets = targets(math.MaxInt, math.MaxInt) },
		"negative timeout":  func(c *serving.Spec) { c.Routes[0].Timeout = -1 },
		"negative latency":  func(c *serving.Spec) { c.Routes[0].TargetLatency = -1 },
		"negative gap":      func(c *serving.Spec) { c.Routes[0].TargetGap = -1 },
		"negative attempts": func(c *serving.Spec) { c.Routes[0].Attempts = -1 },
		"no prefix":         func(c *serving.Spec) { c.Routes[0].Prefix = "" },
		"negative rate":     func(c *serving.Spec) { c.Accounts[0].Rate = -1 },
		"negative burst":    func(c *serving.Spec) { c.Accounts[0].Burst = -1 },
		"negative cost":     func(c *serving.Spec) { c.Accounts[0].DefaultTokens = -1 },
		"negative body":     func(c *serving.Spec) { c.MaxBody = -1 },
		"negative revision": func(c *serving.Spec) { c.Revision = -1 },
	} {
		spec := valid()
		change(&spec)
		if _, err := serving.New(spec); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
