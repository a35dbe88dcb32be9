package route

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Costs are the parameters of the cost model. Zero fields take the value of
// DefaultCosts.
type Costs struct {
	// PrefillToken is the time to prefill one prompt token.
	PrefillToken time.Duration
	// PendingRequest is the delay that each running or queued request adds to
	// the time to first token.
	PendingRequest time.Duration
	// ServiceCall is the time that a plain service takes to serve one call.
	ServiceCall time.Duration
	// ImportSetup is the fixed time of a KV cache import. PeerToken and StoreToken
	// are the times to import one token from a peer and from the KV store.
	ImportSetup time.Duration
	PeerToken   time.Duration
	StoreToken  time.Duration
	// CrossDomain is the additional round-trip time to another failure domain.
	CrossDomain time.Duration
}

// DefaultCosts returns the default cost parameters.
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
	// doubtfulPenalty is added to the delay of an endpoint that is doubtful or in a
	// doubtful failure domain. It gets work only if no other endpoint can start
	// the request within that time.
	doubtfulPenalty = 2 * time.Second
	// homePrior is the probability that a first home caches a block at depth 1
	// for which this router has no record. depthDecay is its factor per further
	// block, because fewer requests share deeper blocks.
	homePrior  = 0.9
	depthDecay = 0.9
	// standbyFactor is the factor of that probability for the homes that are
	// considered only when all homes in use are busy.
	standbyFactor = 0.3
	// cacheHalfLife is the age of a record at which its block has been evicted
	// with a probability of one half.
	cacheHalfLife = 30 * time.Second
)

// cachedProbability returns the probability that an endpoint still caches a block
// whose record has the given age.
func cachedProbability(age time.Duration) float64 {
	return float64(cacheHalfLife) / float64(cacheHalfLife+max(0, age))
}

// priors holds, by depth, the probability that a first home caches a block without
// a record.
var priors = func() (table [16]float64) {
	probability := homePrior
	for i := range table {
		table[i] = probability
		probability *= depthDecay
	}
	return table
}()

func prior(depth int) float64 { return priors[min(depth-1, len(priors)-1)] }

// candidate is an endpoint under consideration for one request.
type candidate struct {
	*endpoint
	// recordedBlocks is the mean number of cached leading blocks by the records
	// alone; expectedBlocks adds those that the endpoint probably caches as a home.
	recordedBlocks, expectedBlocks float64
	// trustedBlocks is the number of leading blocks with a record that is recent
	// enough to import them from this endpoint.
	trustedBlocks int
	// homeAtDepth is the depth at which the endpoint counts as a home; 0 means none.
	homeAtDepth int
	// homeProbability is the probability that it caches the prefix of that depth.
	homeProbability float64
	// absentFrom is the least depth that the endpoint reported as not cached; 0
	// means none.
	absentFrom int
	// startDelay is the expected time until the prompt's prefill starts, delay that
	// until the first token, or for a plain call until it starts.
	startDelay, delay time.Duration
	// score is the value that the choice minimizes.
	score         float64
	importSource  proto.KVSource
	useImport     bool
	usable        bool
	doubtful      bool
	overLoadBound bool
}

// estimateBlocks sets expectedBlocks. A home probably caches more blocks than are
// recorded; a block that it reported as absent limits that.
func (c *candidate) estimateBlocks() {
	c.expectedBlocks = c.recordedBlocks + max(0, c.homeProbability*(float64(c.homeAtDepth)-c.recordedBlocks))
	if c.absentFrom > 0 {
		c.expectedBlocks = min(c.expectedBlocks, float64(c.absentFrom-1))
	}
}
