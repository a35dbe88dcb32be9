package place

import "github.com/kumquatsill/kumquatsill/core/proto"

// FetchOrigin returns the failure domain from which the endpoint of a choice fetches cached
// parts, and their size in bytes; 0 bytes if that is not known.
func (p *Placer) FetchOrigin(c Choice) (from proto.Domain, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil {
		return "", 0
	}
	svc := p.config.Services[c.Endpoint.Service]
	if svc == nil || svc.Engine == nil {
		return "", 0
	}
	bytes = c.FetchedTokens * svc.Engine.TokenBytes
	if e := p.list.ByID[c.SourceEngine]; e != nil {
		return e.Domain, bytes
	}
	for _, other := range p.config.Services {
		if other.Store != nil && other.Store.Addr == c.Source {
			return other.Store.Domain, bytes
		}
	}
	return "", 0
}
