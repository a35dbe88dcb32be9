package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// longestSilence is that of a sound endpoint, changesTime how long changes go on.
	longestSilence = 1800 * time.Millisecond
	changesTime    = 12 * time.Second
)

// silentWriter holds back what an endpoint sends while it is silent.
type silentWriter struct {
	http.ResponseWriter
	until *atomic.Int64
}

func (w silentWriter) Write(data []byte) (int, error) {
	w.await()
	return w.ResponseWriter.Write(data)
}

func (w silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w silentWriter) await() {
	for left := time.Until(time.Unix(0, w.until.Load())); left > 0; left = time.Until(time.Unix(0, w.until.Load())) {
		time.Sleep(left)
	}
}

// changingTestbed has sound endpoints that fall silent for a second or so, and routers.
type changingTestbed struct {
	*testbed
	rng          *rand.Rand
	silentUntil  []*atomic.Int64
	routers      []*router
	modelVersion int
	mu           sync.Mutex
	// results counts requests by kind, status and events.
	results map[string]int
}

func newChangingTestbed(t *testing.T) *changingTestbed {
	b := &changingTestbed{testbed: newTestbed(t), rng: rand.New(rand.NewPCG(1, 1)), modelVersion: 1, results: map[string]int{}}
	for i := 4; i < 8; i++ {
		service, model := "llm", "m"
		if i >= 6 {
			service, model = "plain", ""
		}
		b.engines = append(b.engines, hosting.NewEngine(fmt.Sprint("i-", i), service, model))
		b.addrs = append(b.addrs, "")
	}
	for i, e := range b.engines {
		e.Events, e.EventInterval = 8, 100*time.Millisecond
		until := &atomic.Int64{}
		b.silentUntil = append(b.silentUntil, until)
		b.addrs[i] = b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			silent := silentWriter{w, until}
			silent.await()
			e.ServeHTTP(silent, r)
		}))
		b.register(i, "ready")
	}
	b.changeConfig()
	b.routers = []*router{b.startReady("r1"), b.startReady("r2")}
	return b
}

// changeConfig changes time limits, the idle limit and the routes.
func (b *changingTestbed) changeConfig() {
	n := int(b.configVersion)
	b.configure(func(cfg map[string]any) {
		cfg["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 0
		for i, route := range cfg["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = 9000 + 500*((n+i)%4)
		}
		cfg["routes"] = append(cfg["routes"].([]any), map[string]any{
			"name": fmt.Sprint("more", n), "host": "h.example", "pathPrefix": fmt.Sprintf("/more%d/", n), "kind": "safe", "timeoutMs": 5000, "service": "plain", "attempts": 2,
		})
		cfg["limits"] = map[string]any{"bodyBytes": 1000 + n, "idleMs": 2000 + 1000*(n%3)}
	})
}

// change makes some planned changes, and lets some endpoints fall silent.
func (b *changingTestbed) change() {
	switch b.rng.IntN(3) {
	case 0:
		b.changeConfig()
	case 1:
		b.modelVersion++
		b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": b.modelVersion})
	case 2:
		i := b.rng.IntN(len(b.engines))
		b.register(i, "draining")
		time.AfterFunc(longestSilence, func() { b.register(i, "ready") })
	}
	for _, i := range b.rng.Perm(len(b.engines))[:3] {
		silence := longestSilence/2 + time.Duration(b.rng.Int64N(int64(longestSilence/2)))
		b.silentUntil[i].Store(time.Now().Add(silence).UnixNano())
	}
}

// call sends one request and records how it ended.
func (b *changingTestbed) call(r *router, path string) {
	b.mu.Lock()
	req := r.request(path, "secret")
	b.mu.Unlock()
	req.Header.Set("Kumquatsill-Deadline-Remaining", "9000")
	status, body := r.do(req)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results[fmt.Sprintf("%s: %d, events %q", path[:6], status, eventIDs(body))]++
}

// Guards against requests that get neither an answer nor a refusal while sound endpoints
// fall silent for a second or so, beside changes of the configuration, new weights and
// endpoints that drain (incident unanswered-after-silence).
func TestNothingIsLostBesideSilenceAndChanges(t *testing.T) {
	b := newChangingTestbed(t)
	var callers sync.WaitGroup
	end := time.Now().Add(changesTime)
	for c := range 20 {
		callers.Go(func() {
			for n := c; time.Now().Before(end); n++ {
				b.call(b.routers[n%2], fmt.Sprintf("%s/%d-%d", []string{"/sheet", "/chat/", "/look/", "/order"}[n/2%4], c, n))
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(longestSilence)
		b.change()
	}
	callers.Wait()
	whole := map[string]bool{
		`/sheet: 200, events "1,2,3,4,5,6,7,8"`: true, `/chat/: 200, events "1,2,3,4,5,6,7,8"`: true,
		`/look/: 200, events ""`: true, `/order: 200, events ""`: true,
	}
	for result, n := range b.results {
		if !whole[result] {
			t.Errorf("%d x %s", n, result)
		}
	}
	t.Log(b.results)
}
