package drive

import "github.com/kumquatsill/kumquatsill/core/proto"

// event is a delivery, a tick or a call at one time.
type event struct {
	at proto.Instant
	// serial keeps events of one time in the order in which they were made.
	serial   uint64
	envelope proto.Envelope
	// misdelivered marks a copy that reaches a node it is not meant for.
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
