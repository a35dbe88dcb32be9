package peer_test

import (
	"fmt"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Pattern: a failure domain of twenty routers follows the caches of 180 engines. Guards
// against reads that grow with the number of routers, one router that reads for all, and
// many engines that change their reader when one router fails.
func TestEnginesAreReadByOneRouterEach(t *testing.T) {
	const routers, engines = 20, 180
	var all []proto.RouterID
	for i := range routers {
		all = append(all, proto.RouterID(fmt.Sprint("r", i)))
	}
	reads, moved := map[proto.RouterID]int{}, 0
	for i := range engines {
		engine := proto.EndpointID(fmt.Sprint("e", i))
		reader := peer.Reader(engine, all)
		reads[reader]++
		rotated := append(append([]proto.RouterID{}, all[7:]...), all[:7]...)
		if peer.Reader(engine, rotated) != reader {
			t.Fatalf("the reader of %s depends on the order of the routers", engine)
		}
		if peer.Reader(engine, all[1:]) != reader {
			moved++
		}
	}
	if moved != reads[all[0]] {
		t.Errorf("%d engines change their reader without %s, which reads %d", moved, all[0], reads[all[0]])
	}
	for _, r := range all {
		if n := reads[r]; n > 3*engines/routers {
			t.Errorf("%s reads %d of %d engines", r, n, engines)
		}
	}
	if peer.Reader("e", nil) != "" {
		t.Error("an engine has a reader without routers")
	}
}

// Guards against events that do not fit into a datagram, and against a cache that is
// emptied again by each part of a long list of events.
func TestSplitEventsFitIntoMessages(t *testing.T) {
	const count = 2500
	all := peer.CacheEvents{Endpoint: "i-1234567890", Started: 1 << 40, Restarted: true}
	for i := range count {
		all.Events = append(all.Events, place.PartEvent{Added: true, Key: place.PartKey(1<<63 + uint64(i)), Tokens: 1 << 20})
	}
	n := 0
	for i, part := range all.Split() {
		if part.Restarted != (i == 0) {
			t.Errorf("part %d tells of a restart: %t", i, part.Restarted)
		}
		data, err := peer.Encode(peer.Message{CacheEvents: &part})
		if err != nil {
			t.Fatal(err)
		}
		m, err := peer.Decode([]byte(`{"counts":{"router":"r"},` + string(data[len(`{"counts":{"router":"","life":0},`):])))
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range m.CacheEvents.Events {
			if e != all.Events[n] {
				t.Fatalf("event %d is %+v, want %+v", n, e, all.Events[n])
			}
			n++
		}
	}
	if n != count {
		t.Errorf("%d of %d events arrive", n, count)
	}
}
