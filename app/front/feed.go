package front

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// feedWait is how long a read of a store's events waits for one. Reads
	// that wait less than 200 ms count as probes.
	feedWait = 900 * time.Millisecond
	// feedTimeout bounds such a read; a store that is gone costs each request
	// that names it some hundred milliseconds.
	feedTimeout = feedWait + 500*time.Millisecond
	// feedPause is the time between two reads after a failure, and the least
	// time between two reads.
	feedPause = 300 * time.Millisecond
	feedGap   = 60 * time.Millisecond
)

func formatHash(h uint64) string { return strconv.FormatUint(h, 16) }

// cacheSalt returns the name under which cache entries are kept.
func cacheSalt(model string, version int64, wall string) string {
	return fmt.Sprintf("%s.%d.%s", model, version, wall)
}

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
	for addr, stop := range f.feeds {
		if !wanted[addr] {
			stop()
			delete(f.feeds, addr)
		}
	}
	for addr := range wanted {
		if f.feeds[addr] == nil {
			ctx, cancel := context.WithCancel(f.tomb.Context(context.Background()))
			f.feeds[addr] = cancel
			index := place.NewStoreIndex()
			f.placer.SetStore(addr, index)
			f.tomb.Go(func() error { return f.followStore(ctx, addr, index) })
		}
	}
}

// followStore keeps the index of one store.
func (f *Front) followStore(ctx context.Context, addr string, index *place.StoreIndex) error {
	var epoch, next int64
	known := false
	for ctx.Err() == nil {
		feed, err := f.readFeed(ctx, addr, next)
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
			sleep(ctx, feedPause)
			continue
		}
		if !index.Alive() {
			f.log.Info("cache store in use", "addr", addr, "epoch", feed.Epoch, "parts", index.Len())
		}
		applyFeed(index, feed)
		epoch, next, known = feed.Epoch, feed.Next, true
		index.SetAlive(true)
		sleep(ctx, feedGap)
	}
	return nil
}

func (f *Front) readFeed(ctx context.Context, addr string, next int64) (platform.CacheFeed, error) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	return f.engines.CacheEvents(ctx, addr, next, feedWait)
}

func applyFeed(index *place.StoreIndex, feed platform.CacheFeed) {
	for _, e := range feed.Events {
		if e.Added {
			index.Put(e.Salt, e.Part)
		} else {
			index.Remove(e.Salt, e.Part)
		}
	}
}
