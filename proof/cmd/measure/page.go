package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"

	"github.com/kumquatsill/kumquatsill/proof/compare"
	"github.com/kumquatsill/kumquatsill/proof/measure"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageData is what the template shows.
type pageData struct {
	Intro  string
	Header []string
	Rows   [][]string
	Goals  []compare.Goal
	Warm   []string
	Plots  []plot
}

// plot is a bar chart of one measure of one deployment.
type plot struct {
	Title         string
	Bars          []bar
	Labels        []label
	Width, Height int
}

type bar struct {
	X, Y, W, H float64
	Color      string
	Tip        string
}

type label struct {
	X, Y float64
	Text string
}

const (
	plotWidth   = 1000
	plotHeight  = 220
	plotTop     = 20
	labelHeight = 30
)

var colors = map[compare.Policy]string{
	compare.View: "#1f6fb4", compare.RoundRobin: "#c9c9c9", compare.LeastLoaded: "#9a9a9a",
	compare.WholeHash: "#6d6d6d", compare.Oracle: "#2f9e61",
}

// measureOf is one measure to plot, and its greatest value shown.
type measureOf struct {
	title string
	top   float64
	value func(measure.Report) float64
}

var plotted = []measureOf{
	{"hit rate", 1, func(r measure.Report) float64 { return r.HitRate }},
	{"wasted recomputation", 0.5, func(r measure.Report) float64 { return r.Wasted }},
	{"p99 time to first token, s (bars end at 10)", 10, func(r measure.Report) float64 { return r.FirstToken.P99.Seconds() }},
	{"worst over median account (bars end at 3)", 3, func(r measure.Report) float64 { return r.Unfairness }},
}

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

// newPlot draws the conditions side by side, with a bar for each policy.
func newPlot(t *compare.Table, deployment string, m measureOf) plot {
	p := plot{Title: deployment + ": " + m.title, Width: plotWidth, Height: plotHeight + plotTop + labelHeight}
	var groups []compare.Condition
	for _, r := range t.Rows {
		if r.Deployment == deployment && (len(groups) == 0 || groups[len(groups)-1] != r.Condition) {
			groups = append(groups, r.Condition)
		}
	}
	group := float64(plotWidth) / float64(max(1, len(groups)))
	width := group * 0.8 / float64(len(compare.Policies()))
	for g, c := range groups {
		left := float64(g)*group + group*0.1
		p.Labels = append(p.Labels, label{X: left, Y: plotTop + plotHeight + labelHeight/2, Text: string(c)})
		for i, policy := range compare.Policies() {
			row, ok := t.Row(deployment, c, policy)
			if !ok {
				continue
			}
			value := m.value(row.Report)
			height := min(1, value/m.top) * plotHeight
			p.Bars = append(p.Bars, bar{
				X: left + float64(i)*width, Y: plotTop + plotHeight - height, W: width * 0.9, H: height,
				Color: colors[policy], Tip: fmt.Sprintf("%s, %s: %.3f", policy, c, value),
			})
		}
	}
	return p
}
