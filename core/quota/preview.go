package quota

import "github.com/kumquatsill/kumquatsill/core/proto"

// Preview returns what Spend would return, without spending.
func (t *Tracker) Preview(now proto.Instant, id proto.AccountID, units int64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		before := *b
		defer func() { *b = before }()
	}
	return t.spend(now, id, units)
}
