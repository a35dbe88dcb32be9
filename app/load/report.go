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

// Report holds the measures of a run that a caller can observe. A nil measure
// is unknown; NotVisible holds the reason by the name of the measure.
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
	// Interrupted counts the requests that were in flight when the run was cut
	// off. The measures exclude them.
	Interrupted int `json:"interrupted"`
	// ServiceErrors counts the responses with a status of at least 400 from plain
	// services. Replayed counts the responses that repeat the one to an earlier
	// request with the same idempotency key.
	ServiceErrors int `json:"service_errors"`
	Replayed      int `json:"replayed"`
	// MaxDelay is the longest time in seconds that a request was sent late for
	// lack of a free slot.
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

	// responded counts the requests to which a router sent any response.
	responded int
}

// Refusal counts the refusals with one cause and verdict.
type Refusal struct {
	Cause   proto.Cause   `json:"cause"`
	Verdict proto.Verdict `json:"verdict"`
	Count   int           `json:"count"`
}

// Account holds the measures of one client account.
type Account struct {
	ID          proto.AccountID  `json:"id"`
	Requests    int              `json:"requests"`
	Refused     int              `json:"refused"`
	Interrupted int              `json:"interrupted"`
	Flooding    bool             `json:"flooding,omitempty"`
	FirstToken  LatencyQuantiles `json:"first_token"`
}

// LatencyQuantiles holds quantiles in seconds. A quantile that falls on
// requests without a response is nil.
type LatencyQuantiles struct {
	Samples int      `json:"samples"`
	P50     *float64 `json:"p50_seconds"`
	P95     *float64 `json:"p95_seconds"`
	P99     *float64 `json:"p99_seconds"`
}

func newLatencyQuantiles(q measure.Quantiles) LatencyQuantiles {
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
		rep.addResult(res, accounts[res.arrival.Account])
		if !res.interrupted && (r.cfg.ExampleLimits || res.cause != proto.CauseRateLimited) {
			recordEvents(recorder, res)
		}
		hasUsage = hasUsage || res.usage.PromptTokens > 0
	}
	rep.setMeasures(measure.NewReport(recorder), accounts, hasUsage, r.cfg.ExampleLimits)
	slices.SortFunc(rep.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Verdict, b.Verdict))
	})
	return rep
}

// limits returns the limits by which refusals are classified, if any.
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

// addResult counts a result in the totals and for its account.
func (rep *Report) addResult(res result, account *Account) {
	account.Requests++
	if res.responded {
		rep.responded++
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
		rep.addRefusal(res)
	default:
		rep.Answered++
		if res.status >= 400 {
			rep.ServiceErrors++
		}
	}
}

func (rep *Report) addRefusal(res result) {
	for i := range rep.Refusals {
		if f := &rep.Refusals[i]; f.Cause == res.cause && f.Verdict == res.verdict {
			f.Count++
			return
		}
	}
	rep.Refusals = append(rep.Refusals, Refusal{Cause: res.cause, Verdict: res.verdict, Count: 1})
}

// recordEvents passes the events of a request to the recorder of the measures.
func recordEvents(recorder *measure.Recorder, res result) {
	q := res.arrival.Request
	recorder.Add(measure.Sent{At: res.sent, Request: q.ID, Account: res.arrival.Account, Class: q.Class, Router: res.router, TokenCost: res.arrival.Cost})
	if res.hasFirstToken {
		recorder.Add(measure.FirstToken{At: res.firstToken, Request: q.ID})
	}
	if res.cause != "" {
		recorder.Add(measure.Refused{At: res.end, Request: q.ID, Cause: res.cause, Verdict: res.verdict})
		return
	}
	recorder.Add(measure.Completed{At: res.end, Request: q.ID, Usage: res.usage})
}

// Names of the measures that can be unknown, and the text shown in their place.
const (
	measureHitRate  = "prefix hit rate"
	measureWasted   = "wasted recomputation"
	measureWorst    = "worst-served account"
	measureWrongful = "wrongful refusals"
	notVisible      = "not visible"
)

// setMeasures copies the measures, or the reasons why they are unknown. judged
// is set if the limits of the accounts are known.
func (rep *Report) setMeasures(m measure.Report, accounts map[proto.AccountID]*Account, hasUsage, judged bool) {
	rep.FirstToken, rep.Call = newLatencyQuantiles(m.FirstToken), newLatencyQuantiles(m.Call)
	rep.NotVisible[measureWasted] = "callers do not see which engines hold a prefix"
	if hasUsage {
		rep.HitRate = &m.HitRate
	} else {
		rep.NotVisible[measureHitRate] = "no answer reported its prompt tokens"
	}
	if judged {
		rep.Wrongful = &m.Wrongful
	} else {
		rep.NotVisible[measureWrongful] = "callers do not see the accounts' rates; with --example-limits those of the example note count"
	}
	for _, a := range m.Accounts {
		accounts[a.ID].FirstToken = newLatencyQuantiles(a.FirstToken)
	}
	rep.Worst = m.Worst
	if m.Worst != "" && accounts[m.Worst].FirstToken.P99 != nil {
		rep.Unfairness = &m.Unfairness
	} else {
		rep.NotVisible[measureWorst] = "the p99 of an account falls on requests without an answer, or there are no generations"
	}
	for _, id := range slices.Sorted(maps.Keys(accounts)) {
		rep.Accounts = append(rep.Accounts, *accounts[id])
	}
}

// Unreachable reports whether requests were sent and no router responded to any.
func (rep Report) Unreachable() bool {
	return rep.responded == 0 && rep.Sent > rep.Interrupted
}

// AllRefused reports whether requests were refused and none was answered.
func (rep Report) AllRefused() bool { return rep.Refused > 0 && rep.Answered == 0 }

// formatMeasure formats a measure, with a fixed text for an unknown one.
func formatMeasure(v *float64, digits int) string {
	if v == nil {
		return notVisible
	}
	return strconv.FormatFloat(*v, 'f', digits, 64)
}

// formatSeconds formats a quantile, as "none" if it falls on requests without a
// response.
func formatSeconds(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'f', 3, 64)
}

// Summary returns the measures as rows of name, value and, for some, the reason
// why the value is unknown.
func (rep Report) Summary() [][]string {
	wrongfulText := notVisible
	if rep.Wrongful != nil {
		wrongfulText = strconv.Itoa(*rep.Wrongful)
	}
	unfair := formatMeasure(rep.Unfairness, 2)
	if rep.Unfairness != nil {
		unfair += " times the median account's p99"
	}
	rows := [][]string{
		{"workload", fmt.Sprintf("%s, seed %d, run %s", rep.Deployment, rep.Seed, rep.Run)},
		{"stopped", fmt.Sprintf("%s after %.1f s", rep.Stopped, rep.Seconds)},
		{"requests", fmt.Sprintf("%d sent, %d answered, %d refused, %d interrupted", rep.Sent, rep.Answered, rep.Refused, rep.Interrupted)},
		{"of the answers", fmt.Sprintf("%d replayed, %d service errors", rep.Replayed, rep.ServiceErrors)},
		{"sent late by up to", fmt.Sprintf("%.3f s", rep.MaxDelay)},
		{measureHitRate, formatMeasure(rep.HitRate, 3), rep.NotVisible[measureHitRate]},
		{"time to first token, s", rep.FirstToken.String()},
		{"time of plain calls, s", rep.Call.String()},
		{measureWasted, formatMeasure(rep.Wasted, 3), rep.NotVisible[measureWasted]},
		{measureWorst, fmt.Sprintf("%s: %s", cmp.Or(string(rep.Worst), "none"), unfair), rep.NotVisible[measureWorst]},
		{measureWrongful, wrongfulText, rep.NotVisible[measureWrongful]},
	}
	return rows
}

// String returns the quantiles and the number of samples.
func (t LatencyQuantiles) String() string {
	if t.Samples == 0 {
		return "no samples"
	}
	return fmt.Sprintf("p50 %s, p95 %s, p99 %s (%d samples)", formatSeconds(t.P50), formatSeconds(t.P95), formatSeconds(t.P99), t.Samples)
}

// Column headers of the tables of refusals and accounts.
var (
	RefusalHead = []string{"CAUSE", "VERDICT", "COUNT"}
	AccountHead = []string{"ACCOUNT", "REQUESTS", "REFUSED", "INTERRUPTED", "P50 S", "P95 S", "P99 S"}
)

// RefusalRows returns the refusals as rows with the columns of RefusalHead.
func (rep Report) RefusalRows() [][]string {
	var rows [][]string
	for _, f := range rep.Refusals {
		rows = append(rows, []string{string(f.Cause), f.Verdict.String(), strconv.Itoa(f.Count)})
	}
	return rows
}

// AccountRows returns the accounts as rows with the columns of AccountHead.
func (rep Report) AccountRows() [][]string {
	var rows [][]string
	for _, a := range rep.Accounts {
		t := a.FirstToken
		rows = append(rows, []string{
			string(a.ID), strconv.Itoa(a.Requests), strconv.Itoa(a.Refused), strconv.Itoa(a.Interrupted),
			formatSeconds(t.P50), formatSeconds(t.P95), formatSeconds(t.P99),
		})
	}
	return rows
}

//go:embed page.html
var pageText string

var page = plot.Parse(pageText, nil)

// pageData is the data of the template page.html.
type pageData struct {
	Report
	Plots                    []plot.Plot
	RefusalHead, AccountHead []string
}

// WritePage writes the report as an HTML page with plots.
func (rep Report) WritePage(w io.Writer) error {
	return page.Execute(w, pageData{Report: rep, Plots: rep.plots(), RefusalHead: RefusalHead, AccountHead: AccountHead})
}

// plots returns charts of the quantiles of each account and of the refusals by
// cause.
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
