package relay_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

type fixedBudget struct{ left int }

func (b *fixedBudget) TakeFor(proto.Instant, relay.Claim) relay.Grant {
	b.left--
	if b.left >= 0 {
		return relay.Granted
	}
	return relay.Spent
}

// take spends a retry for a request that nothing else can save.
func take(b *relay.RetryBudget, now proto.Instant) bool {
	return b.TakeFor(now, relay.Claim{Need: relay.NothingElse}) == relay.Granted
}

var results = []relay.Result{
	relay.Completed, relay.Failed, relay.Unusable, relay.Shed, relay.Misdirected, relay.Unreachable,
	relay.Broken, relay.Stalled, relay.Outdated, relay.CallerGone, relay.DeadlineExceeded,
}

func parseResult(t *testing.T, name string) relay.Result {
	for _, r := range results {
		if r.String() == name {
			return r
		}
	}
	t.Fatalf("unknown result %q", name)
	return 0
}

// Guards against running a request more often than its kind and route allow, and
// against reporting a request as not run that may have run.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, d *datadriven.TestData) string {
		route := &serving.Route{Attempts: 1}
		budget := &fixedBudget{left: 10}
		left := time.Second
		d.MaybeScanArgs(t, "attempts", &route.Attempts)
		d.MaybeScanArgs(t, "budget", &budget.left)
		if d.HasArg("no-time") {
			left = time.Millisecond
		}
		switch d.Cmd {
		case "idempotent":
			route.Kind = serving.Idempotent
		case "stream":
			route.Kind = serving.Stream
			route.Resumable = d.HasArg("resumable")
		}
		r := relay.New(route, budget)
		var out strings.Builder
		for name := range strings.FieldsSeq(d.Input) {
			if begin(r.Delivery(), name) {
				continue
			}
			switch name {
			case "reserve": // during an attempt
				fmt.Fprintf(&out, "reserve: %s\n", cmp.Or(r.ReserveRetry(0, left), "reserved"))
				continue
			case "resume":
				if d, ok := r.Resume(0); !ok {
					fmt.Fprintf(&out, "%s: %s (%s)\n", name, d.Action, d.Reason)
				}
				continue
			case "no_endpoint":
				d := r.NoEndpoint(name, 0)
				fmt.Fprintf(&out, "%s: %s (%s)\n", name, d.Action, d.Reason)
				continue
			}
			name, endpoint, _ := strings.Cut(name, "@")
			r.AttemptStarted(proto.EndpointID(cmp.Or(endpoint, fmt.Sprint(r.Sends()))))
			a := r.AttemptEnded(0, parseResult(t, name), left)
			fmt.Fprintf(&out, "%s: %s (%s)", name, a.Action, a.Reason)
			if to := r.ReturnTo(); to != nil && (a.Action == relay.Retry || a.Action == relay.Wait) {
				fmt.Fprintf(&out, " at %v", to)
			}
			out.WriteString("\n")
		}
		return out.String()
	})
}

// begin records that a part of a response was sent, if the name is one of a part.
func begin(d *relay.Delivery, name string) bool {
	switch name {
	case "event":
		d.BeginStream()
		d.EventSent(relay.Event{ID: 1, HasID: true, HasData: true})
	case "event-without-id":
		d.BeginStream()
		d.EventSent(relay.Event{HasData: true})
	case "comment":
		d.BeginStream()
		d.EventSent(relay.Event{})
	case "body":
		d.BeginBody()
	default:
		return false
	}
	return true
}

// Guards against reporting a request as not run, and against retrying one that
// must not be repeated, after an attempt that may have run. Covers every sequence
// of three results and every kind of route.
func TestRefusedAsNotRunNeverRan(t *testing.T) {
	for kind := range 4 {
		route := &serving.Route{Attempts: 3, Kind: serving.Kind(min(kind, 2)), Resumable: kind == 3}
		for n := range len(results) * len(results) * len(results) {
			r := relay.New(route, &fixedBudget{left: 10})
			mayHaveRun := false
			for range 3 {
				result := results[n%len(results)]
				n /= len(results)
				mayHaveRun = mayHaveRun || result.Verdict() != proto.NotRun
				r.AttemptStarted("e")
				a := r.AttemptEnded(0, result, time.Second)
				if a.Action == relay.Refuse && mayHaveRun {
					t.Fatalf("refused as not run, but the request of kind %s may have run", route.Kind)
				}
				if a.Action == relay.Retry && mayHaveRun && !route.Repeatable() {
					t.Fatalf("retried although the request of kind %s may have run", route.Kind)
				}
				if a.Action != relay.Retry {
					break
				}
			}
		}
	}
}

// Guards against more retries in any window than the ratio and the reserve allow,
// under bursts, pauses and an outage in which every request is retried.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	cfg := relay.BudgetConfig{Ratio: 0.12, Window: 10 * time.Second, Reserve: 4.5}
	b := relay.NewRetryBudget(0, cfg)
	const tick = 20 * time.Millisecond
	const ticks = int(10 * time.Second / tick)
	var requests, retries []int
	for i := range 6 * ticks {
		now := proto.Instant(time.Duration(i) * tick)
		perTick := 1
		switch {
		case i%ticks < ticks/5:
			perTick = 4
		case i%ticks > 4*ticks/5:
			perTick = 0
		}
		taken := 0
		for range perTick {
			b.RecordRequest(now, 0)
		}
		for take(b, now) {
			taken++
		}
		requests, retries = append(requests, perTick), append(retries, taken)
	}
	for from := 0; from+ticks <= len(retries); from++ {
		sent, again := 0, 0
		for i := from; i < from+ticks; i++ {
			sent += requests[i]
			again += retries[i]
		}
		if limit := 0.2*float64(sent) + 3*cfg.Reserve; float64(again) > limit {
			t.Fatalf("%d retries for %d requests in the window starting at tick %d, want at most %.1f", again, sent, from, limit)
		}
	}
}

// Guards against a router that keeps the reserve of the whole fleet because it
// created the budget before it knew of the other routers.
func TestBudgetFollowsItsConfiguration(t *testing.T) {
	cfg := relay.BudgetConfig{Ratio: 0.1, Window: 10 * time.Second, Reserve: 40}
	b := relay.NewRetryBudget(0, cfg)
	cfg.Reserve = 2
	b.Configure(0, cfg)
	taken := 0
	for take(b, 0) {
		taken++
	}
	if taken != 2 {
		t.Errorf("%d retries without any request, want the new reserve of 2", taken)
	}
	cfg.Reserve = 40
	b.Configure(0, cfg)
	if take(b, 0) {
		t.Error("a larger reserve is available at once, want a refill over the window")
	}
	if !take(b, proto.Instant(time.Second)) {
		t.Error("a larger reserve does not refill")
	}
}
