package front

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/leader"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/upgrade"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// upgradeInterval is the time between two rounds of upgrade planning.
	upgradeInterval = 60 * time.Millisecond
	// maxLeaseCandidates is the number of routers that compete for the lease.
	// It is small because each read of the lease is a call to the store.
	maxLeaseCandidates = 3
	// busyExtensionFraction is the fraction of the expected load time for which an
	// engine is expected to take no work after it has reported that it is still
	// busy with its order.
	busyExtensionFraction = 0.5
	// unknownHolder stands for the holder of a claim that cannot be read. A claim before
	// it may still be in force.
	unknownHolder = "(unknown)"
)

// upgradeEngines upgrades engines to the newest model versions while this
// router holds the upgrade lease.
func (f *Front) upgradeEngines(ctx context.Context) error {
	// The last claim tells when the versions were announced.
	f.readLease(ctx)
	held := false
	return every(ctx, upgradeInterval, func(now proto.Instant) {
		plan := f.planUpgrade(now)
		if held != plan.holds {
			f.log.Info("upgrade lease changed", "held", plan.holds, "fence", plan.fence, "behind", plan.outdated)
			held = plan.holds
		}
		f.runLeaseOp(ctx, plan.op)
		for _, a := range plan.actions {
			f.tomb.Go(func() error {
				f.sendAction(ctx, a, plan.fence)
				return nil
			})
		}
	})
}

// upgradePlan is the result of one round of upgrade planning.
type upgradePlan struct {
	// outdated is the number of engines that do not run the newest version.
	outdated int
	holds    bool
	fence    int64
	op       leader.Op
	actions  []upgrade.Action
}

func (f *Front) planUpgrade(now proto.Instant) upgradePlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := upgradePlan{outdated: len(f.planner.OutdatedEngines())}
	plan.fence, plan.holds = f.lease.Held(now)
	rank := f.rank(now)
	// A draining router keeps working for as long as it holds the lease, so
	// that its successor takes over from a release instead of an expiry.
	hasWork := (plan.outdated > 0 || f.rollouts.HasWork(now)) && (plan.holds || rank < maxLeaseCandidates && f.stop.Load() == nil)
	f.lease.SetHasWork(now, hasWork, rank)
	plan.op = f.lease.Next(now)
	if !plan.holds {
		f.planner.DropTasks()
		return plan
	}
	plan.actions = f.planner.Next(now, upgrade.Conditions{
		InFlight: func(id proto.EndpointID) int { return f.placer.InFlight(now, id) },
		TimeLeft: func(model string, version int64) time.Duration { return f.versionTimeLeft(now, model, version) },
	})
	return plan
}

// versionTimeLeft returns how long requests may still begin on a version of a
// model.
func (f *Front) versionTimeLeft(now proto.Instant, model string, version int64) time.Duration {
	if f.settings.Load().VersionLifetime <= 0 {
		return math.MaxInt64
	}
	return f.placer.StartTimeLeft(now, model, version)
}

// runLeaseOp starts the operation that the lease asks for in the background.
func (f *Front) runLeaseOp(ctx context.Context, op leader.Op) {
	switch op {
	case leader.OpRead:
		f.tomb.Go(func() error {
			f.readLease(ctx)
			return nil
		})
	case leader.OpAppend:
		f.mu.Lock()
		end, record := f.lease.End(), f.lease.ClaimRecord()
		f.mu.Unlock()
		f.tomb.Go(func() error {
			f.claimLease(ctx, end, record)
			return nil
		})
	}
}

// followEra tells the lease of each newer era of the store.
func (f *Front) followEra(ctx context.Context) error {
	for {
		era, changed := f.store.Era()
		f.mu.Lock()
		f.lease.ObserveEra(driver.Now(), era)
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (f *Front) readLease(ctx context.Context) {
	f.mu.Lock()
	from := f.lease.End()
	from.Offset = max(0, from.Offset-1)
	f.mu.Unlock()
	records, end, err := f.store.Read(ctx, platform.TopicLease, from, 0)
	var status *platform.StatusError
	if errors.As(err, &status) && status.RecordsDeleted() {
		records, end, err = f.store.Read(ctx, platform.TopicLease, proto.LogPosition{Era: from.Era, Offset: status.FirstOffset}, 0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.lease.ReadFailed()
		f.log.Warn("lease not read", "error", err.Error())
		return
	}
	var last leader.Claim
	if len(records) > 0 {
		if err := json.Unmarshal(records[len(records)-1].Value, &last); err != nil {
			f.log.Error("lease claim ignored", "offset", end.Offset-1, "error", err.Error())
			last = leader.Claim{Holder: unknownHolder}
		}
	}
	now := driver.Now()
	f.lease.ReadSucceeded(now, end, last)
	for _, n := range last.AnnouncedVersions {
		f.placer.HandlePeerVersion(n.Model, n.Version, now.Add(-last.Age(n, time.Now())))
	}
}

// appendClaim appends a claim record to the lease's topic if the topic still
// ends at the given position.
func (f *Front) appendClaim(ctx context.Context, end proto.LogPosition, record leader.Claim) error {
	record.AnnouncedVersions, record.WrittenAt = f.placer.AnnouncedVersions(driver.Now()), time.Now().UnixMilli()
	value, err := json.Marshal(record)
	if err != nil {
		return Error.Wrap(err)
	}
	return f.store.Append(ctx, platform.TopicLease, end, value)
}

func (f *Front) claimLease(ctx context.Context, end proto.LogPosition, record leader.Claim) {
	err := f.appendClaim(ctx, end, record)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.lease.ClaimFailed()
		f.log.Info("lease not claimed", "at", end.Offset, "error", err.Error())
		return
	}
	now := driver.Now()
	f.lease.ClaimSucceeded(now, end)
	fence, _ := f.lease.Held(now)
	f.log.Info("lease claimed", "at", end.Offset, "fence", fence)
}

// releaseLease releases the lease if this router holds it.
func (f *Front) releaseLease(ctx context.Context) {
	f.mu.Lock()
	record, ok := f.lease.Release(driver.Now())
	end := f.lease.End()
	f.mu.Unlock()
	if !ok {
		return
	}
	if err := f.appendClaim(ctx, end, record); err != nil {
		f.log.Warn("lease not released", "at", end.Offset, "error", err.Error())
		return
	}
	f.log.Info("lease released", "at", end.Offset)
}

// sendAction sends a state query or a load order to an engine.
func (f *Front) sendAction(ctx context.Context, a upgrade.Action, fence int64) {
	timeout := controlTimeout
	if a.Kind == upgrade.Order {
		timeout = upgrade.OrderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.Kind == upgrade.QueryState {
		f.queryState(ctx, a)
	} else {
		f.orderLoad(ctx, a, fence)
	}
}

func (f *Front) queryState(ctx context.Context, a upgrade.Action) {
	state, err := f.engines.State(ctx, a.Endpoint)
	now := driver.Now()
	if err != nil {
		f.log.Warn("engine state not read", "endpoint", string(a.Endpoint.ID), "error", err.Error())
		f.mu.Lock()
		f.planner.HandleUnreachable(now, a.Endpoint.ID)
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	until := proto.Instant(0)
	loadTime := f.planner.LoadTime()
	busyExtension := time.Duration(busyExtensionFraction * float64(loadTime))
	if f.planner.HandleState(now, a.Endpoint.ID, state) {
		until = now.Add(loadTime)
	} else if state.Busy {
		until = now.Add(busyExtension)
	}
	// The peers need no new message while the time that they were last sent is
	// still far enough ahead.
	stillValid := f.loading[a.Endpoint.ID].Sub(now) > busyExtension/2
	if until > 0 {
		f.loading[a.Endpoint.ID] = max(until, f.loading[a.Endpoint.ID])
	}
	f.mu.Unlock()
	if until > 0 {
		f.placer.SetLoading(a.Endpoint.ID, until)
	}
	if until > 0 && !stillValid {
		f.loadingChanged.Store(true)
		f.requestEarlySend()
	}
	f.recordVersion(now, a.Endpoint.ID, a.Model, state.Versions[a.Model])
}

// recordVersion records the version that an engine reported and passes it on to
// the peers until the engine's registration shows it.
func (f *Front) recordVersion(now proto.Instant, id proto.EndpointID, model string, version int64) {
	f.placer.ObserveVersion(id, model, version)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.VersionLoaded(now, id, model, version)
	if e := f.table.Snapshot().ByID[id]; e != nil && e.Versions[model] < version {
		f.reportedVersions[id] = platform.AnnouncedVersion{Model: model, Version: version}
		delete(f.loading, id)
	}
}

func (f *Front) orderLoad(ctx context.Context, a upgrade.Action, fence int64) {
	now := driver.Now()
	f.mu.Lock()
	current, holds := f.lease.Held(now)
	until := now.Add(f.planner.LoadTime())
	if holds && current >= fence {
		fence = current
		f.lease.RecordAction(now)
		f.loading[a.Endpoint.ID] = until
	}
	f.mu.Unlock()
	if !holds {
		return
	}
	f.placer.SetLoading(a.Endpoint.ID, until)
	outcome, err := f.engines.LoadVersion(ctx, a, f.cfg.Settings.Host, fence)
	f.logOrder(a, fence, outcome, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.HandleOrderOutcome(driver.Now(), a.Endpoint.ID, outcome)
	switch outcome {
	case upgrade.Fenced:
		f.lease.Invalidate()
	case upgrade.Busy, upgrade.Refused, upgrade.Unknown:
		// The engine takes requests, or refuses those that it does not run.
		delete(f.loading, a.Endpoint.ID)
		f.placer.SetLoading(a.Endpoint.ID, driver.Now())
	}
}

func (f *Front) logOrder(a upgrade.Action, fence int64, outcome upgrade.Outcome, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	f.log.Info("engine ordered to load", "endpoint", string(a.Endpoint.ID), "model", a.Model, "version", a.Version,
		"fence", fence, "orders_before", a.Orders, "outcome", outcome.String(), "error", text)
}
