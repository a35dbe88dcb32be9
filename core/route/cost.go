package route

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Costs are the times that the cost model reckons with. Zero fields take the
// value of DefaultCosts.
type Costs struct {
	// PrefillToken is the time to compute one prompt token.
	PrefillToken time.Duration
	// PendingRequest is the delay that each run or waiting run adds to a first token.
	PendingRequest time.Duration
	// ServiceCall is the time that a plain service takes for one call.
	ServiceCall time.Duration
	// ImportSetup is the fixed time of an import, PeerToken and StoreToken
	// the time for one token from a peer and from the KV store.
	ImportSetup time.Duration
	PeerToken   time.Duration
	StoreToken  time.Duration
	// CrossDomain is the additional round trip to another failure domain.
	CrossDomain time.Duration
}

// DefaultCosts returns the values that zero fields of Costs take.
func DefaultCosts() Costs {
	return Costs{
		PrefillToken:   100 * time.Microsecond,
		PendingRequest: time.Millisecond,
		ServiceCall:    20 * time.Millisecond,
		ImportSetup:    20 * time.Millisecond,
		PeerToken:      10 * time.Microsecond,
		StoreToken:     20 * time.Microsecond,
		CrossDomain:    2 * time.Millisecond,
	}
}

func (c Costs) withDefaults() Costs {
	d := DefaultCosts()
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&c.PrefillToken, &d.PrefillToken},
		{&c.PendingRequest, &d.PendingRequest},
		{&c.ServiceCall, &d.ServiceCall},
		{&c.ImportSetup, &d.ImportSetup},
		{&c.PeerToken, &d.PeerToken},
		{&c.StoreToken, &d.StoreToken},
		{&c.CrossDomain, &d.CrossDomain},
	} {
		if *f.value <= 0 {
			*f.value = *f.fallback
		}
	}
	return c
}

const (
	// doubtCost keeps work from a doubtful endpoint or failure domain while
	// any other can take it within that time.
	doubtCost = 2 * time.Second
	// homePrior is the chance that a first home holds a block at depth 1 that
	// this router knows nothing of; depthDecay is its factor per further block,
	// as deeper blocks are shared by fewer requests.
	homePrior  = 0.9
	depthDecay = 0.9
	// standbyPrior is the factor for a home beyond the current spread.
	standbyPrior = 0.3
	// halfLife is the time after which a block that was seen at an endpoint
	// has an even chance of being evicted.
	halfLife = 30 * time.Second
)

// confidence returns the chance that a block is still held that was seen age ago.
func confidence(age time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(0, age))
}

// priors holds the chance that a first home holds an unknown block, by depth.
var priors = func() (table [16]float64) {
	chance := homePrior
	for i := range table {
		table[i] = chance
		chance *= depthDecay
	}
	return table
}()

func prior(depth int) float64 { return priors[min(depth-1, len(priors)-1)] }

// candidate is an endpoint under consideration for one request.
type candidate struct {
	*endpoint
	// held is the mean number of leading blocks held by what was seen,
	// expected also by what is probable of a home.
	held, expected float64
	// seen is the number of leading blocks that reports or dispatches vouch for.
	seen int
	// home is the depth for which the endpoint counts as a home; 0 means none.
	home int
	// chance is the chance that it holds that depth.
	chance float64
	// absentFrom is the least depth that the endpoint reported to lack; 0 means none.
	absentFrom int
	// wait is the time until the prompt's own work starts, first the time to
	// the first token, score what the choice minimises.
	wait, first time.Duration
	score       float64
	source      proto.KVSource
	imports     bool
	usable      bool
	doubted     bool
	overBound   bool
}

// combine adds what a home probably holds beyond what was seen there.
func (c *candidate) combine() {
	c.expected = c.held + max(0, c.chance*(float64(c.home)-c.held))
	if c.absentFrom > 0 {
		c.expected = min(c.expected, float64(c.absentFrom-1))
	}
}
