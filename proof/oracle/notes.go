package oracle

import (
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// NoteAccepted tells when a revision was accepted: when its record entered the log.
func (o *Oracle) NoteAccepted(revision proto.Revision, at proto.Instant) {
	if _, ok := o.accepted[revision]; !ok {
		o.accepted[revision] = at
	}
}

// CheckRouter looks at the snapshot of a running router. local is the router's own
// clock at the world's time now.
func (o *Oracle) CheckRouter(now, local proto.Instant, id proto.RouterID, s *exchange.Snapshot) {
	revision := s.Config.Revision
	o.fail(check.NoteMonotonic, revision >= o.seen[id], "router %s went back from revision %d to %d", id, o.seen[id], revision)
	o.seen[id] = max(o.seen[id], revision)
	if !s.Ready || local >= s.FreshUntil {
		return // it refuses all keyed requests
	}
	for accepted, at := range o.accepted {
		o.fail(check.NoteMonotonic, revision >= accepted || now <= at.Add(noteWithin),
			"router %s serves revision %d, %v after revision %d was accepted", id, revision, now.Sub(at), accepted)
	}
}
