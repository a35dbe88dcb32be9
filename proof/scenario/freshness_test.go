package scenario_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/scenario"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

func startRun(t *testing.T, seed uint64) *scenario.Run {
	t.Helper()
	r, err := scenario.Start(seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, f := range r.Failures {
			t.Errorf("at %v: %s: %s", f.At.Sub(0), f.Invariant, f.Detail)
		}
	})
	return r
}

// disconnect drops all messages between a router and the addresses for which
// isCut returns true.
func disconnect(r *scenario.Run, router proto.Addr, d time.Duration, isCut func(proto.Addr) bool) {
	r.InjectMessageFaults(d, func(e proto.Envelope) drive.MessageFault {
		return drive.MessageFault{Drop: e.From == router && isCut(e.To) || e.To == router && isCut(e.From)}
	})
}

func isLog(a proto.Addr) bool { return a == proto.Log }

func isLogOrRouter(a proto.Addr) bool { return isLog(a) || a.Role == proto.RoleRouter }

// withdrawKey submits a note that withdraws the key of account 2 through router i.
func withdrawKey(r *scenario.Run, i int) {
	r.Submit(i, "withdrawal", note.Note{BasedOn: 1, Withdrawn: note.Withdrawn{Keys: []proto.KeyHash{r.Key(2)}}})
}

// Guards against a router that still serves requests with a key although it can
// no longer prove that its configuration is current, or that never serves again.
func TestIsolatedRouterStopsKeyedTraffic(t *testing.T) {
	r := startRun(t, 1)
	disconnect(r, r.RouterAddr(0), 20*time.Second, isLogOrRouter)
	r.Sim.Run(5 * time.Second)
	stale := r.Send(0, r.Generation(1, 1))
	served := r.Send(1, r.Generation(1, 1))
	r.Sim.Run(20 * time.Second)
	again := r.Send(0, r.Generation(1, 1))
	r.Finish()
	if stale.Refusal == nil || stale.Refusal.Cause != proto.CauseStale || stale.Refusal.Verdict != proto.NotRun {
		t.Errorf("the isolated router returned %+v, %+v; want a refusal because its configuration is stale, not run", stale.Finish, stale.Refusal)
	}
	if served.Finish == nil || again.Finish == nil {
		t.Errorf("another router: %+v; after the isolation: %+v", served.Refusal, again.Refusal)
	}
}

// Guards against a router that cannot reach the log and refuses requests although
// its peers keep its configuration current, or that accepts a withdrawn key.
func TestRouterWithoutLogLearnsFromPeers(t *testing.T) {
	r := startRun(t, 2)
	disconnect(r, r.RouterAddr(0), 40*time.Second, isLog)
	r.Sim.Run(8 * time.Second)
	before := r.Send(0, r.Generation(2, 1))
	r.Sim.Run(5 * time.Second)
	withdrawKey(r, 1)
	r.Oracle.KeyWithdrawn(r.Key(2), r.Sim.Now())
	r.Sim.Run(5 * time.Second)
	after := r.Send(0, r.Generation(2, 1))
	r.Finish()
	if before.Finish == nil {
		t.Errorf("refused although its peers read the log: %+v", before.Refusal)
	}
	if after.Refusal == nil || after.Refusal.Cause != proto.CauseUnknownKey {
		t.Errorf("a withdrawn key got %+v, %+v", after.Finish, after.Refusal)
	}
}

// Guards against routers that, during a general outage of the log, refuse requests
// that do not need the log or run requests that do.
func TestGeneralOutageRefusesOnlyWhatNeedsTheLog(t *testing.T) {
	for _, outage := range []logsvc.Outage{logsvc.Refusing, logsvc.Silent} {
		r := startRun(t, 3)
		r.Log.SetOutage(outage)
		for range 30 {
			r.Sim.Run(2 * time.Second)
			a := r.Send(r.Sim.Rand().IntN(3), r.Generation(1, 1))
			r.Sim.Run(2 * time.Second)
			if a.Refusal != nil {
				t.Errorf("refused %v after the start of the outage: %+v", r.Sim.Now().Sub(0), a.Refusal)
				break
			}
		}
		order := r.Send(0, r.Order(1, "k"))
		r.Sim.Run(20 * time.Second)
		if order.Refusal == nil || order.Refusal.Verdict != proto.NotRun || order.Refusal.RetryAfter == 0 {
			t.Errorf("an order without the log got %+v, %+v; want not_run with a time to retry", order.Finish, order.Refusal)
		}
		r.Log.SetOutage(logsvc.NoOutage)
		r.Sim.Run(20 * time.Second)
		again := r.Send(0, r.Order(1, "k"))
		r.Finish()
		if again.Finish == nil {
			t.Errorf("the order was refused after the outage: %+v", again.Refusal)
		}
	}
}

// Guards against an open stream that continues after its key was withdrawn.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	r := startRun(t, 4)
	req := r.Generation(2, 1)
	req.MaxTokens = 2000
	a := r.Send(0, req)
	r.Sim.Run(time.Second)
	withdrawKey(r, 1)
	r.Oracle.KeyWithdrawn(r.Key(2), r.Sim.Now())
	r.Finish()
	if a.Refusal == nil || a.Refusal.Cause != proto.CauseKeyWithdrawn {
		t.Errorf("the stream ended with %+v, %+v, want a refusal for the withdrawn key", a.Finish, a.Refusal)
	}
}
