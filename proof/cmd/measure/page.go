package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"

	"github.com/kumquatsill/kumquatsill/proof/compare"
	"github.com/kumquatsill/kumquatsill/proof/measure"
	"github.com/kumquatsill/kumquatsill/proof/plot"
)

//go:embed page.html
var pageText string

var page = plot.Parse(pageText, template.FuncMap{"figure": compare.FormatValue})

// pageData is the data of the page template.
type pageData struct {
	Intro  string
	Header []string
	Rows   [][]string
	Goals  []compare.Goal
	Warm   []string
	Plots  []plot.Plot
}

var colors = map[compare.Policy]string{
	compare.View: "#1f6fb4", compare.RoundRobin: "#c9c9c9", compare.LeastLoaded: "#9a9a9a",
	compare.WholeHash: "#6d6d6d", compare.Oracle: "#2f9e61",
}

// plottedMeasure is a measure to plot. Bars are cut off at the value top.
type plottedMeasure struct {
	title string
	top   float64
	value func(measure.Report) float64
}

var plotted = []plottedMeasure{
	{"hit rate", 1, func(r measure.Report) float64 { return r.HitRate }},
	{"wasted recomputation", 0.5, func(r measure.Report) float64 { return r.Wasted }},
	{"p99 time to first token, s (bars end at 10)", 10, func(r measure.Report) float64 { return r.FirstToken.P99.Seconds() }},
	{"worst over median account (bars end at 3)", 3, func(r measure.Report) float64 { return r.Unfairness }},
}

// writePage writes the HTML page with the plots, goals and rows of the table.
func writePage(name string, t *compare.Table) error {
	data := pageData{Intro: intro(t), Header: header, Goals: t.Goals, Warm: warmLines(t)}
	deployments := []string{}
	for _, r := range t.Rows {
		data.Rows = append(data.Rows, cells(r))
		if n := len(deployments); n == 0 || deployments[n-1] != r.Deployment {
			deployments = append(deployments, r.Deployment)
		}
	}
	for _, d := range deployments {
		for _, m := range plotted {
			data.Plots = append(data.Plots, newPlot(t, d, m))
		}
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := page.Execute(file, data); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// newPlot returns a chart of one measure of a deployment, with a group per
// condition and a bar per policy.
func newPlot(t *compare.Table, deployment string, m plottedMeasure) plot.Plot {
	var conditions []compare.Condition
	for _, r := range t.Rows {
		if r.Deployment == deployment && (len(conditions) == 0 || conditions[len(conditions)-1] != r.Condition) {
			conditions = append(conditions, r.Condition)
		}
	}
	var groups []plot.Group
	for _, c := range conditions {
		g := plot.Group{Label: string(c)}
		for _, policy := range compare.Policies() {
			row, ok := t.Row(deployment, c, policy)
			if !ok {
				g.Values = append(g.Values, plot.Value{Missing: true})
				continue
			}
			value := m.value(row.Report)
			g.Values = append(g.Values, plot.Value{Value: value, Color: colors[policy], Tip: fmt.Sprintf("%s, %s: %.3f", policy, c, value)})
		}
		groups = append(groups, g)
	}
	return plot.New(deployment+": "+m.title, m.top, groups)
}
