package front

import (
	"context"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// storeFeedWait is how long a read of a store's events waits for one. Reads
	// that wait less than 200 ms count as probes.
	storeFeedWait = 900 * time.Millisecond
	// storeFeedTimeout bounds such a read; a store that is gone costs each request
	// that names it some hundred milliseconds.
	storeFeedTimeout = storeFeedWait + 500*time.Millisecond
	// storeFeedRetryDelay is the time between two reads after a failure, and the least
	// time between two reads.
	storeFeedRetryDelay = 300 * time.Millisecond
	storeFeedInterval   = 60 * time.Millisecond
	// farStoreFeedInterval is the time between two reads of a store in another failure
	// domain than the router's, where there is one in its own.
	farStoreFeedInterval = 2 * time.Second
)

// followStores starts to follow the events of the stores that a configuration
// names, and stops following others.
func (f *Front) followStores(cfg *serving.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := map[string]bool{}
	for _, s := range cfg.Services {
		if s.Store != nil {
			wanted[s.Store.Addr] = true
		}
	}
	for addr, stop := range f.storeFollowers {
		if !wanted[addr] {
			stop()
			delete(f.storeFollowers, addr)
		}
	}
	for addr := range wanted {
		if f.storeFollowers[addr] == nil {
			ctx, cancel := context.WithCancel(f.tomb.Context(context.Background()))
			f.storeFollowers[addr] = cancel
			index := place.NewStoreIndex()
			f.placer.SetStore(addr, index)
			pause := f.storeFeedIntervalOf(cfg, addr)
			f.tomb.Go(func() error { return f.followStore(ctx, addr, index, pause) })
		}
	}
}

// storeFeedIntervalOf returns the time between two reads of a store's events. A store
// lets few callers wait at once, so that only the routers of its failure domain
// read it all the time, if there is one in each.
func (f *Front) storeFeedIntervalOf(cfg *serving.Config, addr string) time.Duration {
	near, here := false, false
	for _, s := range cfg.Services {
		if s.Store != nil && s.Store.Domain == f.cfg.Settings.Domain {
			near = true
			here = here || s.Store.Addr == addr
		}
	}
	if near && !here {
		return farStoreFeedInterval
	}
	return storeFeedInterval
}

// followStore keeps the index of one store.
func (f *Front) followStore(ctx context.Context, addr string, index *place.StoreIndex, pause time.Duration) error {
	var epoch, next int64
	known := false
	for ctx.Err() == nil {
		feed, err := f.readStoreFeed(ctx, addr, next)
		if err == nil && known && (feed.Epoch != epoch || feed.Gap) {
			f.log.Info("cache store listed again", "addr", addr, "restarted", feed.Epoch != epoch, "gap", feed.Gap)
			index.Reset()
			feed, err = f.engines.CacheList(ctx, addr)
		}
		if err != nil {
			if ctx.Err() == nil && index.Alive() {
				f.log.Warn("cache store lost", "addr", addr, "error", err.Error())
			}
			index.SetAlive(false)
			sleep(ctx, storeFeedRetryDelay)
			continue
		}
		if !index.Alive() {
			f.log.Info("cache store in use", "addr", addr, "epoch", feed.Epoch, "parts", index.Len())
		}
		applyStoreFeed(index, feed)
		epoch, next, known = feed.Epoch, feed.Next, true
		index.SetAlive(true)
		sleep(ctx, pause)
	}
	return nil
}

func (f *Front) readStoreFeed(ctx context.Context, addr string, next int64) (platform.CacheFeed, error) {
	ctx, cancel := context.WithTimeout(ctx, storeFeedTimeout)
	defer cancel()
	return f.engines.CacheEvents(ctx, addr, next, storeFeedWait)
}

func applyStoreFeed(index *place.StoreIndex, feed platform.CacheFeed) {
	for _, e := range feed.Events {
		if e.Added {
			index.Put(e.Salt, e.Part)
		} else {
			index.Remove(e.Salt, e.Part)
		}
	}
}

const (
	// engineFeedInterval is the time between two reads of an engine's events.
	engineFeedInterval = 2500 * time.Millisecond
	// engineFeedWait is how long such a read may wait for an event. Reads that
	// wait less than 200 ms count as probes.
	engineFeedWait = 250 * time.Millisecond
	// engineFeedTick is the time between two looks at the engines that are due.
	engineFeedTick = 100 * time.Millisecond
	// maxEngineFeedReads bounds the reads at one time.
	maxEngineFeedReads = 6
)

// engineFeed is how far the events of one life of an engine were read.
type engineFeed struct {
	started     int64
	epoch, next int64
	known       bool
	dueAt       proto.Instant
}

// followEngines returns a function that reads the events of engines in turn, so
// that the placement knows what they hold, also after a start of this router.
func (f *Front) followEngines(ctx context.Context) func(now proto.Instant) {
	feeds := map[proto.EndpointID]*engineFeed{}
	slots := make(chan struct{}, maxEngineFeedReads)
	return func(now proto.Instant) {
		for _, e := range f.enginesDue(now, feeds, cap(slots)-len(slots)) {
			feed := feeds[e.ID]
			slots <- struct{}{}
			f.tomb.Go(func() error {
				defer func() { <-slots }()
				f.readEngineFeed(ctx, e, feed)
				return nil
			})
		}
	}
}

// enginesDue returns up to n engines whose events are due to be read, and keeps
// feeds in step with the list of engines.
func (f *Front) enginesDue(now proto.Instant, feeds map[proto.EndpointID]*engineFeed, n int) []*discovery.Endpoint {
	f.mu.Lock()
	list := f.table.Snapshot()
	f.mu.Unlock()
	var due []*discovery.Endpoint
	for id, e := range list.ByID {
		if len(e.Versions) == 0 || e.Leaving {
			continue
		}
		feed := feeds[id]
		if feed == nil || feed.started != e.Started {
			feed = &engineFeed{started: e.Started}
			feeds[id] = feed
		}
		if now >= feed.dueAt && len(due) < n && !f.placer.IsSilent(now, id) {
			feed.dueAt = now.Add(engineFeedInterval)
			due = append(due, e)
		}
	}
	for id := range feeds {
		if list.ByID[id] == nil {
			delete(feeds, id)
		}
	}
	return due
}

// readEngineFeed reads what an engine has told since the last time. A read
// takes less time than lies between two of one engine.
func (f *Front) readEngineFeed(ctx context.Context, e *discovery.Endpoint, feed *engineFeed) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	got, err := f.engines.CacheEvents(ctx, e.Addr, feed.next, engineFeedWait)
	if err != nil {
		f.log.Debug("cache events not read", "endpoint", string(e.ID), "error", err.Error())
		return
	}
	restarted := feed.known && got.Epoch != feed.epoch
	feed.epoch, feed.next, feed.known = got.Epoch, got.Next, true
	events := make([]place.PartEvent, 0, len(got.Events))
	for _, c := range got.Events {
		events = append(events, place.PartEvent{Added: c.Added, Key: place.KeyOf(c.Salt, c.Part), Tokens: c.Tokens})
	}
	f.placer.Events(driver.Now(), e.ID, e.Started, restarted, events)
}
