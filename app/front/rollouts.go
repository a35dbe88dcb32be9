package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/uptrace/bunrouter"
)

const (
	// rolloutInterval is the time between two steps of the rollouts.
	rolloutInterval = 50 * time.Millisecond
	// contactTimeout is how long a peer counts as in contact after its last message. Far
	// peers send every 400 ms, and two of their messages may be lost in a row.
	contactTimeout = 1300 * time.Millisecond
)

// hasRollouts reports whether the settings contain the bounds of rollouts. They cannot change
// while the process runs, as orders are ignored without them.
func (f *Front) hasRollouts() bool { return f.cfg.Settings.Rollout.Enabled() }

// applyRolloutOrder handles the operator's order of a rollout.
func (f *Front) applyRolloutOrder(now proto.Instant, r platform.Record) {
	if !f.hasRollouts() {
		return
	}
	order, err := platform.DecodeRolloutOrder(r)
	if err != nil {
		f.log.Error("rollout order ignored", "key", r.Key, "offset", r.At.Offset, "error", err.Error())
		return
	}
	if cfg := f.config.Load(); cfg != nil && cfg.Services[order.Service] == nil {
		f.log.Warn("rollout order for an unknown service", "service", order.Service, "to", order.To, "offset", r.At.Offset)
	}
	// Without a list of the routers, this router's part of the slack is unknown.
	isFresh := f.storeReadAt.Load() != 0 && f.routersListed.Load()
	f.rollouts.HandleOrder(now, order, isFresh, f.members())
	f.logRollouts(now)
}

// members returns the other routers, whether they are heard or not.
func (f *Front) members() []proto.RouterID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]proto.RouterID, 0, len(f.peers))
	for id := range f.peers {
		ids = append(ids, id)
	}
	return ids
}

// followRollouts follows the statuses of rollouts.
func (f *Front) followRollouts(ctx context.Context) error {
	if !f.hasRollouts() {
		return nil
	}
	w := &topicFollower{
		front: f, topic: platform.TopicRouters,
		wait:         f.rolloutStatusWait,
		apply:        forEach(f.applyRolloutStatus),
		applyListing: f.applyRolloutStatuses,
		done:         func(proto.Instant) {},
	}
	return w.run(ctx)
}

// idleStatusWait is how long a read of the statuses waits for a record while no rollout runs. Each
// read is a call to the store: with the wait of the operator's records, 21 routers made 741 more
// calls in half a minute.
const idleStatusWait = 6 * time.Second

// rolloutStatusWait returns how long a read of the statuses waits for a record.
func (f *Front) rolloutStatusWait() time.Duration {
	if f.rollouts.HasWork(driver.Now()) {
		return f.operatorWait()
	}
	return idleStatusWait
}

func (f *Front) applyRolloutStatus(now proto.Instant, r platform.Record) {
	service, ok := platform.RolloutService(r)
	if !ok {
		return
	}
	status, err := platform.DecodeRolloutStatus(r)
	if err != nil {
		f.log.Error("rollout status ignored", "key", r.Key, "offset", r.At.Offset, "error", err.Error())
		return
	}
	f.log.Info("rollout status read", "service", service, "state", string(status.State), "to", status.To, "offset", r.At.Offset)
	f.rollouts.HandleStatus(now, service, status)
}

func (f *Front) applyRolloutStatuses(now proto.Instant, records []platform.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		if service, ok := platform.RolloutService(r); ok {
			listed[service] = true
		}
		f.applyRolloutStatus(now, r)
	}
	f.rollouts.StatusesListed(listed)
}

// runRollouts does the periodic work of rollouts.
func (f *Front) runRollouts(ctx context.Context) error {
	if !f.hasRollouts() {
		return nil
	}
	return every(ctx, rolloutInterval, func(now proto.Instant) {
		writes, notify := f.rollouts.Step(now, f.rolloutInput(now))
		if notify {
			f.announceRollouts()
		}
		f.logRollouts(now)
		for _, w := range writes {
			f.startStatusWrite(ctx, w)
		}
	})
}

// rolloutInput returns what the rollouts need to know of this router.
func (f *Front) rolloutInput(now proto.Instant) canary.StepInput {
	in := canary.StepInput{
		Members: f.members(),
		Usable:  func(id proto.EndpointID) bool { return !f.placer.IsSilent(now, id) },
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, in.HoldsLease = f.lease.Held(now)
	heard := 0
	for _, p := range f.peers {
		if p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < contactTimeout {
			heard++
		}
	}
	in.InContact = 2*heard >= len(f.peers)
	return in
}

// announceRollouts tells the peers of the rollouts before the next periodic message.
func (f *Front) announceRollouts() {
	f.rolloutsChanged.Store(true)
	f.requestEarlySend()
}

// startStatusWrite writes a status in the background, unless one of the service is being
// written: a later status must not be overtaken by an earlier one.
func (f *Front) startStatusWrite(ctx context.Context, w canary.StatusWrite) {
	if _, busy := f.statusWrites.LoadOrStore(w.Service, true); busy {
		return
	}
	f.tomb.Go(func() error {
		defer f.statusWrites.Delete(w.Service)
		f.writeStatus(ctx, w)
		return nil
	})
}

func (f *Front) writeStatus(ctx context.Context, w canary.StatusWrite) {
	key, value, err := platform.EncodeRolloutStatus(w.Service, w.Status)
	if err == nil {
		f.mu.Lock()
		f.lease.RecordAction(driver.Now())
		f.mu.Unlock()
		_, err = f.store.Put(ctx, platform.TopicRouters, key, value)
	}
	if err != nil {
		f.log.Warn("rollout status not written", "service", w.Service, "state", string(w.Status.State), "to", w.Status.To, "error", err.Error())
		sleep(ctx, minBackoff)
		return
	}
	now := driver.Now()
	f.log.Info("rollout status written", "service", w.Service, "state", string(w.Status.State), "to", w.Status.To)
	f.rollouts.StatusWritten(now, w)
	f.announceRollouts()
}

// mergeRollouts applies what a peer tells of rollouts.
func (f *Front) mergeRollouts(now proto.Instant, from proto.RouterID, incarnation int64, reports []canary.Report) {
	if len(reports) > 0 && f.rollouts.Merge(now, from, incarnation, reports) {
		f.announceRollouts()
	}
}

// logRollouts logs the changes of releases and rollouts.
func (f *Front) logRollouts(now proto.Instant) {
	for _, c := range f.rollouts.TakeChanges(now) {
		f.metrics.rolloutShare(c.Service, c.Share)
		f.log.Info("rollout", "service", c.Service, "established", c.Established, "to", c.To, "phase", c.Phase.String(), "reason", c.Reason,
			"good", c.Good, "bad", c.Bad, "final", string(c.Final), "stored", string(c.Stored), "elapsed_ms", c.ElapsedMillis,
			"share", c.Share, "slack", c.Slack, "requests", c.Requests, "sent", c.Sent, "sampled_endpoints", c.Sampled,
			"old_ended", c.Old.Ended, "old_failed", c.Old.Failed, "old_slow", c.Old.Slow,
			"new_ended", c.New.Ended, "new_failed", c.New.Failed, "new_slow", c.New.Slow, "chance", c.Chance)
	}
}

func (f *Front) handleRollouts(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return Error.Wrap(json.NewEncoder(w).Encode(f.rollouts.Views(driver.Now())))
}

// chooseEndpoint chooses the endpoint of the next attempt among those of the releases that it
// may be sent to. The permit is nil without rollouts.
func (x *request) chooseEndpoint(now proto.Instant, q *place.Query, out *place.Choice) (*canary.Permit, bool) {
	return x.chooseWith(now, q, out, x.front.rollouts.Admit, x.front.placer.ChooseInto)
}

// chooseWith is chooseEndpoint with the functions that give the permit and choose.
func (x *request) chooseWith(now proto.Instant, q *place.Query, out *place.Choice, admit func(proto.Instant, canary.Query) *canary.Permit,
	choose func(proto.Instant, *place.Query, *place.Choice) bool) (*canary.Permit, bool) {
	if !x.front.hasRollouts() {
		return nil, choose(now, q, out)
	}
	permit := admit(now, canary.Query{
		Service: x.service, Route: x.route.Name, IsFirst: x.relay.Sends() == 0, IsPinned: len(q.Only) > 0,
	})
	if permit.IsRestricted() {
		q.Allows = permit.Allows
	}
	ok := choose(now, q, out)
	if (!ok || x.isOverloaded(q, out)) && permit.FallBack() {
		ok = choose(now, q, out)
	}
	return permit, ok
}

// recordRelease records the outcome of the attempt as evidence about the endpoint's release.
func (a *attempt) recordRelease(now proto.Instant, result relay.Result) {
	if a.ticket == nil {
		return
	}
	x := a.request
	timing := canary.Timing{Total: now.Sub(a.sentAt), PrefillTokens: a.choice.PrefillTokens + a.choice.FetchedTokens, OutputTokens: x.info.OutputTokens}
	timing.FirstByte = timing.Total
	if a.firstByteAt != 0 {
		timing.FirstByte = a.firstByteAt.Sub(a.sentAt)
	}
	verdict := releaseVerdict(result)
	x.front.metrics.releaseAttempted(x.service, a.choice.Endpoint.Release, verdict)
	if x.front.rollouts.End(now, a.ticket, verdict, timing) {
		x.front.announceRollouts()
	}
}

// releaseVerdict returns what the result of an attempt says about the endpoint's release. An
// endpoint that was not reached, or did not run the request, says nothing.
func releaseVerdict(result relay.Result) canary.Verdict {
	switch result {
	case relay.Completed:
		return canary.Answered
	case relay.Failed, relay.Unusable, relay.Broken, relay.Stalled:
		return canary.Failure
	case relay.DeadlineExceeded, relay.CallerGone:
		return canary.GivenUp
	}
	return canary.Neutral
}

// rolloutShare records the share of a service's requests that may go to the ordered release.
func (t *telemetry) rolloutShare(service string, share float64) {
	t.set.GetOrCreateGauge(fmt.Sprintf(`kumquatsill_rollout_share{service=%q}`, service), nil).Set(share)
}

// releaseAttempted counts an attempt by the release of its endpoint.
func (t *telemetry) releaseAttempted(service, release string, v canary.Verdict) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_release_attempts_total{service=%q,release=%q,verdict=%q}`, service, release, v)).Inc()
}
