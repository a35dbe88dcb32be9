package relay_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// claims is a budget that records what it is asked for.
type claims []relay.Claim

func (c *claims) TakeFor(_ proto.Instant, claim relay.Claim) relay.Grant {
	*c = append(*c, claim)
	return relay.Granted
}

// Guards against spending the last of the retry budget on requests that their callers can
// repeat, while others are lost with it (917 requests refused for want of budget in ten
// seconds of one day).
func TestNeedOfARetry(t *testing.T) {
	const long, short = 4 * time.Second, time.Second
	for name, c := range map[string]struct {
		route  serving.Route
		result relay.Result
		left   time.Duration
		want   relay.Need
	}{
		"order at a full endpoint":                {serving.Route{}, relay.Shed, long, relay.CallerReturns},
		"order at a replaced endpoint":            {serving.Route{}, relay.Misdirected, long, relay.CallerReturns},
		"order at a full endpoint, little time":   {serving.Route{}, relay.Shed, short, relay.NothingElse},
		"idempotent with the endpoint's own 500":  {serving.Route{Kind: serving.Idempotent}, relay.Failed, long, relay.CallerRepeats},
		"idempotent with a 500, little time":      {serving.Route{Kind: serving.Idempotent}, relay.Failed, short, relay.NothingElse},
		"resumable stream that has broken off":    {serving.Route{Kind: serving.Stream, Resumable: true}, relay.Broken, long, relay.NothingElse},
		"resumable stream at a full endpoint":     {serving.Route{Kind: serving.Stream, Resumable: true}, relay.Shed, long, relay.CallerReturns},
		"resumable stream at a silent endpoint":   {serving.Route{Kind: serving.Stream, Resumable: true}, relay.Stalled, long, relay.NothingElse},
		"idempotent, endpoint accepts no request": {serving.Route{Kind: serving.Idempotent}, relay.Unreachable, long, relay.CallerReturns},
	} {
		var asked claims
		c.route.Attempts = 2
		r := relay.New(&c.route, &asked)
		r.SetRank(3)
		r.AttemptStarted("e")
		if d := r.AttemptEnded(0, c.result, c.left); d.Action != relay.Retry {
			t.Errorf("%s: %v", name, d)
		}
		if len(asked) != 1 || asked[0] != (relay.Claim{Need: c.want, Rank: 3}) {
			t.Errorf("%s: asked %v, want need %v", name, asked, c.want)
		}
	}
}

// Guards against a budget whose last part goes to low needs or ranks, and against one that
// keeps a part when nobody else needs it: in a service with few requests, or of one rank.
func TestLastPartOfTheBudgetIsKept(t *testing.T) {
	granted := func(requests int, ranks []int, c relay.Claim) (n int) {
		b := relay.NewRetryBudget(0, relay.BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Reserve: 1})
		for i := range requests {
			b.RecordRequest(0, ranks[i%len(ranks)])
		}
		for b.TakeFor(0, c) == relay.Granted {
			n++
		}
		return n
	}
	equal, mixed := []int{2}, []int{0, 2}
	for name, c := range map[string]struct {
		requests int
		ranks    []int
		claim    relay.Claim
		want     int
	}{
		"nothing else":                  {200, equal, relay.Claim{Need: relay.NothingElse, Rank: 2}, 21},
		"caller repeats":                {200, equal, relay.Claim{Need: relay.CallerRepeats, Rank: 2}, 18},
		"caller returns":                {200, equal, relay.Claim{Need: relay.CallerReturns, Rank: 2}, 15},
		"less urgent than others":       {200, mixed, relay.Claim{Need: relay.CallerReturns, Rank: 2}, 12},
		"most urgent":                   {200, mixed, relay.Claim{Need: relay.CallerReturns}, 15},
		"few requests, callers return":  {20, mixed, relay.Claim{Need: relay.CallerReturns, Rank: 2}, 3},
		"few requests and nothing else": {20, mixed, relay.Claim{Need: relay.NothingElse}, 3},
	} {
		if n := granted(c.requests, c.ranks, c.claim); n != c.want {
			t.Errorf("%s: %d retries, want %d", name, n, c.want)
		}
	}
}
