package audit

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// FaultKind is the kind of a Fault.
type FaultKind string

// Fault kinds.
const (
	FaultAltered   FaultKind = "altered"
	FaultMissing   FaultKind = "missing"
	FaultReordered FaultKind = "reordered"
	FaultForked    FaultKind = "forked"
)

// Fault is one verification failure of a chain.
type Fault struct {
	Chain  proto.Incarnation `json:"chain"`
	Index  int64             `json:"index"`
	Kind   FaultKind         `json:"kind"`
	Detail string            `json:"detail"`
}

// Report is the result of a verification.
type Report struct {
	Chains  int `json:"chains"`
	Entries int `json:"entries"`
	// Closed counts the chains that end with a graceful shutdown. For other
	// chains, missing entries at the end cannot be detected.
	Closed int `json:"closed"`
	// Dropped counts the requests that routers reported as not recorded.
	Dropped int64 `json:"dropped"`
	// Expired counts the chains whose first entries the log no longer retains.
	Expired int     `json:"expired"`
	Faults  []Fault `json:"faults"`
}

// OK reports whether no fault was found.
func (r Report) OK() bool { return len(r.Faults) == 0 }

// Verify checks batches in log order. truncated must be set if the log no longer
// retains its beginning, so that chains may lack their first entries.
func Verify(batches []Batch, truncated bool) Report {
	v := NewVerifier(truncated)
	for _, b := range batches {
		v.Add(b)
	}
	return v.Report()
}

// NewVerifier returns a verifier for batches that are added one by one. The
// meaning of truncated is the same as for Verify.
func NewVerifier(truncated bool) *Verifier {
	return &Verifier{chains: map[proto.Incarnation]*chainState{}, truncated: truncated}
}

// Report returns the result for the batches added so far.
func (v *Verifier) Report() Report {
	slices.SortStableFunc(v.report.Faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Index, b.Index))
	})
	v.report.Chains = len(v.chains)
	return v.report
}

// chainState holds the last entry of a chain and the hashes of all its entries
// by index.
type chainState struct {
	index  int64
	hash   string
	closed bool
	hashes map[int64]string
}

// Verifier checks batches that are added in log order.
type Verifier struct {
	chains    map[proto.Incarnation]*chainState
	truncated bool
	report    Report
}

// Add checks the next batch.
func (v *Verifier) Add(b Batch) {
	for _, e := range b.Entries {
		v.checkEntry(b.Chain, e)
	}
	if b.Closed {
		v.checkEnd(b)
	}
}

// checkEnd checks that a closed chain has all its entries.
func (v *Verifier) checkEnd(b Batch) {
	c := v.chains[b.Chain]
	if c == nil && v.truncated {
		// The log no longer retains any entry of the chain.
		v.report.Closed++
		return
	}
	if c == nil {
		c = &chainState{hashes: map[int64]string{}}
		v.chains[b.Chain] = c
	}
	if !c.closed {
		c.closed = true
		v.report.Closed++
	}
	if c.index < b.Last {
		v.addFault(b.Chain, b.Last, FaultMissing, fmt.Sprintf("entries %d to %d are missing at the end", c.index+1, b.Last))
	}
}

func (v *Verifier) checkEntry(chain proto.Incarnation, e Entry) {
	if sum, err := e.sum(chain); err != nil || sum != e.Hash {
		v.addFault(chain, e.Index, FaultAltered, "the hash does not match the content")
	}
	c := v.chains[chain]
	if c == nil {
		c = v.startChain(chain, e)
	}
	if known, ok := c.hashes[e.Index]; ok {
		if known != e.Hash {
			v.addFault(chain, e.Index, FaultForked, "two different entries have this index")
		}
		return
	}
	v.checkSuccessor(c, chain, e)
	v.report.Entries++
	v.report.Dropped += e.Dropped
}

func (v *Verifier) startChain(chain proto.Incarnation, e Entry) *chainState {
	c := &chainState{hashes: map[int64]string{}}
	v.chains[chain] = c
	if e.Index == 1 {
		return c
	}
	if v.truncated {
		v.report.Expired++
		c.index, c.hash = e.Index-1, e.Prev
	}
	return c
}

func (v *Verifier) checkSuccessor(c *chainState, chain proto.Incarnation, e Entry) {
	switch {
	case e.Index <= c.index:
		v.addFault(chain, e.Index, FaultReordered, fmt.Sprintf("it comes after entry %d", c.index))
	case e.Index > c.index+1:
		v.addFault(chain, e.Index, FaultMissing, fmt.Sprintf("entries %d to %d are missing", c.index+1, e.Index-1))
	case e.Prev != c.hash:
		v.addFault(chain, e.Index, FaultAltered, "it does not continue the entry before")
	}
	c.hashes[e.Index] = e.Hash
	if e.Index > c.index {
		c.index, c.hash = e.Index, e.Hash
	}
}

func (v *Verifier) addFault(chain proto.Incarnation, index int64, kind FaultKind, detail string) {
	v.report.Faults = append(v.report.Faults, Fault{Chain: chain, Index: index, Kind: kind, Detail: detail})
}
