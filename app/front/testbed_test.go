package front_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/freeport"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// testbed simulates the hosting platform with two model engines and two plain
// endpoints.
type testbed struct {
	t             *testing.T
	store         *hosting.LogStore
	addr          string
	engines       []*hosting.Engine
	addrs         []string
	configVersion int64
}

const (
	testTimeout  = 10 * time.Second
	pollInterval = 10 * time.Millisecond
	drainTime    = 2 * time.Second
)

func newTestbed(t *testing.T) *testbed {
	t.Parallel()
	b := &testbed{t: t, store: hosting.NewLogStore()}
	b.addr = b.listen(b.store)
	for i := range 4 {
		service, model := "llm", "m"
		if i >= 2 {
			service, model = "plain", ""
		}
		e := hosting.NewEngine(fmt.Sprint("i-", i), service, model)
		b.engines = append(b.engines, e)
		b.addrs = append(b.addrs, b.listen(e))
		b.register(i, "ready")
	}
	return b
}

func (b *testbed) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	b.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (b *testbed) register(i int, state string) {
	b.store.PutKey(platform.TopicEndpoints, b.engines[i].ID, b.engines[i].Registration(b.addrs[i], "zone-a", state))
}

// configure publishes the next version of the configuration.
func (b *testbed) configure(change func(map[string]any)) {
	b.configVersion++
	route := func(name, kind, service string, public, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000,
			"targetLatencyMs": 400, "gapTargetMs": 400, "service": service, "attempts": 2, "public": public,
			"resumable": resumable, "stickySessions": service == "llm"}
	}
	cfg := map[string]any{
		"version": b.configVersion,
		"routes": []any{
			route("order", "unsafe", "plain", false, false), route("look", "safe", "plain", false, false),
			route("open", "safe", "plain", true, false), route("sheet", "streaming", "llm", false, true),
			route("chat", "streaming", "llm", false, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "cacheTokens": 90000, "tokenCacheBytes": 1000, "linkMbps": 1000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "plain"},
		},
		"limits":  map[string]any{"bodyBytes": 1000},
		"tenants": []any{map[string]any{"name": "t1", "accessKeys": []string{"secret"}, "unit": "tokens", "uncachedTokens": 10, "ratePerS": 1000, "burst": 1000}},
	}
	if change != nil {
		change(cfg)
	}
	b.store.PutKey(platform.TopicOperator, "config", cfg)
}

// router is a running router process.
type router struct {
	*front.Front
	t             *testing.T
	callerAddr    string
	readinessAddr string
	requests      int
}

func freeAddr(t *testing.T) string {
	addr, err := freeport.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (b *testbed) start(name string) *router {
	return b.startWith(name, func(*front.Config) {})
}

// startWith starts a router with a changed configuration.
func (b *testbed) startWith(name string, change func(*front.Config)) *router {
	b.t.Helper()
	log := failureLog(b.t)
	for {
		r, err := b.newRouter(name, log, change)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // a parallel test has taken the address
		}
		if err != nil {
			b.t.Fatal(err)
		}
		r.Start()
		b.t.Cleanup(func() { _ = r.Drain() })
		return r
	}
}

func (b *testbed) newRouter(name string, log *slog.Logger, change func(*front.Config)) (*router, error) {
	r := &router{t: b.t, callerAddr: freeAddr(b.t), readinessAddr: freeAddr(b.t)}
	cfg := front.Config{
		Settings: platform.Settings{
			Host: name, Domain: "zone-a", CallerAddr: r.callerAddr, ReadinessAddr: r.readinessAddr, PeerAddr: freeAddr(b.t), Store: b.addr,
			GracePeriod: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 52,
			LeaseTakeoverDelay: time.Second, EnginesEnforceFencing: true, VersionLifetime: 8 * time.Second, DrainTimeout: drainTime, ContactTimeout: time.Second,
		},
		Log: log, LogDropped: func() int64 { return 0 },
	}
	change(&cfg)
	var err error
	r.Front, err = front.New(cfg)
	return r, err
}

// failureLog returns a logger whose output is printed only if the test fails.
func failureLog(t *testing.T) *slog.Logger {
	var kept bytes.Buffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(kept.String())
		}
	})
	return slog.New(slog.NewJSONHandler(&kept, nil)) // the handler serializes its writes
}

// eventually waits until a condition holds and fails the test if it does not
// within testTimeout.
func eventually(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + name)
}

func (r *router) isReady() bool {
	resp, err := http.Get("http://" + r.readinessAddr + "/kumquatsill/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *testbed) startReady(name string) *router {
	b.t.Helper()
	return b.start(name).awaitReady(b)
}

// awaitReady waits until the router is ready and serves a request.
func (r *router) awaitReady(b *testbed) *router {
	b.t.Helper()
	eventually(b.t, "the router is ready", r.isReady)
	eventually(b.t, "all endpoints are known", func() bool {
		status, _ := r.call("/order/x", "secret")
		return status == http.StatusOK
	})
	return r
}

func (r *router) request(path, key string) *http.Request {
	r.requests++
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddr+path, strings.NewReader("body"))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Kumquatsill-Attempt-Id", fmt.Sprintf("%s-%d", r.callerAddr, r.requests))
	req.Header.Set("Kumquatsill-Deadline-Remaining", "4000")
	if strings.HasPrefix(path, "/sheet/") || strings.HasPrefix(path, "/chat/") {
		req.Header.Set("Kumquatsill-Model", "m")
		req.Header.Set("Kumquatsill-Token-Counts", "20,10")
		req.Header.Set("Kumquatsill-Prompt-Prefix", "aa:10,bb:5,cc:5")
	}
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	return req
}

func (r *router) call(path, key string) (status int, body string) {
	r.t.Helper()
	return r.do(r.request(path, key))
}

// do sends a request and returns the status, or 0 if the response is incomplete, and
// what was received of the body.
func (r *router) do(req *http.Request) (status int, body string) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(data)
	}
	return resp.StatusCode, string(data)
}

func eventIDs(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, ",")
}
