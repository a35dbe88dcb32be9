package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// Guards against a request that reaches the router otherwise than described, output that lacks
// what was explained, unclear errors, and keys in any output.
func TestExplainChoice(t *testing.T) {
	var got front.ExplainRequest
	answer := func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(front.Explanation{
			Router: "r1", Domain: "zone-a", Endpoint: "i-1", Route: &front.ExplainedRoute{Name: "sheet", Service: "llm"},
			Release:    &canary.PermitView{Established: "v1", To: "v2", Allowed: "new", Sampled: "i-1"},
			Account:    &front.ExplainedAccount{ID: "t1", Balance: 70, Units: 30},
			Candidates: []front.ExplainCandidate{{Endpoint: "i-2", Excluded: "pause"}, {Endpoint: "i-1", Cost: 12.5, Costs: map[string]float64{"wait": 8, "domain": 4.5, "memory": 0.75}}},
		})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = front.ExplainRequest{}
		if r.URL.Path != front.ExplainPath || json.NewDecoder(r.Body).Decode(&got) != nil {
			http.Error(w, "no description", http.StatusBadRequest)
			return
		}
		answer(w)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	file := "PUT /sheet/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token secret\r\n\r\na\r\n\r\nb"
	ask := func(input string, args ...string) result {
		r := runCLI(input, append([]string{"explain", "--front", addr}, args...)...)
		if strings.Contains(r.out+r.err, "secret") {
			t.Errorf("%v: the output contains the key:\n%s%s", args, r.out, r.err)
		}
		return r
	}
	ask(file, "--request", "-", "--header", "kumquatsill-model: m").want(t, settings.ExitOK, "sent to i-1", "balance 70", "12.50", "0.75", "pause", "established v1, new v2, only at i-1")
	if got.Method != "PUT" || got.Host != "h.example" || got.Path != "/sheet/1" || string(got.Body) != "a\r\n\r\nb" ||
		got.Header.Get("Authorization") != "Token secret" || got.Header.Get("Kumquatsill-Model") != "m" || got.Header.Get(attemptIDHeader) == "" {
		t.Errorf("the router was asked about %+v", got)
	}
	x := decodeOutput[front.Explanation](t, ask("", "--host", "h", "--path", "/p", "--json").want(t, settings.ExitOK))
	if x.Endpoint != "i-1" || len(x.Candidates) != 2 || got.Method != "POST" {
		t.Errorf("JSON %+v of %+v", x, got)
	}
	ask("", "--host", "h").want(t, settings.ExitUsage, "--path")
	ask("", "--host", "h", "--path", "/p", "some-id").want(t, settings.ExitUsage, "some-id")
	ask("", "--host", "h", "--path", "/p", "--header", "Authorization secret").want(t, settings.ExitUsage, "--header number 1")
	ask("secret", "--request", "-").want(t, settings.ExitUsage, "no HTTP/1.1 request")
	answer = func(w http.ResponseWriter) { http.Error(w, "the host is wrong", http.StatusBadRequest) }
	ask("", "--host", "h", "--path", "/p").want(t, settings.ExitRefused, "the host is wrong")
	answer = func(w http.ResponseWriter) { _, _ = w.Write([]byte("{}")) }
	ask("", "--host", "h", "--path", "/p").want(t, settings.ExitRefused, "no readiness")
	runCLI("", "explain", "--front", unreachableAddr, "--host", "h", "--path", "/p").want(t, settings.ExitUnreachable, unreachableAddr)
}

// Guards against an explanation that is shown though its answer is not valid.
func TestExplainRefusesInvalidAnswers(t *testing.T) {
	const body = `{"router":"r1","domain":"zone-a","endpoint":"i-1"}`
	ask := func(text string) result {
		server := httptest.NewServer(rawanswer.Text(text))
		defer server.Close()
		return runCLI("", "explain", "--front", strings.TrimPrefix(server.URL, "http://"), "--host", "h", "--path", "/p")
	}
	for _, text := range rawanswer.InvalidHeads("", body) {
		ask(text).want(t, settings.ExitUnreachable, "invalid head")
	}
	for _, text := range rawanswer.Sound("", body) {
		ask(text).want(t, settings.ExitOK, "sent to i-1")
	}
}
