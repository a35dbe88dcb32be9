package measure

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Report holds the measures of one or more runs.
type Report struct {
	// Generations and Calls count the requests by class, Unfinished those that
	// did not end, and Refusals those that were refused.
	Generations int `json:"generations"`
	Calls       int `json:"calls"`
	Unfinished  int `json:"unfinished"`
	Refusals    int `json:"refusals"`
	// Wrongful counts refusals at a time when the whole demand of the account was
	// within its rate and burst. WrongfulCauses counts them by cause.
	Wrongful       int                 `json:"wrongful_refusals"`
	WrongfulCauses map[proto.Cause]int `json:"wrongful_causes,omitempty"`
	// Affordable counts refusals of requests for which the account still had
	// tokens left after what was admitted. Unlike Wrongful it includes accounts
	// that send above their rate.
	Affordable int `json:"affordable_refusals"`
	// HitRate is the fraction of prompt tokens that were not prefilled.
	HitRate float64 `json:"hit_rate"`
	// Wasted is the fraction of prompt tokens that were prefilled although some
	// live engine had them cached. It is meaningful only if HasEngines is set.
	Wasted     float64 `json:"wasted"`
	HasEngines bool    `json:"has_engines"`
	// FirstToken is the time to first token of generations, Call the response
	// time of calls.
	FirstToken Quantiles `json:"first_token"`
	Call       Quantiles `json:"call"`
	// Accounts holds the figures of each account. Worst is the account with the
	// highest p99 time to first token, the flooding one excluded, and Unfairness
	// is that p99 divided by the p99 of the median account.
	Accounts   []Account       `json:"accounts"`
	Worst      proto.AccountID `json:"worst_account"`
	Unfairness float64         `json:"unfairness"`
}

// Quantiles holds exact quantiles over all samples.
type Quantiles struct {
	Samples int           `json:"samples"`
	P50     time.Duration `json:"p50_ns"`
	P95     time.Duration `json:"p95_ns"`
	P99     time.Duration `json:"p99_ns"`
}

// Account holds the measures of one client account.
type Account struct {
	ID         proto.AccountID `json:"id"`
	Requests   int             `json:"requests"`
	Refusals   int             `json:"refusals"`
	Wrongful   int             `json:"wrongful_refusals"`
	FirstToken Quantiles       `json:"first_token"`
	Flooding   bool            `json:"flooding,omitempty"`
}

// NewReport computes the measures over the pooled requests of several runs. A
// generation that was wrongfully refused, or never ended, without a first token
// counts with the time Never, so that refusals cannot improve the tail. Refusals
// of requests beyond the account's rate are excluded.
func NewReport(recorders ...*Recorder) Report {
	var rep Report
	var firstTokens, calls []time.Duration
	var hits prefillTotals
	var usage proto.Usage
	rep.WrongfulCauses = map[proto.Cause]int{}
	for _, r := range recorders {
		r.classify()
		r.forEach(func(q *request) {
			rep.count(q)
			if q.sent.Class == proto.ClassCall {
				if q.ended && q.refusal == "" {
					calls = append(calls, q.end-q.sent.At)
				}
				return
			}
			if !q.rejectedOverLimit() {
				firstTokens = append(firstTokens, q.firstToken())
			}
			hits.add(q)
			usage.PromptTokens += q.usage.PromptTokens
			usage.CachedTokens += q.usage.CachedTokens
		})
		rep.HasEngines = rep.HasEngines || len(r.runs) > 0
	}
	rep.FirstToken, rep.Call = NewQuantiles(firstTokens), NewQuantiles(calls)
	rep.HitRate = hits.hitRate()
	if !rep.HasEngines && usage.PromptTokens > 0 {
		rep.HitRate = float64(usage.CachedTokens) / float64(usage.PromptTokens)
	}
	rep.Wasted = wastedShare(recorders)
	rep.compareAccounts(recorders)
	return rep
}

func (rep *Report) count(q *request) {
	if q.sent.Class == proto.ClassCall {
		rep.Calls++
	} else {
		rep.Generations++
	}
	if !q.ended {
		rep.Unfinished++
	}
	if q.refusal == "" {
		return
	}
	rep.Refusals++
	if q.affordable {
		rep.Affordable++
	}
	if q.wrongful {
		rep.Wrongful++
		rep.WrongfulCauses[q.refusal]++
	}
}

// rejectedOverLimit reports whether the request was refused by the rate limit
// while the demand of the account exceeded its rate and burst.
func (q *request) rejectedOverLimit() bool {
	return q.refusal == proto.CauseRateLimited && !q.wrongful
}

// Never is the time to first token of a request that received no token.
const Never = time.Duration(math.MaxInt64)

func (q *request) firstToken() time.Duration {
	if !q.hasFirst {
		return Never
	}
	return q.first - q.sent.At
}

// wastedShare returns the fraction of prompt tokens that were prefilled although
// a live engine had them cached.
func wastedShare(recorders []*Recorder) float64 {
	var prompt, recomputed int64
	for _, r := range recorders {
		for _, run := range r.runs {
			prompt += run.Prompt
			missing := run.Prompt - min(run.Prompt, run.Held)
			recomputed += max(0, run.Computed-missing)
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(recomputed) / float64(prompt)
}

// NewQuantiles sorts the samples in place and returns their exact quantiles.
func NewQuantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	slices.Sort(samples)
	quantile := func(share float64) time.Duration {
		// The smallest sample such that at least this fraction of all samples
		// do not exceed it.
		return samples[max(0, int(math.Ceil(share*float64(len(samples))))-1)]
	}
	return Quantiles{Samples: len(samples), P50: quantile(0.5), P95: quantile(0.95), P99: quantile(0.99)}
}

// compareAccounts sets the measures of each account and compares their p99.
func (rep *Report) compareAccounts(recorders []*Recorder) {
	var p99s []time.Duration
	for _, id := range accounts(recorders) {
		a := account(id, recorders)
		rep.Accounts = append(rep.Accounts, a)
		if a.Flooding || a.FirstToken.Samples == 0 {
			continue
		}
		p99s = append(p99s, a.FirstToken.P99)
		if rep.Worst == "" || a.FirstToken.P99 > slices.Max(p99s[:len(p99s)-1]) {
			rep.Worst = id
		}
	}
	if len(p99s) == 0 {
		return
	}
	slices.Sort(p99s)
	rep.Unfairness = float64(p99s[len(p99s)-1]) / float64(p99s[(len(p99s)-1)/2])
}

func account(id proto.AccountID, recorders []*Recorder) Account {
	a := Account{ID: id}
	var firstTokens []time.Duration
	for _, r := range recorders {
		a.Flooding = a.Flooding || r.cfg.Flooding == id
		r.forEach(func(q *request) {
			if q.sent.Account != id {
				return
			}
			a.Requests++
			if q.refusal != "" {
				a.Refusals++
			}
			if q.wrongful {
				a.Wrongful++
			}
			if q.sent.Class == proto.ClassGenerate && !q.rejectedOverLimit() {
				firstTokens = append(firstTokens, q.firstToken())
			}
		})
	}
	a.FirstToken = NewQuantiles(firstTokens)
	return a
}
