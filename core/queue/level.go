package queue

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// level is the waiting work of one priority.
type level struct {
	priority int
	flows    []*flow
	// cursor indexes the flow whose turn it is.
	cursor int
	// served is when an item of the level was last started, or when the level
	// was last empty.
	served proto.Instant
}

// flow is the waiting work of one client account at one priority. It is
// served while its balance is above 0, and may go into debt by one item. The
// debt outlives an empty flow, so that an account gains nothing by sending
// one large item at a time.
type flow struct {
	account proto.AccountID
	weight  int64
	balance int64
	items   []Item
}

func (l *level) push(item Item) {
	i := slices.IndexFunc(l.flows, func(f *flow) bool { return f.account == item.Account })
	if i < 0 {
		i = len(l.flows)
		l.flows = append(l.flows, &flow{account: item.Account})
	}
	f := l.flows[i]
	f.weight = item.Weight
	f.items = append(f.items, item)
}

func (l *level) empty() bool {
	return !slices.ContainsFunc(l.flows, func(f *flow) bool { return len(f.items) > 0 })
}

// next removes and returns the item whose turn it is. The level must not be empty.
func (l *level) next(quantum int64) Item {
	for {
		for range l.flows {
			f := l.flows[l.cursor%len(l.flows)]
			if len(f.items) > 0 && f.balance > 0 {
				return f.take()
			}
			l.cursor = (l.cursor + 1) % len(l.flows)
		}
		l.credit(quantum)
	}
}

func (f *flow) take() Item {
	item := f.items[0]
	f.items = slices.Delete(f.items, 0, 1)
	f.balance -= item.Tokens
	return item
}

// credit gives every flow as many rounds as it takes until one can be
// served, and forgets empty flows without debt.
func (l *level) credit(quantum int64) {
	rounds := int64(0)
	for _, f := range l.flows {
		if len(f.items) == 0 {
			continue
		}
		needed := -f.balance/(quantum*f.weight) + 1
		if rounds == 0 || needed < rounds {
			rounds = needed
		}
	}
	for _, f := range l.flows {
		f.balance += rounds * quantum * f.weight
		if len(f.items) == 0 {
			f.balance = min(f.balance, 0)
		}
	}
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool { return len(f.items) == 0 && f.balance == 0 })
	l.cursor = 0
}
