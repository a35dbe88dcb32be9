package front

import (
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against a message or a registration of a router that ends the process, whatever
// its bytes.
func FuzzPeerMessage(f *testing.F) {
	const anyPort = "127.0.0.1:0"
	router, err := New(Config{
		Settings: platform.Settings{Host: "r1", Domain: "a", CallerAddr: anyPort, ReadinessAddr: anyPort, PeerAddr: anyPort, Store: anyPort},
		Log:      slog.New(slog.DiscardHandler), LogDropped: func() int64 { return 0 },
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		_ = router.peerConn.Close()
		_ = router.callerListener.Close()
		_ = router.readinessListener.Close()
	})
	endpoint, err := json.Marshal(map[string]any{
		"service": "s", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "ready", "born": 1, "models": []any{map[string]any{"name": "m", "version": 1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	router.applyEndpoints(driver.Now(), []platform.Record{{Key: "e1", Value: endpoint}})
	f.Add([]byte(`{"counts":{"router":"r2","life":1},"addr":"127.0.0.1:2","domain":"a"}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"loads":[{"endpoint":"e1","for_ms":9223372036854775807}],"silent":["e1"]}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"reached":[{"endpoint":"e1","model":"m","version":9223372036854775807}]}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"store":{"addr":"x","page":{"epoch":1}},"cache":{"endpoint":"e1","started":1,"events":[{"add":true,"n":-1}]}}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"sent_at":9223372036854775807,"facts":{"first":true,"from":-1,"to":9223372036854775807,"crashes":[{"id":"a","traits":{"t":0}},{"id":"b","traits":{"t":9223372036854775807}},{"id":"c","cleared":{"t":-9223372036854775808}}],"trials":[{"id":"d","traits":{"t":1}}],"refused":{"t":-1}},"confirmed":[{"router":0,"life":-1,"read":9223372036854775807}]}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"limits":[{"endpoint":"e1","started":1,"per_s":1e308,"age_ms":-1}],"named":[{"model":"m","version":1,"age_ms":9223372036854775807}]}`))
	f.Add([]byte(`{"counts":{"router":"r2"},"attempts":[{"endpoint":"e1","started":1,"in_ms":9223372036854775807,"reading":-1}],"seen":[{"endpoint":"e1"}]}`))
	f.Add([]byte(`{"addr":"[::1]:0","domain":"a","life":1}`))
	f.Add([]byte(`{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s","timeoutMs":1e300}],"services":[{"name":"s","engine":{"cacheTokens":-1}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := driver.Now()
		if m, err := peer.Decode(data); err == nil {
			router.handlePeerMessage(now, m)
		}
		router.applyRouter(now, platform.Record{Key: "r3", Value: data})
		router.applyOperator(now, platform.Record{Key: "config", Value: data})
		router.applyOperator(now, platform.Record{Key: "version/m", Value: data})
		router.applyEndpoints(now, []platform.Record{{Key: "e2", Value: data}})
		router.runHousekeeping(now)
		router.crashes.Admit(now, []crash.Trait{"t"})
		router.placer.Choose(now, &place.Query{Service: "s", Model: "m", Salt: func(int64) string { return "" }})
		if _, err := peer.Encode(router.newMessage(now, true)); err != nil && len(data) < peer.MaxBytes/10 {
			t.Logf("the next message is not encoded: %v", err)
		}
	})
}
