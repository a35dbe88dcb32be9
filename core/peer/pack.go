package peer

import (
	"maps"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// PacketBytes is the size up to which an encoded message is sent whole. A datagram of
// several packets is lost with each of them.
const PacketBytes = 1400

// Pack returns the datagrams of a message. If it does not fit into one packet, the counts
// and all that tells of the sender itself come first, alone, and the lists follow in parts.
// It also returns the error of an item that fits into no datagram, and leaves that out.
func Pack(m Message) ([][]byte, error) {
	if m.listItems() == 0 {
		return packCounts(m)
	}
	if whole, err := Encode(m); err == nil && len(whole) <= PacketBytes {
		return [][]byte{whole}, nil
	}
	head, lists := m.split()
	data, err := packCounts(head)
	parts, listErr := packLists(lists)
	if err == nil {
		err = listErr
	}
	return append(data, parts...), err
}

// split returns the message without its lists, and one with these alone.
func (m Message) split() (head, lists Message) {
	head, lists = m, m
	head.Routers, head.Confirmed, head.Limits, head.LeavingEndpoints, head.Loads, head.VersionLoaded = nil, nil, nil, nil, nil, nil
	head.Attempts, head.AnnouncedVersions, head.Seen, head.Silent = nil, nil, nil, nil
	head.Releases = nil
	head.Incidents, head.Outcomes = nil, nil
	head.Domains = nil
	lists.Counts = quota.Counts{Router: m.Counts.Router, Incarnation: m.Counts.Incarnation}
	lists.Addr, lists.Domain, lists.LeaseDisclaimer = "", "", nil
	return head, lists
}

// packCounts encodes counts, in several messages if there are too many accounts. None of
// these claims to be complete, as the others may be lost.
func packCounts(m Message) ([][]byte, error) {
	data, err := Encode(m)
	if err == nil || len(m.Counts.Spent) < 2 {
		return nonEmpty(data), err
	}
	first, second := m, m
	first.Counts.SpentComplete, second.Counts.SpentComplete = false, false
	first.Counts.Spent, second.Counts.Spent = halveMap(m.Counts.Spent)
	return packHalves(packCounts, first, second)
}

// packLists encodes a message of lists in as many parts as needed.
func packLists(m Message) ([][]byte, error) {
	data, err := Encode(m)
	if err == nil && len(data) <= PacketBytes {
		return nonEmpty(data), nil
	}
	first, second := m.halve()
	if second.listItems() == 0 { // one item of each list at most
		return nonEmpty(data), err
	}
	return packHalves(packLists, first, second)
}

func packHalves(pack func(Message) ([][]byte, error), first, second Message) ([][]byte, error) {
	parts, err := pack(first)
	more, moreErr := pack(second)
	if err == nil {
		err = moreErr
	}
	return append(parts, more...), err
}

func nonEmpty(data []byte) [][]byte {
	if len(data) == 0 {
		return nil
	}
	return [][]byte{data}
}

// halve returns two messages with half of each list.
func (m Message) halve() (first, second Message) {
	first, second = m, m
	first.Routers, second.Routers = halve(m.Routers)
	first.Confirmed, second.Confirmed = halve(m.Confirmed)
	first.Limits, second.Limits = halve(m.Limits)
	first.LeavingEndpoints, second.LeavingEndpoints = halve(m.LeavingEndpoints)
	first.Loads, second.Loads = halve(m.Loads)
	first.VersionLoaded, second.VersionLoaded = halve(m.VersionLoaded)
	first.Attempts, second.Attempts = halve(m.Attempts)
	first.AnnouncedVersions, second.AnnouncedVersions = halve(m.AnnouncedVersions)
	first.Seen, second.Seen = halve(m.Seen)
	first.Silent, second.Silent = halve(m.Silent)
	first.Releases, second.Releases = halve(m.Releases)
	first.Incidents, second.Incidents = halve(m.Incidents)
	first.Outcomes, second.Outcomes = halve(m.Outcomes)
	first.Domains, second.Domains = halve(m.Domains)
	return first, second
}

// listItems returns the number of items in all lists.
func (m *Message) listItems() int {
	return len(m.Routers) + len(m.Confirmed) + len(m.Limits) + len(m.LeavingEndpoints) + len(m.Loads) + len(m.VersionLoaded) +
		len(m.Attempts) + len(m.AnnouncedVersions) + len(m.Seen) + len(m.Silent) + len(m.Releases) + len(m.Incidents) + len(m.Outcomes) +
		len(m.Domains)
}

// halve returns the two halves of a list, the first one of which is not shorter.
func halve[T any](list []T) (first, second []T) {
	middle := (len(list) + 1) / 2
	return list[:middle:middle], list[middle:]
}

func halveMap(spent map[proto.AccountID]int64) (first, second map[proto.AccountID]int64) {
	first, second = maps.Clone(spent), map[proto.AccountID]int64{}
	for id, units := range spent {
		if len(second) >= len(spent)/2 {
			break
		}
		second[id] = units
		delete(first, id)
	}
	return first, second
}
