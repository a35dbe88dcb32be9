package serving

import "time"

// StreamBounds returns the least permitted gap of the streams that a service serves,
// and the target latency of their route; 0 if no route of the service limits gaps.
func (c *Config) StreamBounds(service string) (gap, latency time.Duration) {
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.Kind != Stream || r.TargetGap <= 0 || !r.reaches(service) {
				continue
			}
			if gap == 0 || r.TargetGap < gap {
				gap, latency = r.TargetGap, r.TargetLatency
			}
		}
	}
	return gap, latency
}

func (r *Route) reaches(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}
