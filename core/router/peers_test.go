package router

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// registeredRouters returns "self" and n other registered routers.
func registeredRouters(n int) map[proto.RouterID]configlog.RouterState {
	known := map[proto.RouterID]configlog.RouterState{"self": {Router: "self"}}
	for i := range n {
		id := proto.RouterID(fmt.Sprintf("r%d", i))
		known[id] = configlog.RouterState{Router: id}
	}
	return known
}

// Guards against the removal of routers behind a network partition together with
// their static slots, although they may still be serving.
func TestManySilentRoutersAreNotRemoved(t *testing.T) {
	for _, c := range []struct {
		routers, silent, removed int
	}{{2, 1, 1}, {2, 2, 0}, {8, 2, 2}, {8, 3, 0}} {
		ctl := New(Config{ID: "self", Addr: "127.0.0.1:1", Incarnation: "self"}).Control()
		ctl.peers = newPeers("self", rand.New(rand.NewPCG(1, 1)))
		ctl.peers.update(0, registeredRouters(c.routers))
		now := proto.Instant(2 * time.Minute)
		for i := c.silent; i < c.routers; i++ {
			ctl.peers.recordHeartbeat(now, proto.PeerBeat{Router: proto.RouterID(fmt.Sprintf("r%d", i))})
		}
		readHead(ctl, now)
		ctl.removeSilentRouters(now)
		if got := ctl.log.Pending(); got != c.removed {
			t.Errorf("%d of %d routers are silent: %d removed, want %d", c.silent, c.routers, got, c.removed)
		}
	}
}

// readHead makes the control state machine read an empty log at now.
func readHead(c *Control, now proto.Instant) {
	c.log.Tick(now)
	for _, e := range c.log.Take() {
		if m, ok := e.Msg.(proto.LogRead); ok {
			c.log.Step(now, proto.Envelope{From: proto.Log, To: c.Self(), Msg: proto.LogRecords{Call: m.Call, Stream: m.Stream}})
		}
	}
	c.ready = true
}

// Guards against a router that concludes a general outage of the log from the
// reports of only a sample of the routers: if the fleet is partitioned into two
// regions, the whole sample may be on one side.
func TestNoOutageFromSampledRouters(t *testing.T) {
	for _, c := range []struct {
		routers int
		outage  bool
	}{{2, true}, {maxHeartbeatPeers, true}, {maxHeartbeatPeers + 1, false}} {
		ctl := New(Config{ID: "self", Addr: "127.0.0.1:1", Incarnation: "self"}).Control()
		known := registeredRouters(c.routers)
		applyRegistrations(t, ctl, known)
		ctl.peers.update(0, known)
		now := proto.Instant(time.Minute)
		for id := range ctl.peers.selected {
			ctl.fresh.reports[id] = peerReport{at: now}
		}
		if got := ctl.isLogOutage(now); got != c.outage {
			t.Errorf("%d other routers cannot read the log: outage %v, want %v", c.routers, got, c.outage)
		}
	}
}

// applyRegistrations registers routers in the config state of c.
func applyRegistrations(t *testing.T, c *Control, known map[proto.RouterID]configlog.RouterState) {
	t.Helper()
	for i, id := range slices.Sorted(maps.Keys(known)) {
		body, err := json.Marshal(configlog.Registration{Router: id, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slot: configlog.NoSlot})
		if err != nil {
			t.Fatal(err)
		}
		rec := proto.Record{ID: proto.RecordID(id) + ".1", Kind: configlog.KindRegistration, Offset: proto.Offset(i), Body: body}
		if res := c.state.Apply(rec); res.Outcome != configlog.Applied {
			t.Fatal(res)
		}
	}
}

// Guards against one router holding all bucket parts of a group, so that its loss
// leaves the accounts of the group without tokens.
func TestPartsOfAGroupAreWithDifferentRouters(t *testing.T) {
	for n := 2; n <= 5; n++ {
		ctl := New(Config{ID: "self", Addr: "127.0.0.1:1", Incarnation: "self"}).Control()
		known := registeredRouters(n - 1)
		applyRegistrations(t, ctl, known)
		for group := range 20 {
			first := map[proto.RouterID]bool{}
			for part := range 3 {
				for id := range known {
					if rankOf(id, fmt.Sprint(group), part, ctl.state.Snapshot()) == 0 {
						first[id] = true
					}
				}
			}
			if want := min(n, 3); len(first) != want {
				t.Errorf("%d routers: the parts of group %d begin with %d of them, want %d", n, group, len(first), want)
			}
		}
	}
}
