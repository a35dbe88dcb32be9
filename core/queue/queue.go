// Package queue schedules the attempts that wait at one endpoint: by priority,
// and within a priority by deficit round robin over the client accounts,
// measured in tokens.
package queue

import (
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Config configures a Queue. Fields that are zero or negative take the value of
// DefaultConfig.
type Config struct {
	// Quantum is the number of tokens credited per round to an account of weight 1.
	Quantum int64
	// MaxItems bounds the number of waiting items.
	MaxItems int
	// MaxStarvation is how long a lower priority may go unserved while it has
	// waiting items. After that, one of its items is served out of order.
	MaxStarvation time.Duration
	// MaxAloneWait is how long an item that must run alone waits for the endpoint
	// to become idle. After that, no other item starts before it.
	MaxAloneWait time.Duration
}

// DefaultConfig returns the values used for unset fields of a Config.
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

// Item is an attempt waiting for the endpoint.
type Item struct {
	Attempt  proto.AttemptID
	Account  proto.AccountID
	Priority int
	// Weight is the account's relative share within its priority; values below 1
	// count as 1.
	Weight int64
	// Tokens is the cost of the item; values below 1 count as 1.
	Tokens int64
	// Deadline is when the item expires; 0 means never.
	Deadline proto.Instant
	// Alone is set if no other item may run at the same time.
	Alone bool

	queuedAt proto.Instant
}

// Queue holds the waiting items and tracks the running ones. It is not safe for
// concurrent use.
type Queue struct {
	cfg Config
	// levels is sorted by descending priority. Items that must run alone are in
	// alone instead.
	levels  []*priorityLevel
	alone   []Item
	waiting map[proto.AttemptID]struct{}
	running map[proto.AttemptID]struct{}
	// runningAlone is set while an item that must run alone is running.
	runningAlone bool
	expired      []Item
	// earliestDeadline is a lower bound of the deadlines of the waiting items.
	earliestDeadline proto.Instant
	waitingTokens    int64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:              cfg.withDefaults(),
		waiting:          map[proto.AttemptID]struct{}{},
		running:          map[proto.AttemptID]struct{}{},
		earliestDeadline: proto.Never,
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Tokens returns the total cost of the waiting items.
func (q *Queue) Tokens() int64 { return q.waitingTokens }

// Running returns the number of items that have started and are not done.
func (q *Queue) Running() int { return len(q.running) }

// Push adds an item. It refuses an attempt that is already waiting or running
// with CauseDuplicate, one whose deadline has passed with CauseDeadline, and one
// that finds the queue full with CauseOverload. A full queue makes room by
// evicting the newest item of the account with the most waiting items, if that
// account has more than the pushing account would have. The caller must refuse
// the evicted item as not run.
func (q *Queue) Push(now proto.Instant, item Item) (evicted []Item, cause proto.Cause) {
	if q.contains(item.Attempt) {
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
	item.queuedAt = now
	q.waiting[item.Attempt] = struct{}{}
	q.waitingTokens += item.Tokens
	if item.Deadline != 0 {
		q.earliestDeadline = min(q.earliestDeadline, item.Deadline)
	}
	if item.Alone {
		q.alone = append(q.alone, item)
		return evicted, ""
	}
	q.priorityLevel(now, item.Priority).push(item)
	return evicted, ""
}

func (q *Queue) contains(id proto.AttemptID) bool {
	_, waits := q.waiting[id]
	_, runs := q.running[id]
	return waits || runs
}

// evict removes and returns the newest item of the account with the most waiting
// items. It returns false unless that account has more items than the given one
// would have after its push.
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
		if item.Account == most && (victim.Attempt == "" || item.queuedAt >= victim.queuedAt) {
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

// Cancel removes and returns a waiting item. It returns false if the attempt is
// not waiting.
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

// remove deletes the waiting items for which match returns true.
func (q *Queue) remove(match func(Item) bool) {
	removed := func(item Item) bool {
		if !match(item) {
			return false
		}
		q.untrack(item)
		return true
	}
	q.alone = slices.DeleteFunc(q.alone, removed)
	for _, l := range q.levels {
		for _, f := range l.flows {
			f.items = slices.DeleteFunc(f.items, removed)
		}
	}
	q.dropEmptyLevels()
}

// untrack removes an item that no longer waits from the waiting set and the total
// cost.
func (q *Queue) untrack(item Item) {
	delete(q.waiting, item.Attempt)
	q.waitingTokens -= item.Tokens
}

// TakeExpired returns the items whose deadline has passed while they waited,
// since the last call. The caller must refuse them as not run.
func (q *Queue) TakeExpired(now proto.Instant) []Item {
	q.expire(now)
	expired := q.expired
	q.expired = nil
	return expired
}

func (q *Queue) expire(now proto.Instant) {
	if now < q.earliestDeadline {
		return
	}
	q.earliestDeadline = proto.Never
	q.remove(func(item Item) bool {
		switch {
		case item.Deadline == 0:
			return false
		case now < item.Deadline:
			q.earliestDeadline = min(q.earliestDeadline, item.Deadline)
			return false
		}
		q.expired = append(q.expired, item)
		return true
	})
}

// Wake returns the next time at which TakeExpired or Next may return something
// new without further input, or Never.
func (q *Queue) Wake() proto.Instant { return q.earliestDeadline }

// Next marks the next item as running and returns it. It returns false if no
// waiting item may start now. Call it only while the endpoint has capacity, and
// call Done when the item ends.
func (q *Queue) Next(now proto.Instant) (Item, bool) {
	q.expire(now)
	if q.runningAlone {
		return Item{}, false
	}
	if len(q.alone) > 0 && len(q.running) == 0 {
		item := q.alone[0]
		q.alone = slices.Delete(q.alone, 0, 1)
		q.runningAlone = true
		return q.start(item), true
	}
	if len(q.alone) > 0 && now.Sub(q.alone[0].queuedAt) >= q.cfg.MaxAloneWait {
		return Item{}, false
	}
	l := q.selectLevel(now)
	if l == nil {
		return Item{}, false
	}
	l.lastServed = now
	item := l.next(q.cfg.Quantum)
	q.dropEmptyLevels()
	return q.start(item), true
}

func (q *Queue) start(item Item) Item {
	q.untrack(item)
	q.running[item.Attempt] = struct{}{}
	return item
}

// Done removes a running item. It has no effect if the attempt is not running.
func (q *Queue) Done(id proto.AttemptID) {
	delete(q.running, id)
	if len(q.running) == 0 {
		q.runningAlone = false
	}
}

// selectLevel returns the level to serve next: the highest, or else the lower one
// that has gone unserved longest, if that is at least MaxStarvation. Serving one
// item resets that time, so a flood of low-priority items does not overtake
// higher priorities.
func (q *Queue) selectLevel(now proto.Instant) *priorityLevel {
	if len(q.levels) == 0 {
		return nil
	}
	chosen := q.levels[0]
	for _, l := range q.levels[1:] {
		overdue := now.Sub(l.lastServed) >= q.cfg.MaxStarvation
		if overdue && (chosen == q.levels[0] || l.lastServed < chosen.lastServed) {
			chosen = l
		}
	}
	return chosen
}

func (q *Queue) priorityLevel(now proto.Instant, priority int) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, priority, func(l *priorityLevel, p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{priority: priority, lastServed: now})
	}
	return q.levels[i]
}

func (q *Queue) dropEmptyLevels() {
	q.levels = slices.DeleteFunc(q.levels, (*priorityLevel).empty)
}
