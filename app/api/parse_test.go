package api_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against prompts with a common prefix whose piece hashes differ.
func TestPiecesShareAPrefix(t *testing.T) {
	shared := strings.Repeat("catalogue ", 2000)
	var a, b proto.CallerRequest
	for req, question := range map[*proto.CallerRequest]string{&a: "one?", &b: "two?"} {
		body, _ := json.Marshal(map[string]any{"model": "m", "messages": []map[string]string{
			{"role": "system", "content": shared}, {"role": "user", "content": question},
		}})
		if problem := api.ParseGenerate(body, true, req); problem != nil {
			t.Fatal(problem)
		}
	}
	if len(a.Pieces) != 2 || !slices.Equal(a.Pieces, b.Pieces) || a.PromptTokens < 5000 {
		t.Errorf("pieces %v and %v, %d tokens", a.Pieces, b.Pieces, a.PromptTokens)
	}
}

// Guards against a parser that panics, forwards a key, or parses a body that
// it has encoded itself differently.
func FuzzParseGenerate(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","api_key":"secret"}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"seed":1}`), true)
	f.Add([]byte(`{"model":"m","model":"n","prompt":"\ud800","max_tokens":1e3}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		var first, second proto.CallerRequest
		if api.ParseGenerate(body, chat, &first) != nil {
			return
		}
		if problem := api.ParseGenerate(first.Body, chat, &second); problem != nil {
			t.Fatalf("own body %s refused: %v", first.Body, problem)
		}
		if !bytes.Equal(first.Body, second.Body) || !slices.Equal(first.Pieces, second.Pieces) || first.Model != second.Model {
			t.Fatalf("%s read as %+v, then %+v", body, first, second)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(first.Body, &fields); err != nil || fields["api_key"] != nil {
			t.Fatalf("body %s, %v", first.Body, err)
		}
	})
}

// Guards against an event id that does not survive formatting and parsing.
func FuzzEventID(f *testing.F) {
	f.Add("r1:v:1:7")
	f.Fuzz(func(t *testing.T, id string) {
		point, problem := api.ParseEventID(id)
		if problem != nil {
			return
		}
		again, problem := api.ParseEventID(api.EventID(point.Request, point.Version, point.After))
		if problem != nil || again != point {
			t.Fatalf("%q read as %+v, then %+v (%v)", id, point, again, problem)
		}
	})
}
