package lease

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// extension is a round of promise requests by the holder.
type extension struct {
	call   uint64
	sentAt proto.Instant
	length time.Duration
	// awaiting holds the routers that have not promised yet.
	awaiting map[proto.RouterID]bool
}

// RequestPromises starts a round of promise requests while the log is
// unreachable. It returns the request and the routers to send it to, which are
// all other registered routers. It returns false if this node does not hold the
// lease or the maximum extension is used up.
func (l *Lease) RequestPromises(now proto.Instant, call uint64, snap *configlog.Snapshot) (proto.PromiseRequest, []proto.RouterID, bool) {
	limit := l.loggedExpiry.Add(l.cfg.MaxExtension)
	length := min(l.cfg.TTL, limit.Sub(now))
	if _, ok := l.Held(now); !ok || length <= 0 {
		return proto.PromiseRequest{}, nil, false
	}
	var others []proto.RouterID
	awaiting := map[proto.RouterID]bool{}
	for id := range snap.Routers {
		if id != l.cfg.Self {
			others = append(others, id)
			awaiting[id] = true
		}
	}
	l.extension = extension{call: call, sentAt: now, length: length, awaiting: awaiting}
	l.tryExtend()
	return proto.PromiseRequest{Lease: l.cfg.Name, Duration: length, Call: call}, others, true
}

// HandlePromiseReply handles a router's reply. Once every router has promised,
// the lease is extended, counted from when the requests were sent.
func (l *Lease) HandlePromiseReply(now proto.Instant, from proto.RouterID, reply proto.PromiseReply) {
	e := &l.extension
	if reply.Call != e.call || reply.Lease != l.cfg.Name || !reply.OK || e.awaiting == nil {
		return
	}
	if _, ok := l.Held(now); !ok {
		return
	}
	delete(e.awaiting, from)
	l.tryExtend()
}

func (l *Lease) tryExtend() {
	if len(l.extension.awaiting) > 0 {
		return
	}
	l.expiry = max(l.expiry, l.extension.sentAt.Add(l.extension.length))
	l.extension = extension{}
}

// HandlePromiseRequest replies to a holder's request not to claim the lease for
// a while. A node that can reach the log does not promise, since it could take
// over the lease. Neither does a node whose own claim may still take effect.
func (l *Lease) HandlePromiseRequest(now proto.Instant, req proto.PromiseRequest, logReachable bool) proto.PromiseReply {
	reply := proto.PromiseReply{Lease: req.Lease, Call: req.Call}
	claiming := l.pending != nil && l.pending.action == configlog.LeaseClaim || l.unresolved != nil
	if logReachable || claiming || req.Lease != l.cfg.Name || req.Duration <= 0 || req.Duration > l.state.TTL {
		return reply
	}
	l.promisedUntil = max(l.promisedUntil, now.Add(req.Duration))
	reply.OK = true
	return reply
}
