package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
)

// BenchmarkChoose measures one Choose call; one in ten engines holds the shared
// parts.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 49, 600} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			r := newFixture(b, engines)
			benchmarkChoose(b, r, engines, r.query("own"))
		})
	}
}

// BenchmarkChoosePaced measures one Choose call for a stream that limits gaps and states
// its sizes, at engines that report their slowdown.
func BenchmarkChoosePaced(b *testing.B) {
	for _, engines := range []int{49, 600} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			r := newFixture(b, engines)
			r.placer.Configure(pacedConfig(b))
			for i := range engines {
				r.run(i, usualEngine, 2890, 20)
			}
			q := r.query("own")
			q.TargetGap, q.TargetLatency = testGap, testLatency
			q.Size = place.Size{PromptTokens: 6800, MaxOutput: 200, LengthHint: 60}
			benchmarkChoose(b, r, engines, q)
		})
	}
}

func benchmarkChoose(b *testing.B, r *fixture, engines int, q *place.Query) {
	salt := fmt.Sprint(model, 1)
	for i := 0; i < engines; i += 10 {
		r.placer.Events(r.now, engineID(i), 1, false, []place.PartEvent{
			{Added: true, Key: place.KeyOf(salt, "top"), Tokens: 2500},
			{Added: true, Key: place.KeyOf(salt, "thing"), Tokens: 3800},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.now = r.now.Add(time.Millisecond)
		r.choose(q)
	}
}
