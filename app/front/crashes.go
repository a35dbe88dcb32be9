package front

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/platform"
)

const (
	// storedTraitLifetime is how long a stored trait counts, by the time of day.
	storedTraitLifetime = 10 * time.Minute
	// storeTraitRetry is the delay after a failed write or read of stored traits.
	storeTraitRetry = time.Second
	// maxUnsavedTraits bounds the traits that wait to be written.
	maxUnsavedTraits = 256
	// maxBackupAge is how old the copy may be from which the store is restored.
	maxBackupAge = time.Minute
)

// storedTrait is the value of a record in the topic of crashing traits.
type storedTrait struct {
	Evidence crash.Evidence `json:"evidence"`
	// At is when the record was written, in Unix milliseconds.
	At int64 `json:"at"`
}

// reportCrashChanges logs the traits that were blocked or released, and has those changes
// written to the store that follow from what this router has observed.
func (f *Front) reportCrashChanges() {
	for _, c := range f.crashes.TakeChanges(driver.Now()) {
		log := f.log.With("trait", string(c.Trait), "rounds", c.Rounds, "crashes", c.Crashes, "observed", c.Observed)
		if c.Blocked {
			log.Info("trait blocked")
		} else {
			log.Info("trait released")
		}
		if c.Observed {
			f.saveTrait(c)
		}
	}
}

// saveTrait has a change written to the store. It drops the change if too many wait.
func (f *Front) saveTrait(c crash.Change) {
	select {
	case f.unsavedTraits <- c:
	default:
		f.log.Warn("trait not saved", "trait", string(c.Trait))
	}
}

// keepTraits reads the traits that were blocked before this router started, then writes
// changes to the store, and those of the last minute again if it was restored. Without the
// store, peers tell what they know.
func (f *Front) keepTraits(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.restoreTraits(ctx)
		if err == nil {
			break
		}
		f.log.Warn("blocked traits not read", "error", err.Error())
		sleep(ctx, storeTraitRetry)
	}
	saved := savedTraits{}
	_, storeRestored := f.store.Era()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-f.unsavedTraits:
			f.writeTrait(ctx, c)
			saved.add(time.Now(), c)
		case <-storeRestored:
			_, storeRestored = f.store.Era()
			for _, c := range saved.recent(time.Now()) {
				f.writeTrait(ctx, c)
			}
		}
	}
}

// savedTraits holds the changes that were written to the store and may be missing after it
// was restored from an older copy.
type savedTraits map[crash.Trait]savedTrait

type savedTrait struct {
	change crash.Change
	at     time.Time
}

func (s savedTraits) add(now time.Time, c crash.Change) {
	maps.DeleteFunc(s, func(_ crash.Trait, old savedTrait) bool { return now.Sub(old.at) > maxBackupAge })
	s[c.Trait] = savedTrait{change: c, at: now}
}

// recent returns the changes that a copy may lack.
func (s savedTraits) recent(now time.Time) []crash.Change {
	var changes []crash.Change
	for _, saved := range s {
		if now.Sub(saved.at) <= maxBackupAge {
			changes = append(changes, saved.change)
		}
	}
	return changes
}

// restoreTraits blocks the traits that the store holds, and deletes those that are too
// old.
func (f *Front) restoreTraits(ctx context.Context) error {
	records, err := f.store.NewestOrNone(ctx, platform.TopicCrashes)
	if err != nil {
		return err
	}
	for _, r := range records {
		var stored storedTrait
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			f.log.Warn("stored trait ignored", "trait", r.Key, "error", err.Error())
			continue
		}
		trait := crash.Trait(r.Key)
		if age := time.Since(time.UnixMilli(stored.At)); age > storedTraitLifetime {
			f.saveTrait(crash.Change{Trait: trait})
			continue
		}
		f.log.Info("trait restored", "trait", r.Key, "crashes", len(stored.Evidence.Crashes))
		stored.Evidence.Trait = trait
		now := driver.Now()
		f.crashes.Merge(now, now, "", []crash.Evidence{stored.Evidence})
	}
	f.reportCrashChanges()
	return nil
}

// writeTrait writes a change to the store until it succeeds or the context ends.
func (f *Front) writeTrait(ctx context.Context, c crash.Change) {
	value := []byte(nil) // deletes the record
	if c.Blocked {
		var err error
		if value, err = json.Marshal(storedTrait{Evidence: c.Evidence, At: time.Now().UnixMilli()}); err != nil {
			f.log.Error("trait not encoded", "trait", string(c.Trait), "error", err.Error())
			return
		}
	}
	for ctx.Err() == nil {
		_, err := f.store.Put(ctx, platform.TopicCrashes, string(c.Trait), value)
		if err == nil {
			return
		}
		f.log.Warn("trait not saved", "trait", string(c.Trait), "error", err.Error())
		sleep(ctx, storeTraitRetry)
	}
}
