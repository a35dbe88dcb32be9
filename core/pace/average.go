package pace

import (
	"math"
	"slices"
	"time"
)

// average is a moving average that starts from a prior. The zero value has seen
// nothing.
type average struct{ weight, sum float64 }

const (
	// averageReach is the number of observations over which averages, lines and
	// distributions extend: enough to smooth single responses, few enough to
	// follow a change within some seconds of traffic.
	averageReach = 20
	keep         = 1 - 1.0/averageReach
	// priorWeight is the number of observations that the prior counts for.
	priorWeight = 2
)

func (a *average) add(v float64) {
	a.weight = a.weight*keep + 1
	a.sum = a.sum*keep + v
}

// mean returns the average, of which the prior is a part.
func (a *average) mean(prior float64) float64 {
	return (a.sum + priorWeight*prior) / (a.weight + priorWeight)
}

// fit is a straight line: the value at 0 and its growth for each step.
type fit struct{ base, slope float64 }

func (f fit) at(n float64) float64 { return f.base + f.slope*n }

// line fits a straight line to observations by least squares.
type line struct{ w, n, nn, t, nt float64 }

// priorSpan is the distance between the two points that stand for the prior.
const priorSpan = 16

func (l *line) add(n, t float64) {
	*l = line{l.w * keep, l.n * keep, l.nn * keep, l.t * keep, l.nt * keep}.plus(1, n, t)
}

func (l line) plus(weight, n, t float64) line {
	return line{l.w + weight, l.n + weight*n, l.nn + weight*n*n, l.t + weight*t, l.nt + weight*n*t}
}

// fit returns the line through the observations and the prior. Neither its base
// nor its slope is negative.
func (l line) fit(prior fit) fit {
	l = l.plus(priorWeight/2, 0, prior.at(0)).plus(priorWeight/2, priorSpan, prior.at(priorSpan))
	slope := (l.w*l.nt - l.n*l.t) / (l.w*l.nn - l.n*l.n) // the prior's points differ, so this is no division by 0
	base := (l.t - slope*l.n) / l.w
	switch {
	case slope < 0:
		return fit{base: l.t / l.w}
	case base < 0:
		return fit{slope: l.nt / l.nn}
	}
	return fit{base: base, slope: slope}
}

// edges are the bounds of the intervals of a distribution. They are finest around
// the bounds of common routes, some hundred milliseconds.
var edges = [...]time.Duration{
	0, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 70 * time.Millisecond, 100 * time.Millisecond,
	140 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
}

// exceedance holds, for each edge, the share of values that are at least as great.
type exceedance [len(edges)]float64

// distribution counts delays by interval, the latest with the most weight.
type distribution struct {
	weight float64
	counts exceedance
}

func (d *distribution) add(v time.Duration) {
	i, found := slices.BinarySearch(edges[:], max(0, v))
	if !found {
		i--
	}
	d.weight = d.weight*keep + 1
	for j := range d.counts {
		d.counts[j] *= keep
	}
	d.counts[i]++
}

// exceedance returns the shares, of which the prior is a part.
func (d *distribution) exceedance(prior *exceedance) exceedance {
	var shares exceedance
	above := 0.0
	for i, n := range slices.Backward(d.counts[:]) {
		above += n
		shares[i] = (above + priorWeight*prior[i]) / (d.weight + priorWeight)
	}
	return shares
}

// locate returns the interval of a positive bound, and the part of the interval below
// the bound.
func locate(bound time.Duration) (interval int, part float64) {
	for i := 1; i < len(edges); i++ {
		if bound < edges[i] {
			return i - 1, float64(bound-edges[i-1]) / float64(edges[i]-edges[i-1])
		}
	}
	return len(edges) - 1, 0
}

// chanceAt returns the share of values that exceed a bound, interpolated between
// edges.
func (x *exceedance) chanceAt(interval int, part float64) float64 {
	if part == 0 {
		return x[interval]
	}
	return x[interval] + part*(x[interval+1]-x[interval])
}

// medianStep is by how much a share follows those of single endpoints.
const medianStep = 0.01

// follow moves each share by a step towards that of an endpoint, so that they follow the
// median of all endpoints.
func (x *exceedance) follow(endpoint *exceedance) {
	for i, share := range endpoint {
		x[i] += clamp(share-x[i], -medianStep, medianStep)
	}
}

// punctual is the prior of delays: none exceeds any bound.
var punctual = exceedance{1}

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }
