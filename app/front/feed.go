package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// storeFeedWait is how long a read of a store's events waits for an event.
	// Reads that wait less than 200 ms count as probes.
	storeFeedWait = 900 * time.Millisecond
	// storeFeedTimeout limits such a read. It is short because each request
	// that names an unreachable store is delayed by several hundred
	// milliseconds.
	storeFeedTimeout = storeFeedWait + 500*time.Millisecond
	// storeFeedRetryDelay is the delay after a failed read, storeFeedInterval
	// the delay between two successful ones.
	storeFeedRetryDelay = 300 * time.Millisecond
	storeFeedInterval   = 60 * time.Millisecond
	// farStoreFeedInterval is the delay between two reads of a store in another
	// failure domain if the router's own domain has a store.
	farStoreFeedInterval = 2 * time.Second
	// sharedStoreInterval is the time between two checks whether a store that a peer
	// reads has to be read by this router.
	sharedStoreInterval = 200 * time.Millisecond
	// maxSharedStoreEvents keeps a message within a datagram.
	maxSharedStoreEvents = 500
)

// followStores starts a follower for each cache store that the configuration
// names and stops those of all other stores.
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
			f.storeFeeds.Delete(addr)
		}
	}
	for addr := range wanted {
		if f.storeFollowers[addr] == nil {
			ctx, cancel := context.WithCancel(f.tomb.Context(context.Background()))
			f.storeFollowers[addr] = cancel
			feed := place.NewStoreFeed()
			f.storeFeeds.Store(addr, feed)
			f.placer.SetStore(addr, feed.Index)
			interval := f.storeFeedIntervalOf(cfg, addr)
			f.tomb.Go(func() error { return f.followStore(ctx, addr, feed, interval) })
		}
	}
}

// storeFeedIntervalOf returns the delay between two reads of a store's events.
// A store lets only few callers wait at once. A router whose failure domain has
// a store of its own therefore reads the stores of other domains less often, so
// that with a store in each domain, only the routers of that domain read it
// continuously.
func (f *Front) storeFeedIntervalOf(cfg *serving.Config, addr string) time.Duration {
	ownDomainHasStore, inOwnDomain := false, false
	for _, s := range cfg.Services {
		if s.Store != nil && s.Store.Domain == f.cfg.Settings.Domain {
			ownDomainHasStore = true
			inOwnDomain = inOwnDomain || s.Store.Addr == addr
		}
	}
	if ownDomainHasStore && !inOwnDomain {
		return farStoreFeedInterval
	}
	return storeFeedInterval
}

// followStore keeps the index of one store up to date.
func (f *Front) followStore(ctx context.Context, addr string, feed *place.StoreFeed, interval time.Duration) error {
	for ctx.Err() == nil {
		isReader, shared := f.readsStore(addr)
		if !feed.NeedsRead(driver.Now(), isReader) {
			sleep(ctx, sharedStoreInterval)
			continue
		}
		page, err := f.readStore(ctx, addr, feed)
		if err != nil {
			if ctx.Err() == nil && feed.Index.Alive() {
				f.log.Warn("cache store unreachable", "addr", addr, "error", err.Error())
			}
			feed.Index.SetAlive(false)
			sleep(ctx, storeFeedRetryDelay)
			continue
		}
		if isReader && shared {
			f.shareStorePage(addr, page)
		}
		sleep(ctx, interval)
	}
	return nil
}

// readStore reads a store's events, or its contents if events were missed, and applies
// them. It returns the page of events.
func (f *Front) readStore(ctx context.Context, addr string, feed *place.StoreFeed) (place.StorePage, error) {
	from := feed.Next()
	read, err := f.readStoreFeed(ctx, addr, from)
	if err != nil {
		return place.StorePage{}, err
	}
	page := storePage(from, read)
	listed := feed.MissedEvents(page)
	if listed {
		f.log.Info("rebuilding cache store index", "addr", addr, "epoch", page.Epoch, "gap", page.Gap)
		if read, err = f.engines.StoreContents(ctx, addr); err != nil {
			return place.StorePage{}, err
		}
		page = storePage(read.NextSequence, read)
	}
	wasAlive := feed.Index.Alive()
	feed.ApplyRead(driver.Now(), page, listed)
	if !wasAlive {
		f.log.Info("cache store in use", "addr", addr, "epoch", page.Epoch, "parts", feed.Index.Len())
	}
	return page, nil
}

func storePage(from int64, read platform.CacheEventPage) place.StorePage {
	page := place.StorePage{Epoch: read.Epoch, From: from, Next: read.NextSequence, Gap: read.Gap}
	for _, e := range read.Events {
		page.Events = append(page.Events, place.StoreEvent{Added: e.Added, Salt: e.Salt, Part: e.Part})
	}
	return page
}

// readsStore reports whether this router reads a store for its failure domain, and
// whether there are others there that it passes the events on to.
func (f *Front) readsStore(addr string) (isReader, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	readers := f.eventReaders(driver.Now())
	if len(readers) == 0 {
		return true, false
	}
	return peer.Reader(proto.EndpointID(addr), readers) == proto.RouterID(f.cfg.Settings.Host), len(readers) > 1
}

// shareStorePage passes the events of a store on to the other routers of the failure
// domain. A page that does not fit into one message is not passed on; they notice that
// and read the store themselves.
func (f *Front) shareStorePage(addr string, page place.StorePage) {
	if len(page.Events) > maxSharedStoreEvents {
		return
	}
	m := f.emptyMessage()
	m.StorePage = &peer.StorePage{Addr: addr, Page: page}
	f.send(m, f.domainPeers())
}

// handleStorePage applies the events of a store that a peer has read.
func (f *Front) handleStorePage(now proto.Instant, p *peer.StorePage) {
	if feed, ok := f.storeFeeds.Load(p.Addr); ok {
		feed.(*place.StoreFeed).ApplyShared(now, p.Page)
	}
}

func (f *Front) readStoreFeed(ctx context.Context, addr string, next int64) (platform.CacheEventPage, error) {
	ctx, cancel := context.WithTimeout(ctx, storeFeedTimeout)
	defer cancel()
	return f.engines.StoreEvents(ctx, addr, next, storeFeedWait)
}

const (
	// engineFeedInterval is the time between two reads of an engine's events.
	engineFeedInterval = 2500 * time.Millisecond
	// engineFeedWait is how long such a read waits for an event. Reads that
	// wait less than 200 ms count as probes.
	engineFeedWait = 250 * time.Millisecond
	// engineFeedTick is the time between two checks for engines that are due.
	engineFeedTick = 100 * time.Millisecond
	// maxEngineFeedReads limits the number of concurrent reads.
	maxEngineFeedReads = 6
)

// engineFeed is the position up to which the events of one incarnation of an
// engine have been read.
type engineFeed struct {
	started     int64
	epoch, next int64
	// known is set once a read has returned the epoch. It is also used while a read
	// is under way.
	known atomic.Bool
	// isBeingRead is set while a read is under way. The engine is not due meanwhile, as
	// reads of one feed must not overlap.
	isBeingRead atomic.Bool
	dueAt       proto.Instant
}

// followEngines returns a function that reads the events of engines in turn, so
// that placement knows what their caches hold, even after a restart of this
// router.
func (f *Front) followEngines(ctx context.Context) func(now proto.Instant) {
	feeds := map[proto.EndpointID]*engineFeed{}
	slots := make(chan struct{}, maxEngineFeedReads)
	return func(now proto.Instant) {
		for _, e := range f.enginesDue(now, feeds, cap(slots)-len(slots)) {
			feed := feeds[e.ID]
			slots <- struct{}{}
			f.tomb.Go(func() error {
				defer func() { <-slots }()
				defer feed.isBeingRead.Store(false)
				f.readEngineFeed(ctx, e, feed)
				return nil
			})
		}
	}
}

// enginesDue returns up to n engines whose events are due to be read, and marks their
// feeds as being read. It adds and removes entries of feeds to match the list of engines.
func (f *Front) enginesDue(now proto.Instant, feeds map[proto.EndpointID]*engineFeed, n int) []*discovery.Endpoint {
	f.mu.Lock()
	list, readers := f.table.Snapshot(), f.eventReaders(now)
	f.mu.Unlock()
	self := proto.RouterID(f.cfg.Settings.Host)
	var due []*discovery.Endpoint
	for id, e := range list.ByID {
		if len(e.Versions) == 0 || f.isLeaving(e) {
			continue
		}
		feed := feeds[id]
		if feed == nil || feed.started != e.Started {
			feed = &engineFeed{started: e.Started}
			feeds[id] = feed
		}
		if feed.known.Load() && len(readers) > 0 && peer.Reader(id, readers) != self {
			continue
		}
		if now >= feed.dueAt && len(due) < n && !feed.isBeingRead.Load() && !f.placer.IsSilent(now, id) {
			feed.isBeingRead.Store(true)
			feed.dueAt = now.Add(engineFeedInterval)
			due = append(due, e)
		}
	}
	for id, feed := range feeds {
		// An engine may be listed again before the read of its feed ends.
		if list.ByID[id] == nil && !feed.isBeingRead.Load() {
			delete(feeds, id)
		}
	}
	return due
}

// eventReaders returns the routers of the own failure domain that share the reading of
// engines' events, or nil in a small fleet, in which each router reads all of them;
// mu must be held. A router that has just started reads each engine once itself.
func (f *Front) eventReaders(now proto.Instant) []proto.RouterID {
	if len(f.peers) <= maxPeersAllNear {
		return nil
	}
	readers := []proto.RouterID{proto.RouterID(f.cfg.Settings.Host)}
	for id, p := range f.peers {
		if p.domain == f.cfg.Settings.Domain && p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < forwarderTimeout {
			readers = append(readers, id)
		}
	}
	return readers
}

// shareEvents passes an engine's events on to the other routers of the failure domain.
func (f *Front) shareEvents(now proto.Instant, events peer.CacheEvents) {
	f.mu.Lock()
	shared := len(f.eventReaders(now)) > 1
	f.mu.Unlock()
	if !shared || events.IsEmpty() {
		return
	}
	for _, part := range events.Split() {
		m := f.emptyMessage()
		m.CacheEvents = &part
		f.send(m, f.domainPeers())
	}
}

// readEngineFeed reads an engine's events since the last read. Its timeout is shorter
// than engineFeedInterval, but a delayed process may exceed it; feed.isBeingRead prevents
// overlapping reads of one feed.
func (f *Front) readEngineFeed(ctx context.Context, e *discovery.Endpoint, feed *engineFeed) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	got, err := f.engines.EngineEvents(ctx, e, feed.next, engineFeedWait)
	if err != nil {
		f.log.Debug("cache events not read", "endpoint", string(e.ID), "error", err.Error())
		return
	}
	wasKnown := feed.known.Swap(true)
	restarted := wasKnown && got.Epoch != feed.epoch
	feed.epoch, feed.next = got.Epoch, got.NextSequence
	events := make([]place.PartEvent, 0, len(got.Events))
	for _, c := range got.Events {
		events = append(events, place.PartEvent{Added: c.Added, Key: place.KeyOf(c.Salt, c.Part), Tokens: c.Tokens})
	}
	now := driver.Now()
	f.placer.Events(now, e.ID, e.Started, restarted, events)
	if wasKnown { // the others have read the earlier events themselves
		f.shareEvents(now, peer.CacheEvents{Endpoint: e.ID, Started: e.Started, Restarted: restarted, Events: events})
	}
}
