package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// transferSetup is the fixed overhead of a transfer.
	transferSetup = 4 * time.Millisecond
	// crossDomainFactor is how much longer a transfer between failure domains
	// takes.
	crossDomainFactor = 2
	// maxTransferWait is the longest time planned for the wait and the transfer.
	// It leaves a margin below the wait after which an engine recomputes the
	// parts instead of starting the transfer.
	maxTransferWait = 1500 * time.Millisecond
	// engineMissCost is the cost of the risk that a source engine has evicted
	// the parts since its last event: its running requests displace them within
	// a second or two. A store has more room.
	engineMissCost = 40 * time.Millisecond
)

// storeLink describes the network link of a cache store.
type storeLink struct {
	index  *StoreIndex
	addr   string
	domain proto.Domain
	// freeAt is when the link becomes free.
	freeAt proto.Instant
	// tokenTime is the time to send the cache entry of one token.
	tokenTime time.Duration
	// lag is by how much later than planned transfers end.
	lag time.Duration
}

// links describes the links over which the engines of one service fetch cache
// entries.
type links struct {
	// tokenTime is the time to send the cache entry of one token between engines.
	tokenTime time.Duration
	// stores holds the reachable stores, the nearest first.
	stores []storeLink
}

// linksFor returns the links of a service; mu must be held.
func (p *Placer) linksFor(now proto.Instant, service string) links {
	var l links
	svc := p.config.Services[service]
	if svc == nil || svc.Engine == nil {
		return l
	}
	l.tokenTime = transmitTime(svc.Engine.TokenBytes, svc.Engine.LinkBitsPerSecond)
	for _, other := range p.config.Services {
		if other.Store == nil {
			continue
		}
		index := p.stores[other.Store.Addr]
		if index == nil || !index.Alive() {
			continue
		}
		l.stores = append(l.stores, storeLink{
			index: index, addr: other.Store.Addr, domain: other.Store.Domain, freeAt: p.storeFreeAt[other.Store.Addr], lag: p.storeLags[other.Store.Addr].current(now),
			tokenTime: max(l.tokenTime, transmitTime(svc.Engine.TokenBytes, other.Store.LinkBitsPerSecond)),
		})
	}
	slices.SortFunc(l.stores, func(a, b storeLink) int {
		return cmp.Or(cmp.Compare(p.distance(a.domain), p.distance(b.domain)), cmp.Compare(a.addr, b.addr))
	})
	return l
}

// distance is 0 for the router's own failure domain and 1 for others.
func (p *Placer) distance(d proto.Domain) int {
	if d == p.cfg.Domain {
		return 0
	}
	return 1
}

func transmitTime(bytes int64, bitsPerSecond float64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / bitsPerSecond * float64(time.Second))
}

// transferTime returns how long a transfer takes once both links are free.
func transferTime(tokens int64, tokenTime time.Duration, crossDomain bool) time.Duration {
	if tokens == 0 {
		return 0
	}
	took := time.Duration(tokens) * tokenTime
	if crossDomain {
		took *= crossDomainFactor
	}
	return took + transferSetup
}

// reserveLinks marks the links at both ends of a transfer as busy for its
// duration; mu must be held.
func (p *Placer) reserveLinks(now proto.Instant, t Transfer) {
	if t.DurationMillis <= 0 {
		return
	}
	d := time.Duration(t.DurationMillis) * time.Millisecond
	freeAt := now
	to := p.loads[t.To]
	if to != nil {
		freeAt = max(freeAt, to.linkFreeAt)
	}
	from := p.loads[t.From]
	if from != nil {
		freeAt = max(freeAt, from.linkFreeAt)
	} else {
		freeAt = max(freeAt, p.storeFreeAt[t.Store])
	}
	until := freeAt.Add(d)
	if to != nil {
		to.linkFreeAt = until
	}
	if from != nil {
		from.linkFreeAt = until
	} else if t.Store != "" {
		p.storeFreeAt[t.Store] = until
	}
}
