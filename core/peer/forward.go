package peer

import (
	"cmp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Target is a router that messages can be sent to.
type Target struct {
	ID     proto.RouterID
	Domain proto.Domain
	// Alive is set if the router was heard recently.
	Alive bool
}

// Forwarders returns one router of each failure domain, which the n-th message is sent
// to and which forward it within their domain. Traffic between failure domains is
// expensive, and so does not grow with the square of the fleet. Forwarders are alive if
// a domain has any such router, and take turns, so that one that has just failed loses
// few messages.
func Forwarders(targets []Target, n int) []Target {
	byDomain := map[proto.Domain][]Target{}
	for _, t := range targets {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
	}
	var chosen []Target
	for _, candidates := range byDomain {
		if alive := onlyAlive(candidates); len(alive) > 0 {
			candidates = alive
		}
		slices.SortFunc(candidates, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
		chosen = append(chosen, candidates[n%len(candidates)])
	}
	slices.SortFunc(chosen, func(a, b Target) int { return cmp.Compare(a.Domain, b.Domain) })
	return chosen
}

func onlyAlive(targets []Target) []Target {
	var alive []Target
	for _, t := range targets {
		if t.Alive {
			alive = append(alive, t)
		}
	}
	return alive
}

// forwardMark precedes a message that its receiver forwards. It cannot begin a JSON
// object.
const forwardMark = 'F'

// MarkForwarded returns the datagram of an encoded message that its receiver forwards
// to the routers of its failure domain.
func MarkForwarded(message []byte) []byte {
	return append([]byte{forwardMark}, message...)
}

// Unmark returns the encoded message of a datagram, and whether to forward it.
func Unmark(datagram []byte) (message []byte, forward bool) {
	if len(datagram) > 0 && datagram[0] == forwardMark {
		return datagram[1:], true
	}
	return datagram, false
}
