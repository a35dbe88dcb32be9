package front

import "testing"

// The early messages of a fleet must not grow with the square of its size: at one
// every 40 ms, each router of a fleet of 300 could send 7,500 datagrams a second.
func TestEarlyMessagesAreBounded(t *testing.T) {
	const most = 700 // datagrams a second
	for _, peers := range []int{1, 5, 26, 100, 299, 1000} {
		if sent := float64(peers) / earlyInterval(peers).Seconds(); sent > most {
			t.Errorf("%d peers: %.0f datagrams a second", peers, sent)
		}
	}
	if earlyInterval(26) != minEarlyInterval {
		t.Error("a fleet of 27 routers waits longer than it has to")
	}
}
