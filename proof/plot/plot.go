// Package plot draws grouped bar charts as SVG in HTML pages.
package plot

import (
	_ "embed"
	"html/template"
)

//go:embed plot.html
var text string

// Parse returns a page template that can draw a Plot with {{template "plot" .}}
// and call funcs, which may be nil. It panics if the page is malformed, as
// template.Must does.
func Parse(page string, funcs template.FuncMap) *template.Template {
	return template.Must(template.Must(template.New("page").Funcs(funcs).Parse(page)).Parse(text))
}

// Plot is a bar chart.
type Plot struct {
	Title         string
	Bars          []Bar
	Labels        []Label
	Width, Height int
}

// Bar is one bar, in pixels from the upper left corner.
type Bar struct {
	X, Y, W, H float64
	Color      string
	Tip        string
}

// Label is a text below a group of bars.
type Label struct {
	X, Y float64
	Text string
}

const (
	plotWidth   = 1000
	plotHeight  = 220
	plotTop     = 20
	labelHeight = 30
)

// Value is the value of one bar, which may be missing.
type Value struct {
	Value   float64
	Missing bool
	Color   string
	Tip     string
}

// Group is a set of bars side by side.
type Group struct {
	Label  string
	Values []Value
}

// New draws groups side by side. Bars end at the value top.
func New(title string, top float64, groups []Group) Plot {
	p := Plot{Title: title, Width: plotWidth, Height: plotHeight + plotTop + labelHeight}
	group := float64(plotWidth) / float64(max(1, len(groups)))
	for g, c := range groups {
		left := float64(g)*group + group*0.1
		width := group * 0.8 / float64(max(1, len(c.Values)))
		p.Labels = append(p.Labels, Label{X: left, Y: plotTop + plotHeight + labelHeight/2, Text: c.Label})
		for i, v := range c.Values {
			if v.Missing {
				continue
			}
			height := min(1, v.Value/top) * plotHeight
			p.Bars = append(p.Bars, Bar{
				X: left + float64(i)*width, Y: plotTop + plotHeight - height, W: width * 0.9, H: height,
				Color: v.Color, Tip: v.Tip,
			})
		}
	}
	return p
}
