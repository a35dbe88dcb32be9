package front_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// bed is the hosting platform with two model engines and two plain endpoints.
type bed struct {
	t       *testing.T
	store   *hosting.Store
	addr    string
	engines []*hosting.Engine
	addrs   []string
	version int64
}

const (
	patience  = 10 * time.Second
	poll      = 10 * time.Millisecond
	drainTime = 2 * time.Second
)

func newBed(t *testing.T) *bed {
	t.Parallel()
	b := &bed{t: t, store: hosting.NewStore()}
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

func (b *bed) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	b.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (b *bed) register(i int, state string) {
	b.store.PutKey(platform.TopicEndpoints, b.engines[i].ID, b.engines[i].Entry(b.addrs[i], "zone-a", state))
}

// configure puts the next version of the configuration in force.
func (b *bed) configure(change func(map[string]any)) {
	b.version++
	route := func(name, kind, service string, public, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000,
			"targetLatencyMs": 400, "gapTargetMs": 400, "service": service, "attempts": 2, "public": public,
			"resumable": resumable, "stickySessions": service == "llm"}
	}
	cfg := map[string]any{
		"version": b.version,
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

// router is a running front.
type router struct {
	*front.Front
	t     *testing.T
	calls string
	ready string
	ids   int
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (b *bed) start(name string) *router {
	return b.startWith(name, func(*front.Config) {})
}

// startWith starts a router with a changed configuration.
func (b *bed) startWith(name string, change func(*front.Config)) *router {
	r := &router{t: b.t, calls: freeAddr(b.t), ready: freeAddr(b.t)}
	log := keepLog(b.t)
	cfg := front.Config{
		Settings: platform.Settings{
			Host: name, Domain: "zone-a", Callers: r.calls, Ready: r.ready, Peers: freeAddr(b.t), Store: b.addr,
			StopTime: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 52,
			HolderQuiet: time.Second, EnginesCheckFences: true, VersionLife: 8 * time.Second, DrainTime: drainTime, ContactTime: time.Second,
		},
		Log: log, LogDropped: func() int64 { return 0 },
	}
	change(&cfg)
	f, err := front.New(cfg)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Front = f
	f.Start()
	b.t.Cleanup(func() { _ = f.Drain() })
	return r
}

// keepLog returns a log that is shown if the test fails.
func keepLog(t *testing.T) *slog.Logger {
	var kept bytes.Buffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(kept.String())
		}
	})
	return slog.New(slog.NewJSONHandler(&kept, nil)) // the handler writes one line at a time
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(poll) {
		if holds() {
			return
		}
	}
	t.Fatal("in vain: " + what)
}

func (r *router) isReady() bool {
	resp, err := http.Get("http://" + r.ready + "/kumquatsill/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bed) startReady(name string) *router {
	b.t.Helper()
	return b.start(name).awaitReady(b)
}

// awaitReady waits until the router serves.
func (r *router) awaitReady(b *bed) *router {
	b.t.Helper()
	eventually(b.t, "the router is ready", r.isReady)
	eventually(b.t, "all endpoints are known", func() bool {
		status, _ := r.call("/order/x", "secret")
		return status == http.StatusOK
	})
	return r
}

func (r *router) request(path, key string) *http.Request {
	r.ids++
	req, err := http.NewRequest(http.MethodPost, "http://"+r.calls+path, strings.NewReader("body"))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Kumquatsill-Attempt-Id", fmt.Sprintf("%s-%d", r.calls, r.ids))
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
	resp, err := http.DefaultClient.Do(r.request(path, key))
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

func events(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, ",")
}

// Guards against the whole path breaking: keys, routes, streams, what an
// endpoint sees.
func TestServes(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/order/1", "secret", 200}, {"/order/1", "wrong", 401}, {"/order/1", "", 401}, {"/none/1", "secret", 404}, {"/open/1", "", 200}, {"/look/1", "secret", 200},
	} {
		if status, _ := r.call(c.path, c.key); status != c.status {
			t.Errorf("%s with key %q: %d, want %d", c.path, c.key, status, c.status)
		}
	}
	if status, body := r.call("/sheet/1", "secret"); status != 200 || events(body) != "1,2,3,4,5" {
		t.Errorf("stream %d %q", status, events(body))
	}
	for _, e := range b.engines {
		for _, run := range e.Runs() {
			if run.Key != "" || run.Account != "t1" && !strings.HasPrefix(run.Target, "/open/") {
				t.Errorf("an endpoint saw %+v", run)
			}
			if e.Model != "" && run.Salt == "" {
				t.Error("a run has no salt")
			}
		}
	}
	req := r.request("/order/1", "secret")
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
	req.ContentLength = 2000
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body beyond the limit: %v, %v", resp, err)
	}
}

// Guards against a second run of a request that may run once, and against
// refusing it as not run.
func TestBrokenOrderIsNotRepeated(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	before := len(b.engines[2].Runs()) + len(b.engines[3].Runs())
	for _, e := range b.engines[2:] {
		e.Fail(func(int) hosting.Failure { return hosting.BreakOff })
	}
	if status, _ := r.call("/order/1", "secret"); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
	if runs := len(b.engines[2].Runs()) + len(b.engines[3].Runs()) - before; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// Guards against giving up a call that may be repeated, or one that did not run.
func TestFailedCallsGoElsewhere(t *testing.T) {
	for name, failure := range map[string]hosting.Failure{"broken": hosting.BreakOff, "error": hosting.ServerError, "shed": hosting.Shed} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.configure(nil)
			r := b.startReady("r1")
			b.engines[2].Fail(func(int) hosting.Failure { return failure })
			for range 4 {
				if status, _ := r.call("/look/1", "secret"); status != 200 {
					t.Errorf("status %d", status)
				}
			}
		})
	}
}

// Guards against a resumable stream that ends, repeats or leaves out an event
// when its engine breaks off within one, and against joining runs of a stream
// that may not be resumed.
func TestBrokenStreams(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	broken := 0
	for _, e := range b.engines[:2] {
		e.Fail(func(int) hosting.Failure {
			if broken++; broken == 2 { // asked once for admission and once for the run
				return hosting.BreakOff
			}
			return hosting.None
		})
	}
	if status, body := r.call("/sheet/1", "secret"); status != 200 || events(body) != "1,2,3,4,5" {
		t.Errorf("resumable: %d %q", status, events(body))
	}
	broken = 0
	if status, body := r.call("/chat/1", "secret"); status != 0 || events(body) != "1,2" {
		t.Errorf("not resumable: %d %q", status, events(body))
	}
}

// Guards against events that are lost when a stream breaks off, since they came
// together with a part of the next event and were not passed on at once.
func TestEventsBeforeABreakReachTheCaller(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Pause = 0
		e.Fail(func(int) hosting.Failure { return hosting.BreakOff })
	}
	for i := range 20 {
		// The same request again would be refused, as it crashes its endpoints.
		resp, err := http.DefaultClient.Do(r.request(fmt.Sprint("/chat/", i), "secret"))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body) // it breaks off
		_ = resp.Body.Close()
		if events(string(body)) != "1,2" {
			t.Fatalf("events %q before the break", events(string(body)))
		}
	}
}

// Guards against an engine that works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.Pause = 10_000, time.Millisecond
	}
	resp, err := http.DefaultClient.Do(r.request("/chat/1", "secret"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	eventually(t, "the engines stop", func() bool { return b.engines[0].Running()+b.engines[1].Running() == 0 })
}

// Guards against a change of the configuration that does not take effect, or
// that an older record reverts, also after the store has deleted records.
func TestConfigurationChanges(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	without := func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "t1", "accessKeys": []string{"new"}, "ratePerS": 0}}
	}
	b.configure(without)
	eventually(t, "the key is withdrawn", func() bool {
		status, _ := r.call("/order/1", "secret")
		return status == http.StatusUnauthorized
	})
	b.version -= 2
	b.configure(nil) // an older version comes late
	b.store.Forget(platform.TopicOperator)
	for range 5 {
		if status, _ := r.call("/order/1", "secret"); status != http.StatusUnauthorized {
			t.Fatalf("the withdrawn key works again: %d", status)
		}
	}
}

// Guards against reporting ready without a configuration, against serving while
// the store is away, and against stopping to serve when it goes away.
func TestStoreOutage(t *testing.T) {
	b := newBed(t)
	b.store.SetDown(true)
	r := b.start("r1")
	eventually(t, "the router answers", func() bool {
		status, _ := r.call("/open/1", "")
		return status == http.StatusServiceUnavailable
	})
	if r.isReady() {
		t.Fatal("ready without a configuration")
	}
	b.configure(nil)
	b.store.SetDown(false)
	eventually(t, "the router serves", func() bool {
		status, _ := r.call("/order/1", "secret")
		return status == 200
	})
	b.store.SetDown(true)
	for range 10 {
		if status, _ := r.call("/order/1", "secret"); status != 200 {
			t.Fatalf("status %d while the store is away", status)
		}
	}
}

// Guards against work for an endpoint that leaves.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	b.register(2, "draining")
	b.store.PutKey(platform.TopicEndpoints, b.engines[1].ID, nil)
	time.Sleep(drainTime)
	before := len(b.engines[1].Runs()) + len(b.engines[2].Runs())
	for range 10 {
		r.call("/order/1", "secret")
		r.call("/chat/1", "secret")
	}
	if runs := len(b.engines[1].Runs()) + len(b.engines[2].Runs()) - before; runs != 0 {
		t.Fatalf("%d runs at endpoints that leave", runs)
	}
}

// Guards against two routers that each let an account spend the whole limit.
func TestLimitHoldsAcrossRouters(t *testing.T) {
	b := newBed(t)
	b.configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": "t1", "accessKeys": []string{"secret"}, "unit": "tokens", "uncachedTokens": 10, "ratePerS": 100, "burst": 400}}
	})
	routers := []*router{b.startReady("r1"), b.startReady("r2")}
	served, started := 0, time.Now()
	for time.Since(started) < 3*time.Second {
		for _, r := range routers {
			if status, _ := r.call("/order/1", "secret"); status == 200 {
				served += 10
			}
		}
	}
	// Rate x time, burst, and what both spend before they hear of each other.
	if limit := 100*4 + 400 + 400; served > limit {
		t.Fatalf("%d tokens were served, the limit is %d", served, limit)
	}
	if served < 300 {
		t.Fatalf("only %d tokens were served", served)
	}
}

// Guards against engines that keep old weights, and against several routers
// ordering them.
func TestWeightsAreUpgraded(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	b.startReady("r2")
	b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": 2})
	eventually(t, "all engines have the version", func() bool { return b.engines[0].Version() == 2 && b.engines[1].Version() == 2 })
	eventually(t, "requests run on the version", func() bool {
		r.call("/chat/1", "secret")
		for _, e := range b.engines[:2] {
			if runs := e.Runs(); len(runs) > 0 && runs[len(runs)-1].Version == 2 && strings.Contains(runs[len(runs)-1].Salt, ".2.") {
				return true
			}
		}
		return false
	})
}

// Guards against a request that begins on an engine's old weights long after
// newer ones were named: it was sent in time and waited at the engine.
func TestWaitingRequestLeavesOldWeights(t *testing.T) {
	const life = 3 * time.Second
	b := newBed(t)
	b.configure(nil)
	for _, e := range b.engines[:2] {
		e.KeepsWeights = true
		e.Fail(func(int) hosting.Failure { return hosting.Hang })
	}
	r := b.startWith("r1", func(cfg *front.Config) { cfg.Settings.VersionLife = life }).awaitReady(b)
	waiting := func() int { return b.engines[0].Running() + b.engines[1].Running() }
	named := time.Now()
	b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": 2})
	done := make(chan int)
	go func() {
		status, _ := r.call("/chat/1", "secret")
		done <- status
	}()
	eventually(t, "a request waits", func() bool { return waiting() == 1 })
	if status := <-done; status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
	eventually(t, "the engine has dropped the request", func() bool { return waiting() == 0 })
	if took := time.Since(named); took > life {
		t.Errorf("the request waited at the engine until %v after the naming", took)
	}
}

// Guards against cutting requests in flight at a stop, and against reporting
// ready while stopping.
func TestDrainEndsRequests(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.Pause = 100, 10*time.Millisecond
	}
	result := make(chan string, 1)
	go func() {
		_, body := r.call("/chat/1", "secret")
		result <- events(body)
	}()
	eventually(t, "the stream runs", func() bool { return b.engines[0].Running()+b.engines[1].Running() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- r.Drain() }()
	eventually(t, "the router is not ready", func() bool { return !r.isReady() })
	if ids := <-result; !strings.HasSuffix(ids, ",100") {
		t.Errorf("the stream ended after %q", ids)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a log that blocks the process when nobody reads it, or loses
// lines without saying so.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	out := front.NewLogWriter(w)
	log := slog.New(slog.NewJSONHandler(out, nil))
	done := make(chan struct{})
	go func() {
		for i := range 20_000 {
			log.Info("line", "n", i)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("logging waits for the reader")
	}
	if out.Dropped() == 0 {
		t.Fatal("no line was dropped although nobody reads")
	}
	go out.Close(patience)
	lines := 0
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if !json.Valid(scanner.Bytes()) {
			t.Fatalf("a line was cut: %q", scanner.Text())
		}
		if lines++; int64(lines)+out.Dropped() == 20_000 {
			break
		}
	}
}

// Guards against a reload that says so and changes nothing, and against one of a
// bad file that stops the router.
func TestReloadPutsSettingsInForce(t *testing.T) {
	b := newBed(t)
	b.configure(nil)
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(revoke bool) {
		t.Helper()
		text := fmt.Sprintf(`{"nodeName": "r1", "zone": "zone-a", "ipAddress": "127.0.0.1",
			"listenAddresses": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}, "internalPortRange": [7600, 7615],
			"heartbeatIntervalMs": 1000, "limits": {"memoryMb": 100},
			"bounds": {"gracePeriodS": 4, "budgetWindowS": 10, "revokeWhenPartitioned": %t, "revokeMs": 0},
			"platform": {"address": "127.0.0.1:3", "form": "log"}}`, revoke)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(true)
	r := b.startWith("r1", func(cfg *front.Config) { cfg.SettingsPath = path })
	served := func() bool {
		status, _ := r.call("/order/1", "secret")
		return status == http.StatusOK
	}
	eventually(t, "the router serves", served)
	r.Reload()
	if served() {
		t.Error("keys are trusted although the settings in force forbid it")
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.Reload()
	if served() {
		t.Error("a file with errors changed the settings")
	}
	write(false)
	r.Reload()
	eventually(t, "the router serves again", served)
}

// Guards against a router that starts although it cannot listen: it would run
// and never be ready, without an error.
func TestAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	for name, set := range map[string]func(*platform.Settings){
		"callers": func(s *platform.Settings) { s.Callers = taken.Addr().String() },
		"ready":   func(s *platform.Settings) { s.Ready = taken.Addr().String() },
	} {
		s := platform.Settings{Callers: freeAddr(t), Ready: freeAddr(t), Peers: freeAddr(t), Store: freeAddr(t)}
		set(&s)
		if _, err := front.New(front.Config{Settings: s, Log: slog.New(slog.DiscardHandler)}); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
