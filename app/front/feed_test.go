package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/platform"
)

// lateCaller answers a call when the test releases it, even after its timeout, as calls in
// a delayed process do.
type lateCaller struct{ begun, release chan struct{} }

func (c lateCaller) Call(context.Context, platform.ControlCall) (int, []byte, error) {
	c.begun <- struct{}{}
	<-c.release
	return http.StatusOK, []byte(`{"epoch":1,"nextPageToken":5,"events":[]}`), nil
}

// Guards against overlapping reads of one engine's events, which raced on the position of
// the feed when the process was delayed beyond the timeout of a read.
func TestEngineFeedReadsDoNotOverlap(t *testing.T) {
	caller := lateCaller{begun: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	states := endpointstate.New(endpointstate.Router{ID: "r1", Domain: "zone-a"})
	f := &Front{
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), endpointStates: states, table: discovery.NewTable(),
		placer:  place.New(place.Config{Domain: "zone-a", Costs: place.DefaultCosts(), States: states}),
		engines: platform.NewEngineClient(caller),
	}
	now := driver.Now()
	engine := &discovery.Endpoint{ID: "i-1", Started: 1, Service: "llm", Addr: "127.0.0.1:9", Domain: "zone-a", Slots: 8, Versions: map[string]int64{"m": 1}}
	f.table.Put(now, engine)
	f.placer.Update(f.table.Snapshot())
	f.tomb.Go(func() error { <-f.tomb.Dying(); return nil }) // a tomb without goroutines is dead
	step := f.followEngines(context.Background())
	begins := func(d time.Duration) bool {
		select {
		case <-caller.begun:
			return true
		case <-time.After(d):
			return false
		}
	}
	advance := func() proto.Instant { now = now.Add(engineFeedInterval); return now }

	step(now)
	if !begins(5 * time.Second) {
		t.Fatal("no read of an engine that is due")
	}
	for range 3 {
		step(advance())
	}
	if begins(100 * time.Millisecond) {
		t.Error("a second read began before the first one ended")
	}
	for range 10 { // releases all calls
		caller.release <- struct{}{}
	}
	for end := time.Now().Add(5 * time.Second); ; {
		step(advance())
		if begins(20 * time.Millisecond) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no read after the end of the first one")
		}
	}
	f.tomb.Kill(nil)
	if err := f.tomb.Wait(); err != nil {
		t.Error(err)
	}
}
