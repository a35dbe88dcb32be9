package front_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/platform"
)

// putOddRegistrations writes registrations that no endpoint writes, under a key.
func (b *testbed) putOddRegistrations(key string) {
	sound, err := json.Marshal(b.engines[2].Registration(b.addrs[2], "zone-a", "ready"))
	if err != nil {
		b.t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(sound, &fields); err != nil {
		b.t.Fatal(err)
	}
	for name, value := range map[string]any{
		"address": "127.0.0.1:0", "slots": 1e30, "born": int64(9e18), "state": "odd", "zone": 7, "models": []int{1},
	} {
		odd := map[string]any{}
		for n, v := range fields {
			odd[n] = v
		}
		odd[name] = value
		b.store.PutKey(platform.TopicEndpoints, key, odd)
	}
	b.store.PutBytes(platform.TopicEndpoints, key, bytes.Repeat([]byte("["), 200_000))
	b.store.PutBytes(platform.TopicEndpoints, key, []byte{0xff, 0})
	b.store.PutContent(platform.TopicEndpoints, nil)
	b.store.PutContent(platform.TopicEndpoints, []byte{9, 'x'})
}

// Guards against a router that ends, stops following the registrations, or cannot start,
// because another writer left odd ones among them.
func TestOddRegistrationsDoNotStopTheRouter(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	r := b.startReady("r1")
	for _, key := range []string{"odd", b.engines[2].ID, b.engines[3].ID, ""} {
		b.putOddRegistrations(key)
	}
	time.Sleep(drainTime)
	checkServed(t, r)
	b.register(2, "draining")
	b.register(3, "ready")
	started := b.startReady("r2")
	time.Sleep(drainTime)
	before := len(b.engines[2].Runs())
	checkServed(t, r, started)
	if runs := len(b.engines[2].Runs()) - before; runs > 0 {
		t.Errorf("%d runs at an endpoint that has left since the odd registrations", runs)
	}
}

// checkServed checks that routers serve requests for plain endpoints.
func checkServed(t *testing.T, routers ...*router) {
	t.Helper()
	for range 20 {
		for _, r := range routers {
			if status, _ := r.call("/look/1", "secret"); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
	}
}
