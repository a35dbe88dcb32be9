package serving

import "strings"

// maxWeight is the maximum weight of a target. It keeps sums of weights far from overflow.
const maxWeight = 1_000_000_000

// validate returns an error if a route cannot be served as it is.
func (r *Route) validate() error {
	switch {
	case r.Host == "" || len(r.Targets) == 0:
		return Error.New("route %q has no host or no target", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return Error.New("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout < 0 || r.TargetLatency < 0 || r.TargetGap < 0:
		return Error.New("route %q has a negative duration", r.Name)
	case r.Attempts < 0:
		return Error.New("route %q has %d attempts", r.Name, r.Attempts)
	}
	return r.validateWeights()
}

func (r *Route) validateWeights() error {
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 || t.Weight > maxWeight {
			return Error.New("route %q gives service %q weight %d", r.Name, t.Service, t.Weight)
		}
		total += t.Weight
	}
	if total == 0 {
		return Error.New("route %q gives no service a weight", r.Name)
	}
	return nil
}

// validate returns an error if an account's limit makes no sense.
func (a *Account) validate() error {
	if a.Rate < 0 || a.Burst < 0 || a.DefaultTokens < 0 {
		return Error.New("account %q has a negative limit or cost", a.ID)
	}
	return nil
}

// validate returns an error if a number that concerns the whole configuration makes no
// sense.
func (c *Spec) validate() error {
	if c.Revision < 0 || c.MaxBody < 0 {
		return Error.New("revision %d or body limit %d is negative", c.Revision, c.MaxBody)
	}
	return nil
}
