package place

import "github.com/kumquatsill/kumquatsill/core/discovery"

// allows reports whether the request may be sent to the release of an endpoint.
func (q *Query) allows(e *discovery.Endpoint) bool { return q.Allows == nil || q.Allows(e) }

// releaseExclusion returns why an endpoint of a release that is not allowed cannot take the
// request. One that has to go to certain endpoints finds none then, and must not wait.
func (q *Query) releaseExclusion() exclusion {
	if len(q.Only) > 0 {
		return excludedAttempts
	}
	return excludedRelease
}
