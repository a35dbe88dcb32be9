package front

import (
	"fmt"

	"github.com/kumquatsill/kumquatsill/core/place"
)

const (
	// routeRanks is the number of route priorities that are told apart within one priority.
	routeRanks = 10
	// maxUnsharedTokens is the number of shared prompt tokens up to which a request may be sent
	// without the use of shared cache entries. Engines read them in some tens of milliseconds.
	maxUnsharedTokens = 1000
)

// priority returns the priority of the request; 0 is the highest. That of the account takes
// precedence over that of the route.
func (x *request) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// rank returns the rank of the request among those of its service; 0 is the most urgent. It is
// the priority. Where the settings ask for it, routes rank the requests of equal accounts.
func (x *request) rank() int {
	if !x.front.settings.Load().RoutesRankAccounts {
		return x.priority()
	}
	return x.priority()*routeRanks + min(max(0, x.route.Priority), routeRanks-1)
}

// endpointPriority returns the priority that the endpoint of an attempt is told.
func (x *request) endpointPriority() int {
	if x.isBehind {
		return x.priority() + 1
	}
	return x.priority()
}

// mayWaitForUrgent reports whether endpoints may admit the requests of more urgent routes of
// equal accounts before this one, and preempt it for them. They may while these requests miss
// their targets.
//
// An endpoint reads a preempted request again under the weights that it has by then, into cache
// entries that bear the version with which it was sent. Requests that may be preempted therefore
// share no cache entries, and those that would have to read much for that are left out.
func (x *request) mayWaitForUrgent() bool {
	if !x.front.settings.Load().RoutesRankAccounts || x.route.Priority <= 0 {
		return false
	}
	shared := int64(0)
	for i, p := range x.info.Parts {
		if i < len(x.info.Parts)-1 {
			shared += p.Tokens
		}
	}
	return len(x.info.Parts) > 0 && shared <= maxUnsharedTokens && x.front.admission.YieldsTo(x.service, x.rank())
}

// wholePrompt returns the prompt as one part that no other request shares.
func (x *request) wholePrompt() place.Part {
	whole := place.Part{ID: x.info.ID}
	for _, p := range x.info.Parts {
		whole.Tokens += p.Tokens
	}
	return whole
}

// ownSalt returns a salt under which no other request finds cache entries.
func (x *request) ownSalt(version int64) string {
	return fmt.Sprintf("%s.%s", x.salt(version), x.info.ID)
}
