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
			salt := fmt.Sprint(model, 1)
			for i := 0; i < engines; i += 10 {
				r.placer.Events(r.now, engineID(i), 1, false, []place.PartEvent{
					{Added: true, Key: place.KeyOf(salt, "top"), Tokens: 2500},
					{Added: true, Key: place.KeyOf(salt, "thing"), Tokens: 3800},
				})
			}
			q := r.query("own")
			b.ReportAllocs()
			for b.Loop() {
				r.now = r.now.Add(time.Millisecond)
				r.choose(q)
			}
		})
	}
}
