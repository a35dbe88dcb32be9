// Package worker runs the state machines of one router in several goroutines:
// one for the control state machine, and a fixed number of workers for the
// exchanges, which are assigned by a hash of the request id.
package worker

import (
	"container/heap"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// shard holds the exchanges of one worker and implements proto.Machine.
type shard struct {
	control *router.Control
	// onOpen is called before an exchange is opened.
	onOpen    func()
	seed      uint64
	count     uint64
	exchanges map[proto.RequestID]*entry
	timers    timers
	out       []proto.Envelope
}

// entry is an exchange with its routing data and timer.
type entry struct {
	id proto.RequestID
	x  *exchange.Exchange
	// origin is the router that forwarded the request, or zero.
	origin proto.Addr
	// wake is when the earliest timer of the exchange expires.
	wake proto.Instant
}

func newShard(control *router.Control, seed uint64, onOpen func()) *shard {
	return &shard{control: control, onOpen: onOpen, seed: seed, exchanges: map[proto.RequestID]*entry{}}
}

// Step implements proto.Machine.
func (s *shard) Step(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.CallerRequest:
		s.openExchange(now, m, proto.Addr{})
	case proto.IntentForward:
		s.openExchange(now, m.Request, in.From)
	default:
		s.route(now, in)
	}
}

func (s *shard) openExchange(now proto.Instant, req proto.CallerRequest, origin proto.Addr) {
	if s.exchanges[req.ID] != nil {
		return
	}
	s.onOpen()
	s.count++
	e := &entry{id: req.ID, origin: origin, wake: proto.Never, x: s.control.NewExchange(now, req, s.seed+s.count)}
	s.exchanges[req.ID] = e
	s.collect(e)
}

func (s *shard) route(now proto.Instant, in proto.Envelope) {
	id, _ := router.TargetRequest(in.Msg)
	e := s.exchanges[id]
	if e == nil {
		s.onLateMessage(in)
		return
	}
	e.x.Step(now, in)
	s.collect(e)
}

// onLateMessage counts a message to a request that has ended. If the message
// grants the request a trial, it releases the trial.
func (s *shard) onLateMessage(in proto.Envelope) {
	s.control.Deps().Stats.Late.Add(1)
	if unused, ok := router.UnusedTrialReply(in.Msg); ok {
		self := s.control.Self()
		s.out = append(s.out, proto.Envelope{From: self, To: self, Msg: unused})
	}
}

// collect takes the outgoing messages of an exchange and removes the exchange
// once it has ended.
func (s *shard) collect(e *entry) {
	out := e.x.Take()
	if e.origin != (proto.Addr{}) {
		router.RedirectToOrigin(out, e.origin)
	}
	s.out = append(s.out, out...)
	if e.x.Done() {
		delete(s.exchanges, e.id)
		return
	}
	s.setTimer(e)
}

// setTimer sets a timer unless an earlier one is set. When the earlier one
// expires, the next timer is set to what the exchange needs by then.
func (s *shard) setTimer(e *entry) {
	if wake := e.x.Wake(); wake < e.wake {
		e.wake = wake
		heap.Push(&s.timers, timer{at: wake, entry: e})
	}
}

// Tick implements proto.Machine.
func (s *shard) Tick(now proto.Instant) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		fired, _ := heap.Pop(&s.timers).(timer)
		e := fired.entry
		if s.exchanges[e.id] != e || fired.at != e.wake {
			continue
		}
		e.wake = proto.Never
		if e.x.Wake() <= now {
			e.x.Tick(now)
		}
		s.collect(e)
	}
}

// Wake implements proto.Machine.
func (s *shard) Wake() proto.Instant {
	if len(s.timers) == 0 {
		return proto.Never
	}
	return s.timers[0].at
}

// Take implements proto.Machine.
func (s *shard) Take() []proto.Envelope {
	out := s.out
	s.out = nil
	return out
}

type timer struct {
	at    proto.Instant
	entry *entry
}

// timers is a heap of timers ordered by time, earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	if added, ok := x.(timer); ok {
		*t = append(*t, added)
	}
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
