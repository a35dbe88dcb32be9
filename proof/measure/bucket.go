package measure

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// bucket is a leaky bucket with the tokens of an account, counted over all
// routers. It drains at the account's rate.
type bucket struct {
	limit Limit
	spent float64
	at    time.Duration
}

// spend adds tokens, or removes them if negative, after draining the bucket.
func (b *bucket) spend(now time.Duration, tokens int64) {
	b.spent = max(0, b.spent-float64(b.limit.Rate)*(now-b.at).Seconds())
	b.at = now
	b.spent = max(0, b.spent+float64(tokens))
}

// affords reports whether the tokens fit into the burst.
func (b *bucket) affords(now time.Duration, tokens int64) bool {
	b.spend(now, 0)
	return b.spent+float64(tokens) <= float64(b.limit.Burst)
}

// charge is a change of an account's spent tokens, or the arrival of a refused
// request that is to be classified.
type charge struct {
	at       time.Duration
	request  *request
	tokens   int64
	classify bool
	// refused is set for tokens that the account requested but was refused.
	refused bool
}

// classify marks the wrongful and the affordable refusals. A refusal is wrongful
// if the whole demand of the account so far, including refused requests, is
// within its rate and burst. It is affordable if the request and what was
// admitted so far are within them. An account that keeps sending above its rate
// gets affordable refusals from any limiter that does not use the burst to the
// last token. classify runs after the whole run, as a request is known to be
// admitted only after its end.
func (r *Recorder) classify() {
	var charges []charge
	for _, id := range r.order {
		q := r.requests[id]
		q.wrongful, q.affordable = false, false
		if q.refusal != "" {
			charges = append(charges, charge{at: q.sent.At, request: q, classify: true})
		}
		notRun := q.refusal != "" && q.verdict == proto.NotRun
		charges = append(charges, charge{at: q.sent.At, request: q, tokens: q.sent.TokenCost, refused: notRun})
		used := q.usage.PromptTokens + q.usage.CompletionTokens
		if q.ended && q.refusal == "" && used > 0 {
			charges = append(charges, charge{at: q.end, request: q, tokens: used - q.sent.TokenCost})
		}
	}
	slices.SortStableFunc(charges, func(a, b charge) int { return int(a.at - b.at) })
	admitted, demanded := map[proto.AccountID]*bucket{}, map[proto.AccountID]*bucket{}
	for _, c := range charges {
		account := c.request.sent.Account
		limit, limited := r.cfg.Limits[account]
		if admitted[account] == nil {
			admitted[account] = &bucket{limit: limit, at: c.at}
			demanded[account] = &bucket{limit: limit, at: c.at}
		}
		if c.classify {
			c.request.wrongful = !limited || demanded[account].affords(c.at, c.request.sent.TokenCost)
			c.request.affordable = !limited || admitted[account].affords(c.at, c.request.sent.TokenCost)
			continue
		}
		demanded[account].spend(c.at, c.tokens)
		if !c.refused {
			admitted[account].spend(c.at, c.tokens)
		}
	}
}
