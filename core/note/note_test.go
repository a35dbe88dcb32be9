package note_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Guards against an invalid note that is accepted, and against an error that
// does not name its field or that hides another error.
func TestCheck(t *testing.T) {
	cfg := note.Empty()
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		hash := string(note.HashKey("secret"))
		n, err := note.Parse([]byte(strings.ReplaceAll(d.Input, "HASH", hash)))
		if err != nil {
			return "parse error: " + err.Error()
		}
		next, err := note.Apply(cfg, n)
		if err != nil {
			return err.Error()
		}
		if d.Cmd == "accept" {
			cfg = next
		}
		return fmt.Sprintf("accepted as revision %d", next.Revision)
	})
}

// Guards against a route path that the router and an endpoint could interpret
// differently.
func TestRoutePaths(t *testing.T) {
	bad := []string{"", "x", "//", "/a//b", "/a/../b", "/..", "/./a", "/a/%2e%2e/b", `/a\b`, "/a?x", "/a#b", "/a;b",
		"/a b", "/a\tb", "/ä", "/v1/models", "/v1/", "/", "/debug/x", "/" + strings.Repeat("a", 600)}
	for _, path := range bad {
		if problems := routeProblems(path); !strings.Contains(problems, "routes[0].path") {
			t.Errorf("path %q: %q", path, problems)
		}
	}
	for _, path := range []string{"/orders", "/orders/", "/v2/stock-1/a_b.c", "/v1/modelsx"} {
		if problems := routeProblems(path); problems != "" {
			t.Errorf("path %q: %q", path, problems)
		}
	}
}

func routeProblems(path string) string {
	var n note.Note
	n.Added.Endpoints = []note.Endpoint{{ID: "s", Kind: note.KindService, Domain: "a", Addr: "127.0.0.1:1", Service: "x"}}
	n.Added.Routes = []note.Route{{Method: "GET", Path: path, Service: "x"}}
	if err := note.Validate(note.Empty(), n); err != nil {
		return err.Error()
	}
	return ""
}

// Guards against input that two parsers would decode to different notes.
func TestParseRefuses(t *testing.T) {
	for _, in := range []string{"", "null", "[]", "{", `{"a":1}`, `{"based_on":0}{}`, `{"based_on":0} x`, `{"Based_On":0}`,
		`{"based_on":0,"based_on":1}`, `{"added":{"accounts":[{"id":"a","id":"b"}]}}`, `{"based_on":"0"}`, `{"based_on":1e3}`,
		"{\"author\":\"\xff\"}", strings.Repeat(`{"added":`, 100), `{"author":"` + strings.Repeat("a", note.MaxBytes) + `"}`} {
		if n, err := note.Parse([]byte(in)); err == nil {
			t.Errorf("%.40q was parsed as %+v", in, n)
		}
	}
	var fields *note.ValidationError
	if _, err := note.Parse([]byte(`{"based_on":"0"}`)); !errors.As(err, &fields) || fields.Fields[0].Field != "based_on" {
		t.Errorf("the error does not name its field: %v", err)
	}
}

// Guards against a crash on untrusted input, and against a note that changes when
// it is encoded and decoded again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"based_on":1,"added":{"accounts":[{"id":"a","rate":1,"burst":2}]},"withdrawn":{"models":["m"]}}`))
	f.Add([]byte(`{"changed":{"policy":{"quarantine":"1h"}}}`))
	f.Add([]byte(`{"based_on":0,"added":{"accounts":[]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := note.Parse(data)
		if err != nil {
			return
		}
		_ = note.Validate(note.Empty(), n)
		again, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		var back note.Note
		if err := json.Unmarshal(again, &back); err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		// Empty lists are omitted when they are encoded.
		again = []byte(strings.NewReplacer(`,"added":{}`, "", `,"changed":{}`, "", `,"withdrawn":{}`, "").Replace(string(again)))
		if third, _ := json.Marshal(back); string(third) != string(again) {
			t.Fatalf("%s became %s", again, third)
		}
	})
}

func drawConfig(t *rapid.T, label string) *note.Config {
	cfg := note.Empty()
	for i := range rapid.IntRange(0, 4).Draw(t, label+"accounts") {
		id := proto.AccountID(fmt.Sprint("a", i))
		cfg.Accounts[id] = note.Account{ID: id, Rate: rapid.Int64Range(1, 2).Draw(t, label+"rate"), Burst: 10}
		hash := note.HashKey(string(id))
		cfg.Keys[hash] = note.Key{Hash: hash, Account: id}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+"models") {
		name := fmt.Sprint("m", i)
		cfg.Models[name] = note.Model{Name: name, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, label+"version")}
		id := proto.EndpointID(fmt.Sprint("e", i))
		cfg.Endpoints[id] = note.Endpoint{ID: id, Kind: note.KindEngine, Domain: "d", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Models: []string{name}}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+"services") {
		id := proto.EndpointID(fmt.Sprint("s", i))
		cfg.Endpoints[id] = note.Endpoint{ID: id, Kind: note.KindService, Domain: "d", Addr: fmt.Sprintf("127.0.0.2:%d", i+1), Service: string(id)}
		cfg.Routes = append(cfg.Routes, note.Route{Method: "GET", Path: "/" + string(id), Service: string(id)})
	}
	return cfg
}

// Guards against a change that Diff misses, Validate rejects or Apply loses, and
// against Apply modifying its base, which other goroutines may be reading.
func TestDiffLeadsFromOneToOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t, "a "), drawConfig(t, "b ")
		before, _ := json.Marshal(a)
		got, err := note.Apply(a, note.Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		got.Revision = b.Revision
		if !reflect.DeepEqual(normalJSON(got), normalJSON(b)) {
			t.Fatalf("got %+v, want %+v", got, b)
		}
		if after, _ := json.Marshal(a); string(after) != string(before) {
			t.Fatalf("Apply modified its base: %s", after)
		}
	})
}

func normalJSON(c *note.Config) string {
	data, _ := json.Marshal(c)
	return strings.Replace(string(data), `"routes":null`, `"routes":[]`, 1)
}

func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{5, 120, 1200} {
		cfg := note.Empty()
		for i := range accounts {
			id := proto.AccountID(fmt.Sprint("a", i))
			cfg.Accounts[id] = note.Account{ID: id, Rate: 1, Burst: 10}
			cfg.Keys[note.HashKey(string(id))] = note.Key{Account: id}
		}
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			n := note.Note{}
			n.Changed.Accounts = []note.Account{{ID: "a1", Rate: 5, Burst: 50}}
			for b.Loop() {
				if _, err := note.Apply(cfg, n); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
