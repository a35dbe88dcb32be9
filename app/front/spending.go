package front

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/platform"
)

// spendingKey is the only key of the topic of spending.
const spendingKey = "exceeded"

// keepSpending reads which accounts were beyond their limits before this router started,
// then keeps the store informed of them, so that no restart grants them a burst again. Only
// the first by name of the routers that hear each other writes.
func (f *Front) keepSpending(ctx context.Context) error {
	stored, err := f.readSpending(ctx)
	for ; err != nil && ctx.Err() == nil; stored, err = f.readSpending(ctx) {
		f.log.Warn("spending not read", "error", err.Error())
		sleep(ctx, minBackoff)
	}
	f.quota.RestoreExceeded(driver.Now(), stored)
	f.log.Info("spending restored", "accounts", len(stored))
	sameAccounts := func(int64, int64) bool { return true }
	for storedIn, _ := f.store.Era(); ctx.Err() == nil; sleep(ctx, quota.Interval) {
		f.mu.Lock()
		rank := f.rank(driver.Now())
		f.mu.Unlock()
		if rank > 0 {
			storedIn = -1 // another router may write
			continue
		}
		levels := f.quota.Exceeded(driver.Now())
		if era, _ := f.store.Era(); era == storedIn && maps.EqualFunc(levels, stored, sameAccounts) {
			continue
		}
		value, _ := json.Marshal(levels) // strings and numbers cannot fail
		era, err := f.store.Put(ctx, platform.TopicSpending, spendingKey, value)
		if err != nil {
			f.log.Warn("spending not saved", "accounts", len(levels), "error", err.Error())
			continue
		}
		stored, storedIn = levels, era
		f.log.Info("spending saved", "accounts", len(levels))
	}
	return nil
}

func (f *Front) readSpending(ctx context.Context) (levels map[proto.AccountID]int64, err error) {
	records, err := f.store.NewestOrNone(ctx, platform.TopicSpending)
	for _, r := range records {
		if err := json.Unmarshal(r.Value, &levels); err != nil {
			f.log.Warn("stored spending ignored", "key", r.Key, "error", err.Error())
			levels = nil
		}
	}
	return levels, err
}
