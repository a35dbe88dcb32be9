package measure

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// bucket is the true fill of an account's limit, counted over all routers.
type bucket struct {
	limit Limit
	spent float64
	at    time.Duration
}

func (b *bucket) spend(now time.Duration, tokens int64) {
	b.spent = max(0, b.spent-float64(b.limit.Rate)*(now-b.at).Seconds())
	b.at = now
	b.spent = max(0, b.spent+float64(tokens))
}

func (b *bucket) affords(now time.Duration, tokens int64) bool {
	b.spend(now, 0)
	return b.spent+float64(tokens) <= float64(b.limit.Burst)
}

// charge is a change of an account's spent tokens, or the arrival of a
// refused request that is to be judged.
type charge struct {
	at      time.Duration
	request *request
	tokens  int64
	judge   bool
	// refused is set for tokens that the account asked for and did not get.
	refused bool
}

// judge marks the refusals that are wrongful, and those that were affordable.
// A refusal is wrongful if everything that the account has asked for so far is
// inside its rate and burst. It is affordable if the request is inside them
// together with what was admitted; an account that keeps sending above its
// rate gets affordable refusals from any limiter that does not use the burst
// to the last token. judge looks back over the whole run, as a request is
// known to be admitted only after its end.
func (r *Recorder) judge() {
	var charges []charge
	for _, id := range r.order {
		q := r.requests[id]
		q.wrongful, q.affordable = false, false
		if q.refusal != "" {
			charges = append(charges, charge{at: q.sent.At, request: q, judge: true})
		}
		notRun := q.refusal != "" && q.verdict == proto.NotRun
		charges = append(charges, charge{at: q.sent.At, request: q, tokens: q.sent.TokenCost, refused: notRun})
		used := q.usage.PromptTokens + q.usage.CompletionTokens
		if q.ended && q.refusal == "" && used > 0 {
			charges = append(charges, charge{at: q.end, request: q, tokens: used - q.sent.TokenCost})
		}
	}
	slices.SortStableFunc(charges, func(a, b charge) int { return int(a.at - b.at) })
	admitted, asked := map[proto.AccountID]*bucket{}, map[proto.AccountID]*bucket{}
	for _, c := range charges {
		account := c.request.sent.Account
		limit, limited := r.cfg.Limits[account]
		if admitted[account] == nil {
			admitted[account] = &bucket{limit: limit, at: c.at}
			asked[account] = &bucket{limit: limit, at: c.at}
		}
		if c.judge {
			c.request.wrongful = !limited || asked[account].affords(c.at, c.request.sent.TokenCost)
			c.request.affordable = !limited || admitted[account].affords(c.at, c.request.sent.TokenCost)
			continue
		}
		asked[account].spend(c.at, c.tokens)
		if !c.refused {
			admitted[account].spend(c.at, c.tokens)
		}
	}
}
