package queue

import (
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// priorityLevel holds the waiting items of one priority, grouped into one flow
// per client account.
type priorityLevel struct {
	priority int
	flows    []*flow
	// nextFlow indexes the flow whose turn it is.
	nextFlow int
	// lastServed is when an item of the level last started, or when the level was
	// created if none has. Empty levels are deleted.
	lastServed proto.Instant
}

// flow holds the waiting items of one client account at one priority. It is
// served while its token balance is above 0, so the last item served may take
// the balance below 0. An empty flow keeps a negative balance; otherwise an
// account could exceed its share by sending one large item at a time.
type flow struct {
	account proto.AccountID
	weight  int64
	balance int64
	items   []Item
}

func (l *priorityLevel) push(item Item) {
	i := slices.IndexFunc(l.flows, func(f *flow) bool { return f.account == item.Account })
	if i < 0 {
		i = len(l.flows)
		l.flows = append(l.flows, &flow{account: item.Account})
	}
	f := l.flows[i]
	f.weight = item.Weight
	f.items = append(f.items, item)
}

func (l *priorityLevel) empty() bool {
	return !slices.ContainsFunc(l.flows, func(f *flow) bool { return len(f.items) > 0 })
}

// next removes and returns the next item in deficit round-robin order. The level
// must not be empty.
func (l *priorityLevel) next(quantum int64) Item {
	for {
		for range l.flows {
			f := l.flows[l.nextFlow%len(l.flows)]
			if len(f.items) > 0 && f.balance > 0 {
				return f.pop()
			}
			l.nextFlow = (l.nextFlow + 1) % len(l.flows)
		}
		l.creditRounds(quantum)
	}
}

func (f *flow) pop() Item {
	item := f.items[0]
	f.items = slices.Delete(f.items, 0, 1)
	f.balance -= item.Tokens
	return item
}

// creditRounds credits every flow with the smallest number of rounds that lets
// at least one flow be served. It deletes empty flows whose balance is not
// negative.
func (l *priorityLevel) creditRounds(quantum int64) {
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
	l.nextFlow = 0
}
