package quota

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Preview returns what Admit would return, without spending or promising anything.
func (t *Tracker) Preview(now proto.Instant, id proto.AccountID, r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		before := *b
		before.schedule.promises = slices.Clone(b.schedule.promises)
		defer func() { *b = before }()
	}
	return t.admit(now, id, r)
}
