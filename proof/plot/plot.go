// Package plot draws grouped bar charts as SVG in HTML pages.
package plot

import (
	_ "embed"
	"html/template"
)

//go:embed plot.html
var plotTemplate string

// Parse parses a page template, which can draw a Plot with {{template "plot" .}}
// and call funcs. funcs may be nil. Parse panics if the page is malformed.
func Parse(page string, funcs template.FuncMap) *template.Template {
	return template.Must(template.Must(template.New("page").Funcs(funcs).Parse(page)).Parse(plotTemplate))
}

// Plot is a bar chart with its layout in pixels.
type Plot struct {
	Title         string
	Bars          []Bar
	Labels        []Label
	Width, Height int
}

// Bar is a bar. X and Y are its upper left corner, W and H its width and height,
// in pixels from the upper left corner of the chart. Tip is its tooltip.
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
	// Dimensions in pixels.
	plotWidth   = 1000
	plotHeight  = 220
	plotTop     = 20
	labelHeight = 30
)

// Value is the value of a bar. A missing value leaves its place empty.
type Value struct {
	Value   float64
	Missing bool
	Color   string
	Tip     string
}

// Group is a labeled group of adjacent bars.
type Group struct {
	Label  string
	Values []Value
}

// New lays out the groups side by side. Bars of values above top are cut off at
// the full height.
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
