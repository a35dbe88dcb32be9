package peer_test

import (
	"fmt"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fleetOf returns routers spread over failure domains.
func fleetOf(routers, domains int) []peer.Target {
	var fleet []peer.Target
	for i := range routers {
		fleet = append(fleet, peer.Target{
			ID: proto.RouterID(fmt.Sprintf("r%03d", i)), Domain: proto.Domain(fmt.Sprint("d", i%domains)), Alive: true,
		})
	}
	return fleet
}

func inOtherDomains(fleet []peer.Target, own proto.Domain) []peer.Target {
	var far []peer.Target
	for _, t := range fleet {
		if t.Domain != own {
			far = append(far, t)
		}
	}
	return far
}

// Pattern: a hundred routers in five failure domains tell each other their counts.
// Guards against traffic between failure domains that grows with the square of the
// fleet, and against routers that a message does not reach.
func TestForwardedMessageReachesEveryDomainOnce(t *testing.T) {
	fleet := fleetOf(103, 5)
	for n := range 40 {
		crossing := 0
		for _, sender := range fleet {
			reached := map[proto.RouterID]int{}
			for _, f := range peer.Forwarders(inOtherDomains(fleet, sender.Domain), n) {
				crossing++
				for _, r := range fleet {
					if r.Domain == f.Domain {
						reached[r.ID]++ // the forwarder itself and those that it sends to
					}
				}
			}
			for _, r := range inOtherDomains(fleet, sender.Domain) {
				if reached[r.ID] != 1 {
					t.Fatalf("message %d of %s reached %s %d times", n, sender.ID, r.ID, reached[r.ID])
				}
			}
		}
		if most := 4 * len(fleet); crossing > most {
			t.Fatalf("%d messages between failure domains for one message of each router, want at most %d", crossing, most)
		}
	}
}

// Guards against a failed forwarder that hides a whole failure domain: another takes
// the next message, and those known to be silent take none while others are alive.
func TestForwardersTakeTurnsAndAreAlive(t *testing.T) {
	fleet := fleetOf(10, 2)
	far := inOtherDomains(fleet, "d0")
	used := map[proto.RouterID]bool{}
	for n := range len(far) {
		used[peer.Forwarders(far, n)[0].ID] = true
	}
	if len(used) != len(far) {
		t.Errorf("%d of %d routers forward", len(used), len(far))
	}
	for i := range far[1:] {
		far[i].Alive = false
	}
	last := far[len(far)-1].ID
	for n := range len(far) {
		if got := peer.Forwarders(far, n)[0].ID; got != last {
			t.Errorf("%s forwards, only %s is alive", got, last)
		}
	}
	far[len(far)-1].Alive = false
	if len(peer.Forwarders(far, 0)) != 1 {
		t.Error("nobody forwards in a domain that was never heard")
	}
}

// Guards against a mark that changes the message.
func TestUnmarkReturnsTheMessage(t *testing.T) {
	const message = `{"counts":{"router":"r"}}`
	for _, marked := range []bool{false, true} {
		datagram := []byte(message)
		if marked {
			datagram = peer.MarkForwarded(datagram)
		}
		if got, forward := peer.Unmark(datagram); string(got) != message || forward != marked {
			t.Errorf("message %q, forward %t, want %t", got, forward, marked)
		}
	}
}
