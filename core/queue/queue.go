// Package queue orders the work that waits at one endpoint: by priority, and
// within a priority by deficit round robin over the client accounts, in tokens.
package queue

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Config configures a Queue. Zero fields take the value of DefaultConfig.
type Config struct {
	// Quantum is the number of tokens that an account of weight 1 gains per round.
	Quantum int64
	// MaxItems bounds the number of waiting items.
	MaxItems int
	// MaxStarvation is how long waiting work of a lower priority may be passed over
	// before one item of it is served.
	MaxStarvation time.Duration
	// MaxAloneWait is how long an item that must run alone waits for the
	// endpoint to be idle before other items are held back for it.
	MaxAloneWait time.Duration
}

// DefaultConfig returns the values that zero fields of a Config take.
func DefaultConfig() Config {
	return Config{Quantum: 4000, MaxItems: 1024, MaxStarvation: 2 * time.Second, MaxAloneWait: 2 * time.Second}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.Quantum <= 0 {
		c.Quantum = d.Quantum
	}
	if c.MaxItems <= 0 {
		c.MaxItems = d.MaxItems
	}
	if c.MaxStarvation <= 0 {
		c.MaxStarvation = d.MaxStarvation
	}
	if c.MaxAloneWait <= 0 {
		c.MaxAloneWait = d.MaxAloneWait
	}
	return c
}

// Item is one attempt that waits for the endpoint.
type Item struct {
	Attempt  proto.AttemptID
	Account  proto.AccountID
	Priority int
	// Weight is the account's share within its priority; 0 means 1.
	Weight int64
	// Tokens is the work of the item; below 1 counts as 1.
	Tokens int64
	// Deadline is when the item is of no more use; 0 means never.
	Deadline proto.Instant
	// Alone items run with nothing beside them.
	Alone bool

	queued proto.Instant
}

// Queue holds waiting items and counts running ones. It is not safe for
// concurrent use.
type Queue struct {
	cfg Config
	// levels are sorted by falling priority; alone items are kept apart.
	levels  []*level
	alone   []Item
	waiting map[proto.AttemptID]struct{}
	running map[proto.AttemptID]struct{}
	// exclusive is set while an alone item runs.
	exclusive bool
	expired   []Item
	// earliest is no later than the first deadline.
	earliest proto.Instant
	tokens   int64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:      cfg.withDefaults(),
		waiting:  map[proto.AttemptID]struct{}{},
		running:  map[proto.AttemptID]struct{}{},
		earliest: proto.Never,
	}
}

// Len returns the number of waiting items, Tokens their work.
func (q *Queue) Len() int { return len(q.waiting) }

// Tokens returns the work of the waiting items.
func (q *Queue) Tokens() int64 { return q.tokens }

// Running returns the number of items that were started and are not done.
func (q *Queue) Running() int { return len(q.running) }

// Push adds an item. It refuses with CauseDuplicate an attempt that waits or
// runs, with CauseDeadline one that is late, and with CauseOverload one for
// which there is no room. A full queue makes room by evicting the newest item
// of the account that has the most waiting, if the pushing account has fewer;
// the caller must answer the evicted item as not run.
func (q *Queue) Push(now proto.Instant, item Item) (evicted []Item, cause proto.Cause) {
	if q.has(item.Attempt) {
		return nil, proto.CauseDuplicate
	}
	if item.Deadline != 0 && now >= item.Deadline {
		return nil, proto.CauseDeadline
	}
	if len(q.waiting) >= q.cfg.MaxItems {
		victim, ok := q.evict(item.Account)
		if !ok {
			return nil, proto.CauseOverload
		}
		evicted = []Item{victim}
	}
	item.Tokens = max(1, item.Tokens)
	item.Weight = max(1, item.Weight)
	item.queued = now
	q.waiting[item.Attempt] = struct{}{}
	q.tokens += item.Tokens
	if item.Deadline != 0 {
		q.earliest = min(q.earliest, item.Deadline)
	}
	if item.Alone {
		q.alone = append(q.alone, item)
		return evicted, ""
	}
	q.level(now, item.Priority).push(item)
	return evicted, ""
}

func (q *Queue) has(id proto.AttemptID) bool {
	_, waits := q.waiting[id]
	_, runs := q.running[id]
	return waits || runs
}

// evict removes the newest item of the account with the most waiting items,
// and fails if none has more than the given account would have.
func (q *Queue) evict(account proto.AccountID) (Item, bool) {
	counts := map[proto.AccountID]int{}
	q.each(func(item Item) { counts[item.Account]++ })
	most := account
	for other, n := range counts {
		larger := n > counts[most]
		if larger || n == counts[most] && most != account && other < most {
			most = other
		}
	}
	if counts[most] <= counts[account]+1 {
		return Item{}, false
	}
	var victim Item
	q.each(func(item Item) {
		if item.Account == most && (victim.Attempt == "" || item.queued >= victim.queued) {
			victim = item
		}
	})
	return q.Cancel(victim.Attempt)
}

func (q *Queue) each(visit func(Item)) {
	for _, item := range q.alone {
		visit(item)
	}
	for _, l := range q.levels {
		for _, f := range l.flows {
			for _, item := range f.items {
				visit(item)
			}
		}
	}
}

// Cancel removes a waiting item and returns it. It fails for one that is not
// waiting.
func (q *Queue) Cancel(id proto.AttemptID) (Item, bool) {
	if _, ok := q.waiting[id]; !ok {
		return Item{}, false
	}
	var found Item
	q.remove(func(item Item) bool {
		if item.Attempt == id {
			found = item
		}
		return item.Attempt == id
	})
	return found, true
}

// remove deletes the waiting items for which drop returns true.
func (q *Queue) remove(drop func(Item) bool) {
	gone := func(item Item) bool {
		if !drop(item) {
			return false
		}
		q.left(item)
		return true
	}
	q.alone = slices.DeleteFunc(q.alone, gone)
	for _, l := range q.levels {
		for _, f := range l.flows {
			f.items = slices.DeleteFunc(f.items, gone)
		}
	}
	q.dropEmptyLevels()
}

// left takes an item out of the counts.
func (q *Queue) left(item Item) {
	delete(q.waiting, item.Attempt)
	q.tokens -= item.Tokens
}

// TakeExpired returns the items whose deadline passed while they waited, since
// the last call. The caller must answer them as not run.
func (q *Queue) TakeExpired(now proto.Instant) []Item {
	q.expire(now)
	expired := q.expired
	q.expired = nil
	return expired
}

func (q *Queue) expire(now proto.Instant) {
	if now < q.earliest {
		return
	}
	q.earliest = proto.Never
	q.remove(func(item Item) bool {
		switch {
		case item.Deadline == 0:
			return false
		case now < item.Deadline:
			q.earliest = min(q.earliest, item.Deadline)
			return false
		}
		q.expired = append(q.expired, item)
		return true
	})
}

// Wake returns when Expired or Next may have something new without another
// input, or Never.
func (q *Queue) Wake() proto.Instant { return q.earliest }

// Next starts the item whose turn it is and returns it. It fails if nothing
// waits that may start now. The caller calls it only while the endpoint has
// room, and calls Done when the item ends.
func (q *Queue) Next(now proto.Instant) (Item, bool) {
	q.expire(now)
	if q.exclusive {
		return Item{}, false
	}
	if len(q.alone) > 0 && len(q.running) == 0 {
		item := q.alone[0]
		q.alone = slices.Delete(q.alone, 0, 1)
		q.exclusive = true
		return q.start(item), true
	}
	if len(q.alone) > 0 && now.Sub(q.alone[0].queued) >= q.cfg.MaxAloneWait {
		return Item{}, false
	}
	l := q.turn(now)
	if l == nil {
		return Item{}, false
	}
	l.served = now
	item := l.next(q.cfg.Quantum)
	q.dropEmptyLevels()
	return q.start(item), true
}

func (q *Queue) start(item Item) Item {
	q.left(item)
	q.running[item.Attempt] = struct{}{}
	return item
}

// Done ends a running item; it has no effect for another.
func (q *Queue) Done(id proto.AttemptID) {
	delete(q.running, id)
	if len(q.running) == 0 {
		q.exclusive = false
	}
}

// turn returns the level to serve: the highest, unless a lower one was passed
// over for too long. Serving one item resets its time, so that the work of a
// flooding account of low priority stays behind.
func (q *Queue) turn(now proto.Instant) *level {
	if len(q.levels) == 0 {
		return nil
	}
	chosen := q.levels[0]
	for _, l := range q.levels[1:] {
		overdue := now.Sub(l.served) >= q.cfg.MaxStarvation
		if overdue && (chosen == q.levels[0] || l.served < chosen.served) {
			chosen = l
		}
	}
	return chosen
}

func (q *Queue) level(now proto.Instant, priority int) *level {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority, served: now})
	}
	return q.levels[i]
}

func (q *Queue) dropEmptyLevels() {
	q.levels = slices.DeleteFunc(q.levels, (*level).empty)
}
