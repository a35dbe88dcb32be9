package front

import "testing"

// Guards against early messages that grow with the square of the fleet: each
// router of 300 told all others of each large prompt at once, 318 KB/s a router.
func TestEarlyMessagesAreBounded(t *testing.T) {
	const most = 700 // datagrams a second
	for _, peers := range []int{1, 5, 26, 100, 299, 1000} {
		if sent := float64(peers) / soonPauseFor(peers).Seconds(); sent > most {
			t.Errorf("%d peers: %.0f datagrams a second", peers, sent)
		}
	}
	if soonPauseFor(26) != soonPause {
		t.Error("a fleet of 27 routers waits longer than it has to")
	}
}
