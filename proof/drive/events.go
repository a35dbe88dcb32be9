package drive

import "github.com/kumquatsill/kumquatsill/core/proto"

// event is a message delivery, a tick of a node or a function call that is due at
// one instant.
type event struct {
	at proto.Instant
	// serial orders events that are due at the same instant by their creation.
	serial   uint64
	envelope proto.Envelope
	// misdelivered marks a copy that is delivered to a node other than its addressee.
	misdelivered bool
	tick         bool
	instance     uint64
	call         func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
