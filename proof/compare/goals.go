package compare

import (
	"fmt"
	"math"

	"github.com/kumquatsill/kumquatsill/proof/measure"
)

// Bounds of the goals of the design page. The first three are ratios to the hit
// rate of the oracle, to the wasted recomputation of the best baseline and to the
// p99 time to first token of the oracle. maxUnfairness is the ratio of the p99 of
// the worst-served account to that of the median one, maxRestartLoss the relative
// loss of hit rate of a restarted router.
const (
	minHitRateRatio = 0.95
	maxWasteRatio   = 1.0 / 3
	maxP99Ratio     = 1.15
	maxUnfairness   = 1.3
	maxRestartLoss  = 0.02
)

// Goal is a goal of the design page with its measured value.
type Goal struct {
	Deployment string    `json:"deployment"`
	Condition  Condition `json:"condition"`
	Name       string    `json:"name"`
	// Bound and Value are in the unit of the goal. Value must be at least Bound
	// if AtLeast is set, and at most Bound otherwise; some goals require it to be
	// strictly below.
	Bound   float64 `json:"bound"`
	Value   float64 `json:"value"`
	AtLeast bool    `json:"at_least"`
	Met     bool    `json:"met"`
}

// finite replaces NaN and infinities, which JSON cannot encode.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return math.MaxFloat64
	}
	return v
}

func atMost(name string, value, bound float64) Goal {
	return Goal{Name: name, Bound: finite(bound), Value: finite(value), Met: value <= bound}
}

func atLeast(name string, value, bound float64) Goal {
	return Goal{Name: name, Bound: finite(bound), Value: finite(value), AtLeast: true, Met: value >= bound}
}

func below(name string, value, bound float64) Goal {
	g := atMost(name, value, bound)
	g.Met = value < bound
	return g
}

// goals checks all goals for which the table has the necessary rows.
func goals(t *Table) []Goal {
	var all []Goal
	type group struct {
		deployment string
		condition  Condition
	}
	seen := map[group]bool{}
	for _, r := range t.Rows {
		key := group{r.Deployment, r.Condition}
		if seen[key] {
			continue
		}
		seen[key] = true
		for _, g := range conditionGoals(t, r.Deployment, r.Condition) {
			g.Deployment, g.Condition = r.Deployment, r.Condition
			all = append(all, g)
		}
	}
	for _, w := range t.Warm {
		g := atMost("restarted router's hit rate below its peers', relative", (w.PeerHitRate-w.RestartedHitRate)/w.PeerHitRate, maxRestartLoss)
		g.Deployment, g.Condition = w.Deployment, RestartOne
		all = append(all, g)
	}
	return all
}

// conditionGoals returns the goals of a deployment under a condition.
func conditionGoals(t *Table, deployment string, c Condition) []Goal {
	view, ok := t.Row(deployment, c, View)
	if !ok {
		return nil
	}
	var list []Goal
	v := view.Report
	if oracle, ok := t.Row(deployment, c, Oracle); ok && c == Calm {
		list = append(list, oracleGoals(deployment, v, oracle.Report)...)
	}
	if best, ok := t.best(deployment, c); ok {
		list = append(list, baselineGoals(deployment, c, v, best)...)
	}
	if c == Flood {
		list = append(list, atMost("worst-served account's p99 over the median account's", v.Unfairness, maxUnfairness))
	}
	// The design page states this goal for Pompas without naming a condition,
	// so it is checked under all of them.
	if c == Calm || deployment == "pompas" {
		list = append(list, atMost("wrongful refusals", float64(v.Wrongful), 0))
	}
	return list
}

// oracleGoals returns the goals relative to the oracle.
func oracleGoals(deployment string, v, oracle measure.Report) []Goal {
	if deployment == "karoo" {
		return []Goal{atLeast("hit rate over the oracle's", v.HitRate/oracle.HitRate, minHitRateRatio)}
	}
	return []Goal{atMost("p99 time to first token over the oracle's", float64(v.FirstToken.P99)/float64(oracle.FirstToken.P99), maxP99Ratio)}
}

// bestBaseline holds the best value that any baseline reached, for each measure.
type bestBaseline struct {
	hit, wasted, p99 float64
	wrongful         int
}

func (t *Table) best(deployment string, c Condition) (bestBaseline, bool) {
	best := bestBaseline{wasted: math.Inf(1), p99: math.Inf(1), wrongful: math.MaxInt}
	found := false
	for _, p := range Baselines() {
		row, ok := t.Row(deployment, c, p)
		if !ok {
			continue
		}
		found = true
		best.hit = max(best.hit, row.Report.HitRate)
		best.wasted = min(best.wasted, row.Report.Wasted)
		best.p99 = min(best.p99, row.Report.FirstToken.P99.Seconds())
		best.wrongful = min(best.wrongful, row.Report.Wrongful)
	}
	return best, found
}

// baselineGoals returns the goals relative to the best baseline.
func baselineGoals(deployment string, c Condition, v measure.Report, best bestBaseline) []Goal {
	var list []Goal
	if c == Calm && deployment == "karoo" {
		list = append(list, below("wasted recomputation, below a third of the best baseline's", v.Wasted, best.wasted*maxWasteRatio))
	}
	if c == Calm && deployment == "pompas" {
		list = append(list, below("p99 time to first token in s, below every baseline's", v.FirstToken.P99.Seconds(), best.p99))
	}
	if c == Calm {
		return list
	}
	return append(list,
		atLeast("hit rate, the best baseline's", v.HitRate, best.hit),
		atMost("wasted recomputation, the best baseline's", v.Wasted, best.wasted),
		atMost("p99 time to first token in s, the best baseline's", v.FirstToken.P99.Seconds(), best.p99),
		atMost("wrongful refusals, the best baseline's", float64(v.Wrongful), float64(best.wrongful)),
	)
}

// String returns the goal and its outcome on one line.
func (g Goal) String() string {
	relation, state := "at most", "met"
	if g.AtLeast {
		relation = "at least"
	}
	if !g.Met {
		state = "missed"
	}
	return fmt.Sprintf("%s, %s: %s: %s, bound %s %s: %s", g.Deployment, g.Condition, g.Name, FormatValue(g.Value), relation, FormatValue(g.Bound), state)
}

// FormatValue formats the value of a goal. It returns "none" for a time to first
// token of measure.Never.
func FormatValue(v float64) string {
	if v >= measure.Never.Seconds() {
		return "none"
	}
	return fmt.Sprintf("%.3f", v)
}
