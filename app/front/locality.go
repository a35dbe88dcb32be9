package front

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// domainsPeriod is the number of intervals between messages to other failure domains
	// that report the loads of the own one. It is a multiple of farPeriod.
	domainsPeriod = 4
	// domainReporters is the number of routers of each failure domain that report its
	// loads: two, so that the loss of one is not noticed.
	domainReporters = 2
	// reporterTimeout is how long after its last message a router counts as reporting.
	reporterTimeout = time.Second
)

// updateDomains brings the costs of leaving the own failure domain up to date and logs what
// has changed.
func (f *Front) updateDomains(now proto.Instant) {
	for _, c := range f.placer.UpdateDomains(now) {
		f.log.Info("cost of leaving the failure domain changed", "service", c.Service, "from", c.From.String(), "to", c.To.String(),
			"load", c.Load, "late_share", c.LateShare, "view_ms", c.ViewAge.Milliseconds())
	}
}

// domainSummaries returns the loads of the own failure domain for the n-th periodic message
// to peers at a distance, if this router reports them. In a large fleet the near ones are of
// the own domain and need none.
func (f *Front) domainSummaries(now proto.Instant, n int, d distance) []locality.Summary {
	if !f.cfg.AdaptDomainCost || n%domainsPeriod != 0 || d == near && f.peerCount() > maxPeersAllNear || !f.reportsDomain(now) {
		return nil
	}
	return f.placer.DomainSummaries(now)
}

// reportsDomain reports whether this router is one of the first of its failure domain by
// name that were heard recently.
func (f *Front) reportsDomain(now proto.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := 0
	for id, p := range f.peers {
		if p.domain == f.cfg.Settings.Domain && string(id) < f.cfg.Settings.Host && p.lastHeardAt != 0 && now.Sub(p.lastHeardAt) < reporterTimeout {
			before++
		}
	}
	return before < domainReporters
}

// handleDomains applies the loads that a peer reports of its failure domain.
func (f *Front) handleDomains(now proto.Instant, m peer.Message) {
	if len(m.Domains) == 0 {
		return
	}
	f.mu.Lock()
	p := f.peers[m.Counts.Router]
	f.mu.Unlock()
	if p != nil {
		f.placer.HandleDomainSummaries(now, p.domain, m.Domains)
	}
}
