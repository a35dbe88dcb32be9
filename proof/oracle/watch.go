package oracle

import (
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// ConfigChanged updates the expected state with the changes of a note, at the
// time of its acceptance.
func (o *Oracle) ConfigChanged(now proto.Instant, old, next *note.Config) {
	for hash, k := range next.Keys {
		o.keys[hash] = k.Account
		delete(o.withdrawn, hash)
	}
	for hash := range old.Keys {
		if _, ok := next.Keys[hash]; !ok {
			o.KeyWithdrawn(hash, now)
		}
	}
	for id, a := range next.Accounts {
		if old.Accounts[id] != a {
			o.SetAccount(now, a)
		}
	}
	for id, e := range next.Endpoints {
		switch {
		case !e.Leaving:
			delete(o.leaving, id)
		case !old.Endpoints[id].Leaving:
			o.Leaving(id, now)
		}
	}
}

// CheckRestarted checks a restarted router at the time by which it must be
// ready.
func (o *Oracle) CheckRestarted(router proto.Addr, s *exchange.Snapshot) {
	o.assert(check.WarmRestart, s.Ready, "%v is not ready in time after its start", router)
	o.warm[router] = s.Ready
}

// Sent processes a message at the time at which it is sent. An endpoint gets work
// only when its agent accepts an attempt: a dispatch that the agent refuses,
// such as one that was delayed for long, does not count.
func (o *Oracle) Sent(now proto.Instant, e proto.Envelope) {
	switch m := e.Msg.(type) {
	case proto.Dispatch:
		if m.ResumeAfter > 0 {
			o.resumes[m.Attempt] = true
		}
	case proto.Accepted:
		o.onAccepted(now, proto.EndpointID(e.From.ID), m)
	}
}

// onAccepted checks that a leaving endpoint accepts no new work. Further attempts
// of a request that it already has and resumed streams are not new work.
func (o *Oracle) onAccepted(now proto.Instant, endpoint proto.EndpointID, m proto.Accepted) {
	w := work{endpoint: endpoint, request: m.Attempt.Request()}
	known := o.acceptedWork[w] || o.resumes[m.Attempt]
	o.acceptedWork[w] = true
	at, leaving := o.leaving[endpoint]
	late := leaving && !known && now > at.Add(maxDrainDelay)
	o.assert(check.Drain, !late, "endpoint %s took attempt %s %v after it began to leave", endpoint, m.Attempt, now.Sub(at))
}

// CheckEnded checks at the end of the run that a request was not lost by the
// graceful shutdown of its router; done tells whether it has ended. Requests of
// crashed routers must be left out.
func (o *Oracle) CheckEnded(id proto.RequestID, done bool) {
	r := o.requests[id]
	if r == nil {
		return
	}
	if at, ok := o.stopping[r.router]; ok && r.arrived < at {
		o.assert(check.GracefulStop, done, "request %s was lost by the shutdown of %v", id, r.router)
	}
}

// countWrongful counts the refusal of a request that is within the limits of its
// account and whose key is in force.
func (o *Oracle) countWrongful(now proto.Instant, r *request, m proto.CallerRefusal) {
	if _, withdrawn := o.withdrawn[r.msg.Key]; withdrawn {
		return
	}
	account, ok := o.keys[r.msg.Key]
	if !ok || !o.WithinLimits(now, account, cost(r.msg)) {
		return
	}
	switch m.Cause {
	case proto.CauseRateLimited, proto.CauseNotReady, proto.CauseStale, proto.CauseNoEndpoint,
		proto.CauseOverload, proto.CauseLogUnavailable, proto.CauseUnknownKey:
		o.Wrongful++
	}
}

// bytesPerToken converts the size of the body of a plain call to tokens.
const bytesPerToken = 4

// cost returns the tokens that a request is charged.
func cost(m proto.CallerRequest) int64 {
	if m.Class == proto.ClassCall {
		return max(1, int64(len(m.Body))/bytesPerToken)
	}
	return m.PromptTokens + m.MaxTokens
}
