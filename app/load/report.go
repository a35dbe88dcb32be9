package load

import (
	"cmp"
	_ "embed"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/measure"
	"github.com/kumquatsill/kumquatsill/proof/plot"
)

// Report holds the measures of a run as far as a caller can see them. A nil
// measure is not known; NotVisible says why.
type Report struct {
	Deployment string     `json:"deployment"`
	Seed       uint64     `json:"seed"`
	Run        string     `json:"run"`
	Rate       float64    `json:"requests_per_second"`
	Stopped    StopReason `json:"stopped"`
	Seconds    float64    `json:"seconds"`

	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Interrupted requests were in flight when the run was cut. The measures
	// leave them out.
	Interrupted int `json:"interrupted"`
	// ServiceErrors are answers of plain services with a status from 400 on,
	// Replayed answers that a service gave to an earlier request.
	ServiceErrors int `json:"service_errors"`
	Replayed      int `json:"replayed"`
	// MaxDelay is the longest time by which a request was sent late, for lack
	// of a free slot.
	MaxDelay float64 `json:"max_delay_seconds"`

	HitRate    *float64          `json:"hit_rate"`
	FirstToken LatencyQuantiles  `json:"first_token"`
	Call       LatencyQuantiles  `json:"call"`
	Wasted     *float64          `json:"wasted"`
	Worst      proto.AccountID   `json:"worst_account,omitempty"`
	Unfairness *float64          `json:"unfairness"`
	Wrongful   *int              `json:"wrongful_refusals"`
	NotVisible map[string]string `json:"not_visible"`

	Refusals []Refusal `json:"refusals"`
	Accounts []Account `json:"accounts"`

	heard int
}

// Refusal counts the refusals with one cause and verdict.
type Refusal struct {
	Cause   proto.Cause   `json:"cause"`
	Verdict proto.Verdict `json:"verdict"`
	Count   int           `json:"count"`
}

// Account is the service that one client account got.
type Account struct {
	ID          proto.AccountID  `json:"id"`
	Requests    int              `json:"requests"`
	Refused     int              `json:"refused"`
	Interrupted int              `json:"interrupted"`
	Flooding    bool             `json:"flooding,omitempty"`
	FirstToken  LatencyQuantiles `json:"first_token"`
}

// LatencyQuantiles holds quantiles in seconds. One that falls on requests without an
// answer is nil.
type LatencyQuantiles struct {
	Samples int      `json:"samples"`
	P50     *float64 `json:"p50_seconds"`
	P95     *float64 `json:"p95_seconds"`
	P99     *float64 `json:"p99_seconds"`
}

func newTail(q measure.Quantiles) LatencyQuantiles {
	seconds := func(d time.Duration) *float64 {
		if q.Samples == 0 || d == measure.Never {
			return nil
		}
		return new(d.Seconds())
	}
	return LatencyQuantiles{Samples: q.Samples, P50: seconds(q.P50), P95: seconds(q.P95), P99: seconds(q.P99)}
}

func (r *runner) report(stop StopReason, took time.Duration) Report {
	rep := Report{
		Deployment: r.cfg.Deployment.Name, Seed: r.cfg.Seed, Run: r.id, Rate: r.cfg.Rate, Stopped: stop,
		Seconds: took.Seconds(), Sent: len(r.results), NotVisible: map[string]string{}, Refusals: []Refusal{},
	}
	slices.SortFunc(r.results, func(a, b result) int { return cmp.Compare(a.sent, b.sent) })
	accounts := map[proto.AccountID]*Account{}
	for _, a := range r.cfg.Deployment.Accounts {
		accounts[a.ID] = &Account{ID: a.ID, Flooding: a.ID == r.cfg.Flood}
	}
	recorder := measure.NewRecorder(r.limits())
	hasUsage := false
	for _, res := range r.results {
		rep.count(res, accounts[res.arrival.Account])
		if !res.interrupted && (r.cfg.ExampleLimits || res.cause != proto.CauseRateLimited) {
			record(recorder, res)
		}
		hasUsage = hasUsage || res.usage.PromptTokens > 0
	}
	rep.take(measure.NewReport(recorder), accounts, hasUsage, r.cfg.ExampleLimits)
	slices.SortFunc(rep.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Verdict, b.Verdict))
	})
	return rep
}

func (r *runner) limits() measure.Config {
	cfg := measure.Config{Flooding: r.cfg.Flood}
	if r.cfg.ExampleLimits {
		cfg.Limits = map[proto.AccountID]measure.Limit{}
		for _, a := range r.cfg.Deployment.Accounts {
			cfg.Limits[a.ID] = measure.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return cfg
}

func (rep *Report) count(res result, account *Account) {
	account.Requests++
	if res.heard {
		rep.heard++
	}
	rep.MaxDelay = max(rep.MaxDelay, (res.sent - res.arrival.At).Seconds())
	if res.replayed {
		rep.Replayed++
	}
	switch {
	case res.interrupted:
		rep.Interrupted++
		account.Interrupted++
	case res.cause != "":
		rep.Refused++
		account.Refused++
		rep.refusal(res)
	default:
		rep.Answered++
		if res.status >= 400 {
			rep.ServiceErrors++
		}
	}
}

func (rep *Report) refusal(res result) {
	for i := range rep.Refusals {
		if f := &rep.Refusals[i]; f.Cause == res.cause && f.Verdict == res.verdict {
			f.Count++
			return
		}
	}
	rep.Refusals = append(rep.Refusals, Refusal{Cause: res.cause, Verdict: res.verdict, Count: 1})
}

func record(recorder *measure.Recorder, res result) {
	q := res.arrival.Request
	recorder.Add(measure.Sent{At: res.sent, Request: q.ID, Account: res.arrival.Account, Class: q.Class, Router: res.router, TokenCost: res.arrival.Cost})
	if res.hasFirst {
		recorder.Add(measure.FirstToken{At: res.first, Request: q.ID})
	}
	if res.cause != "" {
		recorder.Add(measure.Refused{At: res.end, Request: q.ID, Cause: res.cause, Verdict: res.verdict})
		return
	}
	recorder.Add(measure.Completed{At: res.end, Request: q.ID, Usage: res.usage})
}

// Names of the measures that may not be visible.
const (
	hitRate    = "prefix hit rate"
	wasted     = "wasted recomputation"
	worst      = "worst-served account"
	wrongful   = "wrongful refusals"
	notVisible = "not visible"
)

func (rep *Report) take(m measure.Report, accounts map[proto.AccountID]*Account, hasUsage, judged bool) {
	rep.FirstToken, rep.Call = newTail(m.FirstToken), newTail(m.Call)
	rep.NotVisible[wasted] = "callers do not see which engines hold a prefix"
	if hasUsage {
		rep.HitRate = &m.HitRate
	} else {
		rep.NotVisible[hitRate] = "no answer reported its prompt tokens"
	}
	if judged {
		rep.Wrongful = &m.Wrongful
	} else {
		rep.NotVisible[wrongful] = "callers do not see the accounts' rates; with --example-limits those of the example note count"
	}
	for _, a := range m.Accounts {
		accounts[a.ID].FirstToken = newTail(a.FirstToken)
	}
	rep.Worst = m.Worst
	if m.Worst != "" && accounts[m.Worst].FirstToken.P99 != nil {
		rep.Unfairness = &m.Unfairness
	} else {
		rep.NotVisible[worst] = "the p99 of an account falls on requests without an answer, or there are no generations"
	}
	for _, id := range slices.Sorted(maps.Keys(accounts)) {
		rep.Accounts = append(rep.Accounts, *accounts[id])
	}
}

// Unreachable reports whether requests were sent and no router answered any.
func (rep Report) Unreachable() bool {
	return rep.heard == 0 && rep.Sent > rep.Interrupted
}

// AllRefused reports whether routers answered, but refused all requests.
func (rep Report) AllRefused() bool { return rep.Refused > 0 && rep.Answered == 0 }

func fixed(v *float64, digits int) string {
	if v == nil {
		return notVisible
	}
	return strconv.FormatFloat(*v, 'f', digits, 64)
}

// seconds writes "none" for a quantile that falls on requests without an answer.
func seconds(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'f', 3, 64)
}

// Summary returns the measures as rows of name, value and remark.
func (rep Report) Summary() [][]string {
	wrongfulText := notVisible
	if rep.Wrongful != nil {
		wrongfulText = strconv.Itoa(*rep.Wrongful)
	}
	unfair := fixed(rep.Unfairness, 2)
	if rep.Unfairness != nil {
		unfair += " times the median account's p99"
	}
	rows := [][]string{
		{"workload", fmt.Sprintf("%s, seed %d, run %s", rep.Deployment, rep.Seed, rep.Run)},
		{"stopped", fmt.Sprintf("%s after %.1f s", rep.Stopped, rep.Seconds)},
		{"requests", fmt.Sprintf("%d sent, %d answered, %d refused, %d interrupted", rep.Sent, rep.Answered, rep.Refused, rep.Interrupted)},
		{"of the answers", fmt.Sprintf("%d replayed, %d service errors", rep.Replayed, rep.ServiceErrors)},
		{"sent late by up to", fmt.Sprintf("%.3f s", rep.MaxDelay)},
		{hitRate, fixed(rep.HitRate, 3), rep.NotVisible[hitRate]},
		{"time to first token, s", rep.FirstToken.String()},
		{"time of plain calls, s", rep.Call.String()},
		{wasted, fixed(rep.Wasted, 3), rep.NotVisible[wasted]},
		{worst, fmt.Sprintf("%s: %s", cmp.Or(string(rep.Worst), "none"), unfair), rep.NotVisible[worst]},
		{wrongful, wrongfulText, rep.NotVisible[wrongful]},
	}
	return rows
}

// String lists the quantiles.
func (t LatencyQuantiles) String() string {
	if t.Samples == 0 {
		return "no samples"
	}
	return fmt.Sprintf("p50 %s, p95 %s, p99 %s (%d samples)", seconds(t.P50), seconds(t.P95), seconds(t.P99), t.Samples)
}

// Heads of the tables of refusals and accounts.
var (
	RefusalHead = []string{"CAUSE", "VERDICT", "COUNT"}
	AccountHead = []string{"ACCOUNT", "REQUESTS", "REFUSED", "INTERRUPTED", "P50 S", "P95 S", "P99 S"}
)

// RefusalRows returns the refusals under RefusalHead.
func (rep Report) RefusalRows() [][]string {
	var rows [][]string
	for _, f := range rep.Refusals {
		rows = append(rows, []string{string(f.Cause), f.Verdict.String(), strconv.Itoa(f.Count)})
	}
	return rows
}

// AccountRows returns the accounts under AccountHead.
func (rep Report) AccountRows() [][]string {
	var rows [][]string
	for _, a := range rep.Accounts {
		t := a.FirstToken
		rows = append(rows, []string{
			string(a.ID), strconv.Itoa(a.Requests), strconv.Itoa(a.Refused), strconv.Itoa(a.Interrupted),
			seconds(t.P50), seconds(t.P95), seconds(t.P99),
		})
	}
	return rows
}

//go:embed page.html
var pageText string

var page = plot.Parse(pageText, nil)

type pageData struct {
	Report
	Plots                    []plot.Plot
	RefusalHead, AccountHead []string
}

// WritePage writes the report as an HTML page with plots.
func (rep Report) WritePage(w io.Writer) error {
	return page.Execute(w, pageData{Report: rep, Plots: rep.plots(), RefusalHead: RefusalHead, AccountHead: AccountHead})
}

// plots draws the quantiles of each account and the refusals by cause.
func (rep Report) plots() []plot.Plot {
	var tails, causes []plot.Group
	longest, most := 0.0, 0.0
	for _, a := range rep.Accounts {
		g := plot.Group{Label: string(a.ID)}
		for _, q := range []struct {
			name, color string
			value       *float64
		}{{"p50", "#9a9a9a", a.FirstToken.P50}, {"p95", "#6fa8d6", a.FirstToken.P95}, {"p99", "#1f6fb4", a.FirstToken.P99}} {
			v := plot.Value{Missing: q.value == nil, Color: q.color}
			if q.value != nil {
				v.Value, v.Tip = *q.value, fmt.Sprintf("%s, %s: %.3f s", a.ID, q.name, *q.value)
				longest = max(longest, *q.value)
			}
			g.Values = append(g.Values, v)
		}
		tails = append(tails, g)
	}
	for _, f := range rep.Refusals {
		name := fmt.Sprintf("%s, %s", f.Cause, f.Verdict)
		most = max(most, float64(f.Count))
		causes = append(causes, plot.Group{Label: name, Values: []plot.Value{{Value: float64(f.Count), Color: "#c25b4e", Tip: fmt.Sprintf("%s: %d", name, f.Count)}}})
	}
	var plots []plot.Plot
	if longest > 0 {
		plots = append(plots, plot.New(fmt.Sprintf("time to first token by account: p50, p95, p99 (full height is %.3f s)", longest), longest, tails))
	}
	if most > 0 {
		plots = append(plots, plot.New(fmt.Sprintf("refusals by cause (full height is %.0f)", most), most, causes))
	}
	return plots
}
