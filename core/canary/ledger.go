package canary

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// shareMargin is the part of the exposure share that routers use. The rest covers
	// requests that the operator counts on the other side of the order or its deadline.
	shareMargin = 0.9
	// slackMargin is the part of the exposure slack that is distributed. The rest covers
	// routers whose lists of members differ.
	slackMargin = 0.5
)

// ledger counts a router's own requests of one rollout and bounds those sent to the new
// release.
type ledger struct {
	// requests counts the requests that were sent to the service since the order, sent the
	// attempts among them at the new release.
	requests, sent int64
	share, slack   float64
}

// mayAdd reports whether one more attempt at the new release keeps the bound.
func (l *ledger) mayAdd() bool {
	return float64(l.sent+1) <= l.share*float64(l.requests)+l.slack
}

// slackPart returns the whole number of requests that a router may send to the new release
// regardless of its requests. Whole units are distributed by rank, because with more routers
// than units a fraction would allow none of them a request.
func slackPart(b Bounds, service string, self proto.RouterID, members []proto.RouterID) float64 {
	units := int(slackMargin * b.ExposureSlack)
	ranked := slices.Clone(members)
	if !slices.Contains(ranked, self) {
		ranked = append(ranked, self)
	}
	hash := func(id proto.RouterID) uint64 { return xxhash.Sum64String(service + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b proto.RouterID) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	part := units / len(ranked)
	if slices.Index(ranked, self) < units%len(ranked) {
		part++
	}
	return float64(part)
}
