package front

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// minWaited is how much less of their time than others of their account and route callers
// must have left to count as returning. The time on the way varies less.
const minWaited = 50 * time.Millisecond

// quotaRequest describes the request to its account's limit. Its content identifies a retry
// at the router that refused it. Other routers only see that the caller has less time left
// than one that has just begun.
func (x *request) quotaRequest(units int64) quota.Request {
	q := quota.Request{Units: units, Key: xxhash.Sum64String(string(x.traits[0])), Remaining: x.info.Remaining}
	if x.info.Remaining <= 0 {
		return q
	}
	f, key := x.front, x.route.Name+"\x00"+string(x.account.ID)
	longest, known := f.patience.Longest(x.arrived, key)
	x.returning = known && longest-x.info.Remaining >= minWaited
	q.Returning = x.returning
	if x.preview == nil {
		f.patience.Record(x.arrived, key, x.info.Remaining)
	}
	return q
}

// noteQuota counts what an account's limit decided about a request.
func (t *telemetry) noteQuota(d quota.Decision) {
	outcome := "promised"
	switch {
	case d.OK && d.Returning:
		outcome = "kept"
	case d.OK:
		return
	case d.Returning:
		outcome = "refused_again"
	case !d.Promised:
		outcome = "too_late"
	}
	t.set.GetOrCreateCounter(`kumquatsill_account_retries_total{outcome="` + outcome + `"}`).Inc()
}
