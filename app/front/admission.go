package front

import (
	"fmt"
	"net/http"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/core/relay"
)

const (
	// outcomePeriod is the number of message intervals between two reports of outcomes. It
	// is a multiple of farPeriod, so that far peers get them, too.
	outcomePeriod = int(admission.ReportInterval / quota.Interval)
	// outcomeReceivers is the number of datagrams of each report up to which outcomePeriod
	// holds. With more it is a multiple, as a router spends at most 3 KB/s on control.
	outcomeReceivers = 16
)

// admitRank refuses a request of one of the least urgent ranks of its service while more
// urgent ones are not served in time.
func (x *request) admitRank() bool {
	f, now := x.front, driver.Now()
	q := x.rankRequest(now)
	d := f.admission.Admit(now, q, func() place.ServiceLoad { return f.placer.ServiceLoad(now, x.service) })
	if d.OK {
		return true
	}
	if x.account != nil {
		f.quota.Refund(now, x.account.ID, x.chargedUnits)
	}
	x.log = x.log.With("service", x.service, "rank", q.Rank, "admitted_fraction", d.Fraction, "promised", d.Promised)
	return x.reject(http.StatusServiceUnavailable, "less_urgent", d.RetryAfter)
}

// rankRequest describes the request to the admission by rank.
func (x *request) rankRequest(now proto.Instant) admission.Request {
	return admission.Request{
		Service: x.service, Rank: x.rank(), Account: x.accountID(), Route: x.route.Name, Tokens: x.info.Tokens(),
		Remaining: x.deadline.Sub(now), Returning: x.returning,
	}
}

// recordAdmissionOutcome records how an admitted request ended. What has nothing to do with
// the load of the endpoints is left out.
func (x *request) recordAdmissionOutcome(now proto.Instant, decision relay.Decision) {
	outcome := admission.Unserved
	switch {
	case decision.Reason == reasonStopping, decision.Reason == "crashes_endpoints":
		return
	case decision.Action == relay.Drop && x.firstByteAt == 0 && now.Sub(x.arrived) <= x.route.TargetLatency:
		return // the caller left before anything was late
	case decision.Action == relay.Deliver && x.saved != nil && x.saved.status >= http.StatusInternalServerError:
		return // the endpoint's own failure
	case x.firstByteAt == 0:
	case x.route.TargetLatency <= 0 || x.firstByteAt.Sub(x.arrived) <= x.route.TargetLatency:
		outcome = admission.InTime
	default:
		outcome = admission.Late
	}
	x.front.admission.Record(now, x.service, x.rank(), outcome)
}

// controlAdmission adapts what is admitted of each rank.
func (f *Front) controlAdmission(now proto.Instant) {
	changes := f.admission.Evaluate(now, func(service string) place.ServiceLoad { return f.placer.ServiceLoad(now, service) })
	for _, c := range changes {
		f.log.Info("admission changed", "service", c.Service, "rank", c.Rank, "before", c.Before, "after", c.After, "reason", string(c.Reason),
			"urgent_missed", c.UrgentMissed, "others_missed", c.OthersMissed, "outcomes", c.Outcomes,
			"slots", c.Load.Slots, "running", c.Load.Running, "waiting", c.Load.Waiting)
		f.metrics.admitted(c)
	}
}

// addOutcomes adds the outcomes by rank to the n-th periodic message, if they are due.
func (f *Front) addOutcomes(now proto.Instant, n int, m *peer.Message) {
	if n%outcomePeriod != 0 {
		return
	}
	if n/outcomePeriod%((f.receivers()+outcomeReceivers-1)/outcomeReceivers) == 0 {
		m.Outcomes = f.admission.Reports(now)
	}
}

// admitted records the fraction of a rank that is admitted.
func (t *telemetry) admitted(c admission.Change) {
	t.set.GetOrCreateFloatCounter(fmt.Sprintf(`kumquatsill_admitted_fraction{service=%q,rank="%d"}`, c.Service, c.Rank)).Set(c.After)
	t.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_admission_changes_total{service=%q,rank="%d",reason=%q}`, c.Service, c.Rank, c.Reason)).Inc()
}
