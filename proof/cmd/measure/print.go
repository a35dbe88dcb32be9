package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/compare"
	"github.com/kumquatsill/kumquatsill/proof/measure"
)

var header = []string{"deployment", "condition", "policy", "hit rate", "wasted", "p50 s", "p95 s", "p99 s", "worst/median account", "probes", "wrongful", "affordable", "refused", "requests"}

// cells returns the formatted columns of a row, in the order of header.
func cells(r compare.Row) []string {
	rep := r.Report
	return []string{
		r.Deployment, string(r.Condition), string(r.Policy),
		fmt.Sprintf("%.3f", rep.HitRate), fmt.Sprintf("%.3f", rep.Wasted),
		seconds(rep.FirstToken.P50), seconds(rep.FirstToken.P95), seconds(rep.FirstToken.P99),
		fmt.Sprintf("%.2f", rep.Unfairness),
		fmt.Sprintf("%.1f", r.Probes),
		fmt.Sprint(rep.Wrongful), fmt.Sprint(rep.Affordable), fmt.Sprint(rep.Refusals), fmt.Sprint(rep.Generations + rep.Calls),
	}
}

// seconds formats a duration in seconds, or returns "none" if the quantile falls
// on requests without a first token.
func seconds(d time.Duration) string {
	if d == measure.Never {
		return "none"
	}
	return fmt.Sprintf("%.3f", d.Seconds())
}

// intro returns the summary of the runs.
func intro(t *compare.Table) string {
	return fmt.Sprintf("seeds %d to %d, %d rows, took %s", t.Seed, t.Seed+uint64(t.Seeds)-1, len(t.Rows), t.Elapsed.Round(time.Second))
}

func printText(out io.Writer, t *compare.Table) error {
	fmt.Fprintln(out, intro(t))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range t.Rows {
		fmt.Fprintln(w, strings.Join(cells(r), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, line := range warmLines(t) {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out)
	for _, g := range t.Goals {
		fmt.Fprintln(out, g)
	}
	for _, line := range failureLines(t) {
		fmt.Fprintln(out, line)
	}
	return nil
}

func printMarkdown(out io.Writer, t *compare.Table) error {
	fmt.Fprintf(out, "%s.\n\n", intro(t))
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" --- |", len(header)))
	for _, r := range t.Rows {
		fmt.Fprintf(out, "| %s |\n", strings.Join(cells(r), " | "))
	}
	fmt.Fprintln(out)
	for _, line := range warmLines(t) {
		fmt.Fprintf(out, "- %s\n", line)
	}
	fmt.Fprintf(out, "\n| deployment | condition | goal | measured | bound | met |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, g := range t.Goals {
		relation, met := "≤", "yes"
		if g.AtLeast {
			relation = "≥"
		}
		if !g.Met {
			met = "**no**"
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s %s | %s |\n", g.Deployment, g.Condition, g.Name, compare.FormatValue(g.Value), relation, compare.FormatValue(g.Bound), met)
	}
	for _, line := range failureLines(t) {
		fmt.Fprintf(out, "\n- %s", line)
	}
	return nil
}

// warmLines describes the hit rates after the restart of one router.
func warmLines(t *compare.Table) []string {
	var lines []string
	for _, w := range t.Warm {
		lines = append(lines, fmt.Sprintf("%s: one router restarted, %d seeds: hit rate %.3f over its first 100 requests, %.3f for its peers", w.Deployment, w.Seeds, w.RestartedHitRate, w.PeerHitRate))
	}
	return lines
}

// failureLines describes the failed invariants and repeated orders; a correct run
// has none.
func failureLines(t *compare.Table) []string {
	var lines []string
	for _, r := range t.Rows {
		for _, f := range r.FailedInvariants {
			lines = append(lines, fmt.Sprintf("failed invariant: %s, %s, %s: %s", r.Deployment, r.Condition, r.Policy, f))
		}
		if r.DuplicateOrders > 0 {
			lines = append(lines, fmt.Sprintf("%d orders ran twice: %s, %s, %s", r.DuplicateOrders, r.Deployment, r.Condition, r.Policy))
		}
	}
	return lines
}
