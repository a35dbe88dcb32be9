package front_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/leader"
	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against two routers that order engines at the same time, because the claim of the
// one is followed by a record that cannot be read.
func TestUnreadableClaimDoesNotFreeTheLease(t *testing.T) {
	b := newTestbed(t)
	b.configure(nil)
	b.startReady("r1")
	b.store.PutContent(platform.TopicLease, []byte(`{"holder":"r0"}`))
	b.store.PutContent(platform.TopicLease, []byte("odd"))
	b.store.PutKey(platform.TopicOperator, "version/m", map[string]any{"model": "m", "version": 2})
	announced := time.Now()
	loaded := func() bool { return b.engines[0].Version() == 2 && b.engines[1].Version() == 2 }
	eventually(t, "an engine has the version", func() bool { return b.engines[0].Version() == 2 || b.engines[1].Version() == 2 })
	if took := time.Since(announced); took < leader.TTL {
		t.Errorf("an engine was ordered to load %v after a claim that counts for %v", took, leader.TTL)
	}
	eventually(t, "all engines have the version", loaded)
}
