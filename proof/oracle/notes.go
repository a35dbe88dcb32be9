package oracle

import (
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// NoteAccepted records the time at which the record of a revision entered the log.
func (o *Oracle) NoteAccepted(revision proto.Revision, at proto.Instant) {
	if _, ok := o.accepted[revision]; !ok {
		o.accepted[revision] = at
	}
}

// CheckRouter checks the configuration of a running router. local is the time on
// the router's own clock, now the simulated time.
func (o *Oracle) CheckRouter(now, local proto.Instant, id proto.RouterID, s *exchange.Snapshot) {
	revision := s.Config.Revision
	o.assert(check.NoteMonotonic, revision >= o.revisions[id], "router %s went back from revision %d to %d", id, o.revisions[id], revision)
	o.revisions[id] = max(o.revisions[id], revision)
	if !s.Ready || local >= s.FreshUntil {
		return // the router rejects all requests with a key
	}
	for accepted, at := range o.accepted {
		o.assert(check.NoteMonotonic, revision >= accepted || now <= at.Add(maxPropagation),
			"router %s serves revision %d, %v after revision %d was accepted", id, revision, now.Sub(at), accepted)
	}
}
