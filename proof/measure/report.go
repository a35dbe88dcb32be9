package measure

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Report holds the measures of one or more runs.
type Report struct {
	// Generations and Calls count the requests; Unfinished those without an
	// end, Refusals those that were refused.
	Generations int `json:"generations"`
	Calls       int `json:"calls"`
	Unfinished  int `json:"unfinished"`
	Refusals    int `json:"refusals"`
	// Wrongful counts refusals of requests of accounts whose whole demand is
	// inside their rate and burst, by cause.
	Wrongful       int                 `json:"wrongful_refusals"`
	WrongfulCauses map[proto.Cause]int `json:"wrongful_causes,omitempty"`
	// Affordable counts refusals of requests for which the account still had
	// tokens beside what was admitted. It includes refusals of accounts that
	// send above their rate, which are not wrongful.
	Affordable int `json:"affordable_refusals"`
	// HitRate is the share of prompt tokens that were not prefilled.
	HitRate float64 `json:"hit_rate"`
	// Wasted is the share of prompt tokens that were prefilled although some
	// live engine held them. It is meaningful only if HasEngines is set.
	Wasted     float64 `json:"wasted"`
	HasEngines bool    `json:"has_engines"`
	// FirstToken is the time to first token of generations, Call the time to
	// the answer of calls.
	FirstToken Quantiles `json:"first_token"`
	Call       Quantiles `json:"call"`
	// Accounts holds each account's share; Worst is the account with the
	// greatest p99, without the flooding one, and Unfairness its p99 divided
	// by the median account's.
	Accounts   []Account       `json:"accounts"`
	Worst      proto.AccountID `json:"worst_account"`
	Unfairness float64         `json:"unfairness"`
}

// Quantiles are exact quantiles over all samples.
type Quantiles struct {
	Samples int           `json:"samples"`
	P50     time.Duration `json:"p50_ns"`
	P95     time.Duration `json:"p95_ns"`
	P99     time.Duration `json:"p99_ns"`
}

// Account is the service that one client account got.
type Account struct {
	ID         proto.AccountID `json:"id"`
	Requests   int             `json:"requests"`
	Refusals   int             `json:"refusals"`
	Wrongful   int             `json:"wrongful_refusals"`
	FirstToken Quantiles       `json:"first_token"`
	Flooding   bool            `json:"flooding,omitempty"`
}

// NewReport computes the measures over the pooled requests of some runs. A
// generation that was wrongfully refused or never ended has an infinite time to
// first token, so that refusing does not improve the tail. Refusals beyond the
// account's rate are left out.
func NewReport(recorders ...*Recorder) Report {
	var rep Report
	var firsts, calls []time.Duration
	var hits counts
	var usage proto.Usage
	rep.WrongfulCauses = map[proto.Cause]int{}
	for _, r := range recorders {
		r.judge()
		r.each(func(q *request) {
			rep.count(q)
			if q.sent.Class == proto.ClassCall {
				if q.ended && q.refusal == "" {
					calls = append(calls, q.end-q.sent.At)
				}
				return
			}
			if !q.rightlyRefused() {
				firsts = append(firsts, q.firstToken())
			}
			hits.add(q)
			usage.PromptTokens += q.usage.PromptTokens
			usage.CachedTokens += q.usage.CachedTokens
		})
		rep.HasEngines = rep.HasEngines || len(r.runs) > 0
	}
	rep.FirstToken, rep.Call = NewQuantiles(firsts), NewQuantiles(calls)
	rep.HitRate = hits.rate()
	if !rep.HasEngines && usage.PromptTokens > 0 {
		rep.HitRate = float64(usage.CachedTokens) / float64(usage.PromptTokens)
	}
	rep.Wasted = wasted(recorders)
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

// rightlyRefused reports whether the account asked for more than its rate and
// burst and was refused for that.
func (q *request) rightlyRefused() bool {
	return q.refusal == proto.CauseRateLimited && !q.wrongful
}

// Never is the time to first token of a request that got none.
const Never = time.Duration(math.MaxInt64)

func (q *request) firstToken() time.Duration {
	if !q.hasFirst {
		return Never
	}
	return q.first - q.sent.At
}

func wasted(recorders []*Recorder) float64 {
	var prompt, lost int64
	for _, r := range recorders {
		for _, run := range r.runs {
			prompt += run.Prompt
			missing := run.Prompt - min(run.Prompt, run.Held)
			lost += max(0, run.Computed-missing)
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(lost) / float64(prompt)
}

// NewQuantiles returns the exact quantiles of samples, and sorts them.
func NewQuantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	slices.Sort(samples)
	at := func(share float64) time.Duration {
		// The smallest sample that at least this share do not exceed.
		return samples[max(0, int(math.Ceil(share*float64(len(samples))))-1)]
	}
	return Quantiles{Samples: len(samples), P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

func (rep *Report) compareAccounts(recorders []*Recorder) {
	var tails []time.Duration
	for _, id := range accounts(recorders) {
		a := account(id, recorders)
		rep.Accounts = append(rep.Accounts, a)
		if a.Flooding || a.FirstToken.Samples == 0 {
			continue
		}
		tails = append(tails, a.FirstToken.P99)
		if rep.Worst == "" || a.FirstToken.P99 > slices.Max(tails[:len(tails)-1]) {
			rep.Worst = id
		}
	}
	if len(tails) == 0 {
		return
	}
	slices.Sort(tails)
	rep.Unfairness = float64(tails[len(tails)-1]) / float64(tails[(len(tails)-1)/2])
}

func account(id proto.AccountID, recorders []*Recorder) Account {
	a := Account{ID: id}
	var firsts []time.Duration
	for _, r := range recorders {
		a.Flooding = a.Flooding || r.cfg.Flooding == id
		r.each(func(q *request) {
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
			if q.sent.Class == proto.ClassGenerate && !q.rightlyRefused() {
				firsts = append(firsts, q.firstToken())
			}
		})
	}
	a.FirstToken = NewQuantiles(firsts)
	return a
}
