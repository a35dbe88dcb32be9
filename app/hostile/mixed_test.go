package hostile_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const (
	// mixedClients is the number of connections of all kinds together.
	mixedClients = 1000
	// smallHostMb and smallHostDescriptors are the limits of the smallest hosts.
	smallHostMb          = 112
	smallHostDescriptors = 3075
	// ordinaryCallers call during mixedTime.
	ordinaryCallers = 4
	mixedTime       = 15 * time.Second
)

// BenchmarkMixedConnections reports the figures of a router of the smallest size beside
// connections of all kinds. It is run by hand: -run '^$' -bench Mixed -benchtime 1x.
func BenchmarkMixedConnections(b *testing.B) {
	for range b.N {
		measureMixed(b)
	}
}

func measureMixed(b *testing.B) {
	r := startRouter(b, smallHostMb, smallHostDescriptors)
	r.register(hosting.NewEngine("large-1", "large", ""), r.listen(largeEndpoint{id: "large-1"}))
	r.await("the endpoint", func() bool { return r.begins("/large/x") })
	large, small := chunked(bodyBytes, 256<<10), chunked(bodyBytes, 16)
	whole := bytes.Repeat([]byte("x"), bodyBytes-1)
	half := head("/plain/x", crowdKey) + "X-Name: " + strings.Repeat("x", halfHeadBytes)
	var answered, refused atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(mixedTime)
	for range ordinaryCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				if r.callOnce() {
					answered.Add(1)
				} else {
					refused.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	var reached atomic.Int64
	r.crowd(mixedClients, r.dial, func(i int, c net.Conn) {
		reached.Add(1)
		switch i % 6 {
		case 0:
			_, _ = io.WriteString(c, head("/plain/x", crowdKey)+chunkedLine)
			_, _ = c.Write(large)
		case 1:
			_, _ = io.WriteString(c, head("/plain/x", crowdKey)+chunkedLine)
			_, _ = c.Write(small)
		case 2:
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("/plain/x", crowdKey), bodyBytes)
			_, _ = c.Write(whole)
		case 3:
			_, _ = io.WriteString(c, half)
		case 4:
			_, _ = io.WriteString(c, head("/large/x", crowdKey)+"Content-Length: 4\r\n\r\nbody")
		}
	})
	callers.Wait()
	r.await("an ordinary request", r.callOnce)
	b.ReportMetric(float64(r.memoryPeak()>>10), "peak-MB")
	b.ReportMetric(float64(r.peakDescriptors.Load()), "descriptors")
	b.ReportMetric(float64(reached.Load()), "connections")
	b.ReportMetric(float64(answered.Load()), "answered")
	b.ReportMetric(float64(refused.Load()), "not-answered")
}
