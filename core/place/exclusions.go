package place

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
)

// exclusion is why an endpoint could not take a request.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedLimit means that this router's share of the endpoint's limit is used up.
	excludedLimit
	// excludedPause means that the endpoint takes no requests from this router for a time.
	excludedPause
	// excludedLeaving means that the endpoint leaves.
	excludedLeaving
	// excludedTried means that an attempt was already sent to the endpoint.
	excludedTried
	// excludedAttempts means that the request may not be sent to a further endpoint.
	excludedAttempts
	// excludedVersion means that the endpoint loads weights or has none that the request
	// may run on.
	excludedVersion
	// excludedMemory means that the prompt exceeds the endpoint's whole memory.
	excludedMemory
	// excludedRelease means that the request may not be sent to the endpoint's release.
	excludedRelease
	numExclusions
)

var exclusionNames = [numExclusions]string{
	excludedLimit: "limit", excludedPause: "pause", excludedLeaving: "leaving", excludedTried: "tried", excludedAttempts: "attempts", excludedVersion: "version",
	excludedMemory: "memory", excludedRelease: "release",
}

// exclusionOf returns why an endpoint cannot take a request, apart from its version.
func exclusionOf(e *discovery.Endpoint, p endpointstate.Permission, q *Query) exclusion {
	switch {
	case len(q.Only) > 0 && !slices.Contains(q.Only, e.ID):
		return excludedAttempts
	case !q.allows(e):
		return q.releaseExclusion()
	case e.Leaving:
		return excludedLeaving
	case p.Reason == endpointstate.Paused:
		return excludedPause
	case p.Reason == endpointstate.Leaving && !p.LastResort:
		return excludedLeaving
	case p.Reason == endpointstate.LimitReached:
		return excludedLimit
	case slices.Contains(q.Exclude, e.ID):
		return excludedTried
	}
	return notExcluded
}

// Exclusions counts the endpoints of a service that could not take a request, by reason.
type Exclusions struct {
	counts [numExclusions]int
	// limitWait is the least time until a limit allows a request, pauseWait the least time
	// until a pause ends; 0 if unknown.
	limitWait, pauseWait time.Duration
}

// Paused returns the number of endpoints that were excluded because they take no requests
// for a time, and the least time until one of them does.
func (x *Exclusions) Paused() (endpoints int, wait time.Duration) {
	return x.counts[excludedPause], x.pauseWait
}

// MayReturnSoon reports whether an endpoint was excluded that may take the caller's next
// request: one that was tried or that changes its weights.
func (x *Exclusions) MayReturnSoon() bool {
	return x.counts[excludedTried]+x.counts[excludedVersion] > 0
}

// OnlyAttempts reports whether no endpoint was found but those to which the request may not
// be sent.
func (x *Exclusions) OnlyAttempts() bool {
	return *x == Exclusions{counts: [numExclusions]int{excludedAttempts: x.counts[excludedAttempts]}}
}

// Leaving returns the number of endpoints that were excluded because they leave.
func (x *Exclusions) Leaving() int { return x.counts[excludedLeaving] }

// add counts an endpoint. wait is the time until it may take a request, or 0.
func (x *Exclusions) add(reason exclusion, wait time.Duration) {
	x.counts[reason]++
	switch reason {
	case excludedLimit:
		x.limitWait = leastKnown(x.limitWait, wait)
	case excludedPause:
		x.pauseWait = leastKnown(x.pauseWait, wait)
	}
}

// leastKnown returns the lesser of two times of which 0 is unknown.
func leastKnown(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Limited returns the number of endpoints that were excluded by the limits that they
// name, and the least time until one of them may take a request, 0 if unknown.
func (x *Exclusions) Limited() (endpoints int, wait time.Duration) {
	return x.counts[excludedLimit], x.limitWait
}

// String returns the counts that are not 0, for logs.
func (x *Exclusions) String() string {
	var words []string
	for reason, n := range x.counts {
		if n > 0 {
			words = append(words, fmt.Sprint(exclusionNames[reason], ":", n))
		}
	}
	return strings.Join(words, " ")
}
