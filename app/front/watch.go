package front

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// operatorWaitFraction is the fraction of ContactTimeout for which a read
	// of the operator's records waits for a record. It is below 1 so that a
	// dead connection is detected before the router counts as in contact again.
	operatorWaitFraction = 0.7
	// configWaitFraction is the fraction of ConfigTimeout that such a read waits at
	// most. A read that reaches the store just as a record is appended may miss it
	// and return only when its time is over.
	configWaitFraction = 0.7
	// endpointPauseFraction is the fraction of DrainTimeout between two reads of
	// the endpoints' registrations, and for which a read waits for a record. If it
	// waited for longer, an outage in which registrations expire could pass without
	// a failed read.
	endpointPauseFraction = 0.45
	// minPause is the lower limit of both times. It applies if a setting is 0 or
	// very short.
	minPause = 500 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// topicFollower lists the newest record of each key of a topic, then reads the
// records that follow.
type topicFollower struct {
	front *Front
	topic string
	// wait returns how long a read waits for a record, pause the delay between
	// two reads; nil means 0.
	wait, pause func() time.Duration
	// apply handles new records, applyListing a listing of all keys. If
	// applyListing is nil, apply handles listings too.
	apply        func(now proto.Instant, records []platform.Record)
	applyListing func(now proto.Instant, records []platform.Record)
	// failed, which may be nil, is called after each failed read, done after
	// each successful one.
	failed, done func(now proto.Instant)

	// next is the position of the next record to read. It is valid if listed is set.
	next   proto.LogPosition
	listed bool
}

// run follows the topic until the context ends.
func (w *topicFollower) run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		err := w.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		now := driver.Now()
		if err == nil {
			if backoff > 0 {
				w.front.log.Info("store reachable again", "topic", w.topic, "next", w.next.Offset)
			}
			backoff = 0
			w.done(now)
			sleep(ctx, durationOf(w.pause))
			continue
		}
		if backoff == 0 {
			w.front.log.Warn("store unreachable", "topic", w.topic, "next", w.next.Offset, "error", err.Error())
		}
		if w.failed != nil {
			w.failed(now)
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		sleep(ctx, backoff)
	}
	return nil
}

// read makes one call: it lists the topic if that was not done yet, and else reads new
// records. If the store has deleted the next record, the next call lists the topic again. If
// it was restored from an older copy, this one does.
func (w *topicFollower) read(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	records, next, err := w.front.store.Read(ctx, w.topic, w.next, durationOf(w.wait))
	var status *platform.StatusError
	var restored *platform.RestoredError
	switch {
	case errors.As(err, &restored):
		w.handleRestored(restored)
		return w.list(ctx)
	case errors.As(err, &status) && status.RecordsDeleted():
		w.front.log.Info("records deleted, listing the topic again", "topic", w.topic, "next", w.next.Offset, "first", status.FirstOffset)
		w.listed = false
		return nil
	case err != nil:
		return err
	}
	w.apply(driver.Now(), records)
	w.next = next
	return nil
}

func (w *topicFollower) list(ctx context.Context) error {
	records, end, err := w.front.store.Newest(ctx, w.topic)
	if err != nil {
		return err
	}
	w.handleListing(driver.Now(), records)
	w.next, w.listed = end, true
	return nil
}

// handleRestored has the topic listed again. The restore counts as an outage, as what
// was written since the copy was taken is missing until it is written again.
func (w *topicFollower) handleRestored(e *platform.RestoredError) {
	w.front.log.Warn("store restored from an older copy", "topic", w.topic, "old_era", e.Era, "new_era", e.Newest, "next", w.next.Offset)
	w.listed = false
	if w.failed != nil {
		w.failed(driver.Now())
	}
}

func (w *topicFollower) handleListing(now proto.Instant, records []platform.Record) {
	if w.applyListing != nil {
		w.applyListing(now, records)
		return
	}
	w.apply(now, records)
}

// forEach returns a function that applies records one by one.
func forEach(apply func(now proto.Instant, r platform.Record)) func(proto.Instant, []platform.Record) {
	return func(now proto.Instant, records []platform.Record) {
		for _, r := range records {
			apply(now, r)
		}
	}
}

// durationOf returns the result of d, or 0 if d is nil.
func durationOf(d func() time.Duration) time.Duration {
	if d == nil {
		return 0
	}
	return d()
}

// fractionOf returns a fraction of d, but at least minPause.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return max(minPause, time.Duration(fraction*float64(d)))
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) { sleepUntilClosed(ctx, d, nil) }

// sleepUntilClosed waits for d, until the context ends or until the channel is closed.
func sleepUntilClosed(ctx context.Context, d time.Duration, closed <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-closed:
	}
}

// followOperator follows the configuration and the announced versions.
func (f *Front) followOperator(ctx context.Context) error {
	w := &topicFollower{
		front: f, topic: platform.TopicOperator,
		wait:  f.operatorWait,
		apply: forEach(f.applyOperator),
		done:  func(now proto.Instant) { f.storeReadAt.Store(int64(now)) },
	}
	return w.run(ctx)
}

// operatorWait returns how long a read of the operator's records waits for a record.
func (f *Front) operatorWait() time.Duration {
	s := f.settings.Load()
	wait := fractionOf(s.ContactTimeout, operatorWaitFraction)
	if s.ConfigTimeout > 0 {
		wait = min(wait, fractionOf(s.ConfigTimeout, configWaitFraction))
	}
	return wait
}

func (f *Front) applyOperator(now proto.Instant, r platform.Record) {
	switch {
	case platform.IsConfig(r):
		f.applyConfig(now, r)
	case platform.IsVersion(r):
		f.applyVersion(now, r)
	case platform.IsRolloutOrder(r):
		f.applyRolloutOrder(now, r)
	}
}

func (f *Front) applyConfig(now proto.Instant, r platform.Record) {
	cfg, err := platform.DecodeConfig(r.Value)
	if err != nil {
		f.log.Error("configuration ignored", "offset", r.At.Offset, "error", err.Error())
		return
	}
	old := f.config.Load()
	if old != nil && cfg.Revision <= old.Revision {
		f.log.Info("configuration ignored", "revision", int64(cfg.Revision), "in_force", int64(old.Revision), "offset", r.At.Offset)
		return
	}
	limits := map[proto.AccountID]quota.Limit{}
	for id, a := range cfg.Accounts {
		limits[id] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	f.quota.Configure(now, limits)
	f.placer.Configure(cfg)
	f.config.Store(cfg)
	f.followStores(cfg)
	f.log.Info("configuration in force", "revision", int64(cfg.Revision), "offset", r.At.Offset,
		"routes", cfg.RouteCount(), "accounts", len(cfg.Accounts), "keys", cfg.KeyCount(), "keyless", cfg.Keyless)
}

func (f *Front) applyVersion(now proto.Instant, r platform.Record) {
	v, err := platform.DecodeVersion(r.Value)
	if err != nil {
		f.log.Error("announced version ignored", "key", r.Key, "offset", r.At.Offset, "error", err.Error())
		return
	}
	f.placer.RecordVersion(now, v.Model, v.Version)
	f.mu.Lock()
	f.planner.RecordVersion(v.Model, v.Version)
	f.mu.Unlock()
	f.log.Info("version announced", "model", v.Model, "version", v.Version, "offset", r.At.Offset)
}

// followEndpoints follows the registrations of endpoints.
func (f *Front) followEndpoints(ctx context.Context) error {
	pause := func() time.Duration { return fractionOf(f.settings.Load().DrainTimeout, endpointPauseFraction) }
	w := &topicFollower{
		front: f, topic: platform.TopicEndpoints,
		wait: pause, pause: pause,
		apply:        f.applyEndpoints,
		applyListing: f.applyEndpointListing,
		failed: func(now proto.Instant) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.table.RegistryUnreachable(now)
		},
		done: func(now proto.Instant) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.table.RegistryReachable(now)
		},
	}
	return w.run(ctx)
}

// applyEndpoints handles new registrations.
func (f *Front) applyEndpoints(now proto.Instant, records []platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = f.applyEndpoint(now, r) || changed
	}
	if changed {
		f.publishEndpoints()
	}
}

// applyEndpointListing handles a listing of all registrations.
func (f *Front) applyEndpointListing(now proto.Instant, records []platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[proto.EndpointID]bool{}
	changed := false
	for _, r := range records {
		listed[proto.EndpointID(r.Key)] = true
		changed = f.applyEndpoint(now, r) || changed
	}
	if f.table.RemoveUnlisted(now, listed) || changed {
		f.publishEndpoints()
	}
}

// applyEndpoint handles one registration and reports whether the list of
// endpoints changed; mu must be held.
func (f *Front) applyEndpoint(now proto.Instant, r platform.Record) bool {
	id := proto.EndpointID(r.Key)
	if r.Deleted {
		changed := f.table.Remove(now, id)
		f.log.Info("endpoint deregistered", "endpoint", r.Key, "offset", r.At.Offset, "at_once", changed)
		return changed
	}
	e, err := platform.DecodeEndpoint(r)
	if err != nil {
		f.log.Warn("registration ignored", "endpoint", r.Key, "offset", r.At.Offset, "error", err.Error())
		return false
	}
	changed := f.table.Put(now, e)
	f.placer.ObserveRegistration(now, e.ID, r.At, changed)
	if changed {
		f.endpointStates.Begin(now, endpointstate.EndpointOf(e))
		f.log.Info("endpoint changed", "endpoint", r.Key, "service", e.Service, "release", e.Release, "addr", e.Addr, "domain", string(e.Domain),
			"leaving", e.Leaving, "started", e.Started, "versions", e.Versions, "offset", r.At.Offset)
	}
	return changed
}

// publishEndpoints passes the current list of endpoints to placement, upgrades
// and metrics; mu must be held.
func (f *Front) publishEndpoints() {
	list := f.table.Snapshot()
	f.rollouts.Update(driver.Now(), list)
	f.placer.Update(list)
	f.planner.Update(list)
	f.retainEndpointStates(list)
	f.metrics.endpoints.Store(int64(len(list.ByID)))
}
