package front_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
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

// A change of the configuration must take effect, and an older record must not
// revert it, even after the store has deleted records.
func TestConfigurationChanges(t *testing.T) {
	b := newTestbed(t)
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
	b.configVersion -= 2
	b.configure(nil) // a late record with an older version
	b.store.Truncate(platform.TopicOperator)
	for range 5 {
		if status, _ := r.call("/order/1", "secret"); status != http.StatusUnauthorized {
			t.Fatalf("the withdrawn key works again: %d", status)
		}
	}
}

// Guards against a configuration that comes too late because a waiting read missed it:
// two records that the store appends within 20 ms (lkt-sill, trouble-2 --seed
// 876136169146: in force after 2.1 s, 2 s are allowed).
func TestMissedWakeupDoesNotDelayConfiguration(t *testing.T) {
	const limit = 2 * time.Second
	b := newTestbed(t)
	b.configure(nil)
	r := b.startWith("r1", func(cfg *front.Config) {
		cfg.Settings.ContactTimeout, cfg.Settings.ConfigTimeout = 5*time.Second, limit
	}).awaitReady(b)
	b.store.SetLosesWakeups(true)
	b.configure(nil) // wakes the read under way, and the next one misses what follows
	time.Sleep(50 * time.Millisecond)
	b.configure(func(cfg map[string]any) { cfg["tenants"] = []any{} })
	published := time.Now()
	eventually(t, "the configuration is in force", func() bool {
		status, _ := r.call("/order/x", "secret")
		return status == http.StatusUnauthorized
	})
	if took := time.Since(published); took > limit {
		t.Errorf("the configuration was in force after %v", took)
	}
}

// A router must not be ready or serve before it has read a configuration, and
// must keep serving when the store becomes unreachable afterwards.
func TestStoreOutage(t *testing.T) {
	b := newTestbed(t)
	b.store.SetDown(true)
	r := b.start("r1")
	eventually(t, "the router responds", func() bool {
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
			t.Fatalf("status %d while the store is unreachable", status)
		}
	}
}

// An endpoint that is draining or deregistered must get no work.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	b := newTestbed(t)
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
		t.Fatalf("%d runs at leaving endpoints", runs)
	}
}

// Two routers must not each allow an account the whole limit.
func TestLimitHoldsAcrossRouters(t *testing.T) {
	b := newTestbed(t)
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
	// Rate times duration, plus the burst, plus what both routers spend before they
	// receive each other's counts.
	if limit := 100*4 + 400 + 400; served > limit {
		t.Fatalf("%d tokens were served, the limit is %d", served, limit)
	}
	if served < 300 {
		t.Fatalf("only %d tokens were served", served)
	}
}

// Engines must be upgraded to an announced version when several routers run, of
// which only one orders engines to load it, and requests must then run on it.
func TestWeightsAreUpgraded(t *testing.T) {
	b := newTestbed(t)
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

// A request that was sent in time but queued at the engine must not begin on old
// weights long after newer ones were announced.
func TestWaitingRequestLeavesOldWeights(t *testing.T) {
	const versionLifetime = 3 * time.Second
	b := newTestbed(t)
	b.configure(nil)
	for _, e := range b.engines[:2] {
		e.RejectsLoads = true
		e.SetFailure(func(int) hosting.Failure { return hosting.Hang })
	}
	r := b.startWith("r1", func(cfg *front.Config) { cfg.Settings.VersionLifetime = versionLifetime }).awaitReady(b)
	waiting := func() int { return b.engines[0].Running() + b.engines[1].Running() }
	announced := time.Now()
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
	if took := time.Since(announced); took > versionLifetime {
		t.Errorf("the request waited at the engine until %v after the announcement", took)
	}
}

// A drain must complete the requests in flight, and the router must not be ready
// meanwhile.
func TestDrainEndsRequests(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, e := range b.engines[:2] {
		e.Events, e.EventInterval = 100, 10*time.Millisecond
	}
	result := make(chan string, 1)
	go func() {
		_, body := r.call("/chat/1", "secret")
		result <- eventIDs(body)
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

// Logging must not block if nobody reads the output, and dropped lines must be
// counted.
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
	case <-time.After(testTimeout):
		t.Fatal("logging blocks until the output is read")
	}
	if out.Dropped() == 0 {
		t.Fatal("no line was dropped although nobody reads the output")
	}
	go out.Close(testTimeout)
	lines := 0
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if !json.Valid(scanner.Bytes()) {
			t.Fatalf("truncated line: %q", scanner.Text())
		}
		if lines++; int64(lines)+out.Dropped() == 20_000 {
			break
		}
	}
}

// A reload must put the new settings in force. A reload of an invalid file must
// change nothing and not stop the router.
func TestReloadPutsSettingsInForce(t *testing.T) {
	b := newTestbed(t)
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
		t.Error("keys are accepted although the new settings forbid it")
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.Reload()
	if served() {
		t.Error("an invalid file changed the settings")
	}
	write(false)
	r.Reload()
	eventually(t, "the router serves again", served)
}

// A router that cannot listen on an address must fail to start; otherwise it
// would run without ever becoming ready, and report no error.
func TestAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	for name, set := range map[string]func(*platform.Settings){
		"callers": func(s *platform.Settings) { s.CallerAddr = taken.Addr().String() },
		"ready":   func(s *platform.Settings) { s.ReadinessAddr = taken.Addr().String() },
	} {
		s := platform.Settings{CallerAddr: freeAddr(t), ReadinessAddr: freeAddr(t), PeerAddr: freeAddr(t), Store: freeAddr(t)}
		set(&s)
		if _, err := front.New(front.Config{Settings: s, Log: slog.New(slog.DiscardHandler)}); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
