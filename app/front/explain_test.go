package front_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// lockedBuffer is a buffer that a test may read while a router writes its log to it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// describe sends a description of a request to an address and returns the answer.
func (r *router) describe(addr string, description any) (int, string) {
	r.t.Helper()
	data, err := json.Marshal(description)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.Post("http://"+addr+front.ExplainPath, "application/json", bytes.NewReader(data))
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// explain returns the explanation of a request, which must not contain its key.
func (r *router) explain(req *http.Request) (x front.Explanation) {
	r.t.Helper()
	status, body := r.describe(r.readinessAddr, front.ExplainRequest{Method: req.Method, Host: req.Host, Path: req.URL.Path, Header: req.Header, Body: []byte("body")})
	if err := json.Unmarshal([]byte(body), &x); status != http.StatusOK || err != nil || strings.Contains(body, "secret") {
		r.t.Fatalf("%d %s %v", status, body, err)
	}
	return x
}

// Guards against an explanation that differs from what is then done, that charges, counts,
// logs or sends anything, or that discloses keys.
func TestExplain(t *testing.T) {
	b := newTestbed(t)
	b.configure(func(cfg map[string]any) {
		account := cfg["tenants"].([]any)[0].(map[string]any)
		account["ratePerS"], account["burst"] = 1, 100
	})
	log := &lockedBuffer{}
	r := b.startWith("r1", func(c *front.Config) { c.Log = slog.New(slog.NewJSONHandler(log, nil)) })
	eventually(t, "all endpoints are known", func() bool {
		x := r.explain(r.request("/sheet/1", "secret"))
		return x.Refusal == nil && x.Account != nil && x.Account.Balance == 100 && len(x.Candidates) == 2
	})
	lines := strings.Count(log.String(), "\n")
	for sends := range 3 {
		var x front.Explanation
		for range 20 {
			x = r.explain(r.request("/sheet/1", "secret"))
		}
		if balance := x.Account.Balance; x.Account.ID != "t1" || x.Account.Units != 30 || balance < int64(100-30*sends) || balance > int64(100-30*sends)+20 {
			t.Errorf("account %+v after %d sends", x.Account, sends)
		}
		if n := r.metricSum(`kumquatsill_attempts_total\{.*\}`); n != float64(sends) {
			t.Errorf("%v attempts counted after %d sends", n, sends)
		}
		before := b.runsByEngine()
		before[x.Endpoint]++
		if status, _ := r.call("/sheet/1", "secret"); status != http.StatusOK || !maps.Equal(before, b.runsByEngine()) {
			t.Errorf("status %d, runs %v, explained %v", status, b.runsByEngine(), before)
		}
	}
	x := r.explain(r.request("/sheet/1", "secret"))
	if status, _ := r.call("/sheet/1", "secret"); x.Refusal == nil || x.Refusal.Status != status || x.Refusal.Reason != "over_limit" || x.Refusal.RetryAfterMillis <= 0 || x.Endpoint != "" {
		t.Errorf("status %d, explained %+v, %q", status, x.Refusal, x.Endpoint)
	}
	if n := r.metricSum(`kumquatsill_refusals_total\{.*\}`); n != 1 {
		t.Errorf("%v refusals counted", n)
	}
	if text := log.String(); strings.Contains(text, "secret") || strings.Count(text, `"msg":"admitted"`) != 3 || lines == 0 {
		t.Errorf("log:\n%s", text)
	}
	for path, status := range map[string]int{"/none/1": http.StatusNotFound, "/order/1": http.StatusUnauthorized} {
		req := r.request(path, "wrong-secret")
		if x := r.explain(req); x.Refusal == nil || x.Refusal.Status != status {
			t.Errorf("%s: explained %+v, want %d", path, x.Refusal, status)
		}
	}
}

// runsByEngine returns the number of runs of each model engine.
func (b *testbed) runsByEngine() map[proto.EndpointID]int {
	runs := map[proto.EndpointID]int{}
	for _, e := range b.engines[:2] {
		runs[proto.EndpointID(e.ID)] = len(e.Runs())
	}
	return runs
}

// Guards against explanations for callers, and against invalid descriptions that are not
// rejected with a reason, or with one that discloses a key.
func TestExplainRejects(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	header := http.Header{"Kumquatsill-Attempt-Id": {"x"}, "Authorization": {"Token secret"}}
	valid := front.ExplainRequest{Method: "POST", Host: "h.example", Path: "/sheet/1", Header: header}
	if status, body := r.describe(r.callerAddr, valid); status == http.StatusOK || strings.Contains(body, "candidates") {
		t.Errorf("at the callers' address: %d %s", status, body)
	}
	bad := header.Clone()
	bad.Set("Kumquatsill-Token-Counts", "secret")
	for want, description := range map[string]any{
		"host": front.ExplainRequest{Method: "POST", Path: "/sheet/1", Header: header}, "path": front.ExplainRequest{Method: "POST", Host: "h", Path: "sheet", Header: header},
		"Token-Counts": front.ExplainRequest{Method: "POST", Host: "h", Path: "/sheet/1", Header: bad}, "description": "secret",
	} {
		if status, body := r.describe(r.readinessAddr, description); status != http.StatusBadRequest || !strings.Contains(body, want) || strings.Contains(body, "secret") {
			t.Errorf("%s: %d %s", want, status, body)
		}
	}
}

// Guards against an explanation during a rollout that names an endpoint of a release that the
// request may not be sent to, that lacks the excluded ones, or that sends a request.
func TestExplainRollout(t *testing.T) {
	b := newTestbed(t)
	b.configure(withoutLimits)
	r := b.startWith("r1", withRollouts).awaitReady(b)
	added := b.addRelease("v2", 2)
	eventually(t, "the new endpoints are known", func() bool { return strings.Contains(r.rollouts(), `"v2":2`) })
	b.order("v2", 8*time.Second)
	explainedNew, excluded := 0, 0
	callUntil(t, []*router{r}, func() bool {
		before, explained := runs(added), false
		x := r.explain(r.request("/look/x", "secret"))
		if x.Refusal != nil || x.Release == nil || len(x.Candidates) != 4 {
			t.Fatalf("explained %+v, release %+v, %d endpoints", x.Refusal, x.Release, len(x.Candidates))
		}
		for _, e := range added {
			explained = explained || string(x.Endpoint) == e.ID
		}
		if explained != (x.Release.Allowed == "new") && x.Release.To != "" {
			t.Fatalf("to %s, release %+v", x.Endpoint, x.Release)
		}
		for _, c := range x.Candidates {
			if c.Excluded == "release" {
				excluded++
			}
		}
		if n := runs(added); n != before {
			t.Fatalf("%d requests at the new release while explaining", n-before)
		}
		if explained {
			explainedNew++
		}
		return b.status() == "completed v2"
	})
	if explainedNew == 0 || excluded == 0 {
		t.Errorf("%d times to the new release, %d endpoints excluded", explainedNew, excluded)
	}
}
