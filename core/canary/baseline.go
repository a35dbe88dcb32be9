package canary

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of a spread.
	bucketsPerDoubling = 4
	// numBuckets covers values from 2^-minExponent to 2^19.
	numBuckets, minExponent = 128, 13
	// spreadMemory is the number of values after which older ones count half.
	spreadMemory = 400
	// minBaseline is the number of values below which a spread says nothing.
	minBaseline = 20
	// slowMedian is the multiple of the old release's median above which a response is slow
	// if it also exceeds slowQuantile. Bad releases are several times slower.
	slowMedian, slowQuantile = 2.5, 0.9
	// tailQuantile is the quantile that few responses of the old release exceed.
	tailQuantile = 0.97
	// overdueTail is the multiple of tailQuantile of the duration after which an attempt
	// that has not ended counts as slow.
	overdueTail = 3
	// latencyPad is added to all times, so that differences of few milliseconds, such as a
	// transfer between failure domains, do not count as several times slower.
	latencyPad = 4 * time.Millisecond
	// prefillToken is the time by which a token that the endpoint has to prefill lengthens
	// the expected time to first byte. It is the time of slow engines, so that an endpoint
	// without cached parts does not look slow.
	prefillToken = 33 * time.Microsecond
)

// spread is a histogram of values on a logarithmic scale in which recent values weigh more.
type spread struct {
	counts [numBuckets]uint16
	total  int
}

func bucketOf(v float64) int {
	return min(max(0, int(bucketsPerDoubling*(math.Log2(v)+minExponent))), numBuckets-1)
}

func (s *spread) add(v float64) {
	if s.total >= spreadMemory {
		s.total = 0
		for i := range s.counts {
			s.counts[i] /= 2
			s.total += int(s.counts[i])
		}
	}
	s.counts[bucketOf(v)]++
	s.total++
}

// quantile returns the upper limit of the bucket that holds a quantile.
func (s *spread) quantile(q float64) float64 {
	left := int(math.Ceil(q * float64(s.total)))
	for i, n := range s.counts {
		if left -= int(n); left <= 0 {
			return math.Exp2(float64(i+1)/bucketsPerDoubling - minExponent)
		}
	}
	return math.Inf(1)
}

// isSlow reports whether a value is several times greater than those of the spread.
func (s *spread) isSlow(v float64) bool {
	return s.total >= minBaseline && v > max(slowMedian*s.quantile(0.5), s.quantile(slowQuantile))
}

// baseline holds the recent times of the responses of a route by the old release.
type baseline struct {
	// first and rest are normalized by the work of the request; see Timing.
	first, rest spread
	// duration is in seconds.
	duration spread
}

// Timing is when a response arrived, and the work behind it.
type Timing struct {
	// FirstByte and Total are the times to the first byte and to the end.
	FirstByte, Total time.Duration
	// PrefillTokens is the number of prompt tokens that the endpoint had to prefill or fetch by
	// the router's knowledge of its cache, OutputTokens the expected number of output tokens.
	PrefillTokens, OutputTokens int64
}

// normalized returns the times to the first byte and from there to the end in relation to
// the work of the request.
func (t Timing) normalized() (first, rest float64) {
	work := latencyPad + time.Duration(t.PrefillTokens)*prefillToken
	first = float64(t.FirstByte+latencyPad) / float64(work)
	rest = float64(t.Total-t.FirstByte+latencyPad) / float64(latencyPad) / float64(max(1, t.OutputTokens))
	return first, rest
}

// isSlow reports whether a response is several times slower than those of the old release.
func (b *baseline) isSlow(t Timing) bool {
	first, rest := t.normalized()
	return b.first.isSlow(first) || b.rest.isSlow(rest)
}

// add adds a response of the old release.
func (b *baseline) add(t Timing) {
	first, rest := t.normalized()
	b.first.add(first)
	b.rest.add(rest)
	b.duration.add(t.Total.Seconds())
}

// isOverdue reports whether an attempt has lasted for longer than one that is several times
// slower than those of the old release.
func (b *baseline) isOverdue(age time.Duration) bool {
	return b.duration.total >= minBaseline && age > 10*latencyPad &&
		age.Seconds() > overdueTail*b.duration.quantile(tailQuantile)
}
