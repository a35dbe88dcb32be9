package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// transferSetup is the time that a transfer takes beside its bytes.
	transferSetup = 4 * time.Millisecond
	// foreignFactor is how much longer a transfer between failure domains takes.
	foreignFactor = 2
	// maxTransferWait is the wait beyond which an engine does not start a
	// transfer and reads the parts instead, less a margin.
	maxTransferWait = 1500 * time.Millisecond
	// engineMissRisk weighs that an engine may have dropped parts since it was
	// last heard: its running requests displace them within a second or two. A
	// store has room for more.
	engineMissRisk = 40 * time.Millisecond
)

// storeLink is the link of a store of cache entries.
type storeLink struct {
	index  *StoreIndex
	addr   string
	domain proto.Domain
	busy   proto.Instant
	// tokenTime is the time to send one token.
	tokenTime time.Duration
}

// links describes the links that the entries of one service's engines take.
type links struct {
	// tokenTime is the time to send one token between engines.
	tokenTime time.Duration
	// stores holds those that answer, the nearest first.
	stores []storeLink
}

// linksOf returns the links of a service; mu is held.
func (p *Placer) linksOf(service string) links {
	var l links
	svc := p.config.Services[service]
	if svc == nil || svc.Engine == nil {
		return l
	}
	l.tokenTime = timeOf(svc.Engine.TokenBytes, svc.Engine.LinkBitsPerSecond)
	for _, other := range p.config.Services {
		if other.Store == nil {
			continue
		}
		index := p.stores[other.Store.Addr]
		if index == nil || !index.Alive() {
			continue
		}
		l.stores = append(l.stores, storeLink{
			index: index, addr: other.Store.Addr, domain: other.Store.Domain, busy: p.storeBusy[other.Store.Addr],
			tokenTime: max(l.tokenTime, timeOf(svc.Engine.TokenBytes, other.Store.LinkBitsPerSecond)),
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

func timeOf(bytes int64, bitsPerSecond float64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / bitsPerSecond * float64(time.Second))
}

// transferTime returns the time that a transfer takes once both links are free.
func transferTime(tokens int64, tokenTime time.Duration, foreign bool) time.Duration {
	if tokens == 0 {
		return 0
	}
	took := time.Duration(tokens) * tokenTime
	if foreign {
		took *= foreignFactor
	}
	return took + transferSetup
}

// occupy records that a transfer takes the links of its two ends; mu is held.
func (p *Placer) occupy(now proto.Instant, t Transfer) {
	if t.DurationMillis <= 0 {
		return
	}
	d := time.Duration(t.DurationMillis) * time.Millisecond
	busy := now
	to := p.loads[t.To]
	if to != nil {
		busy = max(busy, to.linkBusy)
	}
	from := p.loads[t.From]
	if from != nil {
		busy = max(busy, from.linkBusy)
	} else {
		busy = max(busy, p.storeBusy[t.Store])
	}
	until := busy.Add(d)
	if to != nil {
		to.linkBusy = until
	}
	if from != nil {
		from.linkBusy = until
	} else if t.Store != "" {
		p.storeBusy[t.Store] = until
	}
}
