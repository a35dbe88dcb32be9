package audit

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// FaultKind says what is wrong with a chain.
type FaultKind string

// Kinds of faults.
const (
	FaultAltered   FaultKind = "altered"
	FaultMissing   FaultKind = "missing"
	FaultReordered FaultKind = "reordered"
	FaultForked    FaultKind = "forked"
)

// Fault is one thing wrong with a chain.
type Fault struct {
	Chain  proto.Incarnation `json:"chain"`
	Index  int64             `json:"index"`
	Kind   FaultKind         `json:"kind"`
	Detail string            `json:"detail"`
}

// Report is the outcome of a verification.
type Report struct {
	Chains  int `json:"chains"`
	Entries int `json:"entries"`
	// Closed counts the chains that end with a graceful shutdown; the end of
	// others cannot be checked.
	Closed int `json:"closed"`
	// Dropped counts requests that routers report as not recorded.
	Dropped int64 `json:"dropped"`
	// Expired counts chains whose beginning is older than the log's retention.
	Expired int     `json:"expired"`
	Faults  []Fault `json:"faults"`
}

// OK reports whether no fault was found.
func (r Report) OK() bool { return len(r.Faults) == 0 }

// Verify checks batches in log order. truncated is set when the log no longer
// holds its beginning, so that chains may start in the middle.
func Verify(batches []Batch, truncated bool) Report {
	v := NewVerifier(truncated)
	for _, b := range batches {
		v.Add(b)
	}
	return v.Report()
}

// NewVerifier returns a verifier for batches that come one by one, with
// truncated as for Verify.
func NewVerifier(truncated bool) *Verifier {
	return &Verifier{chains: map[proto.Incarnation]*chainState{}, truncated: truncated}
}

// Report returns the outcome so far.
func (v *Verifier) Report() Report {
	slices.SortStableFunc(v.report.Faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Index, b.Index))
	})
	v.report.Chains = len(v.chains)
	return v.report
}

type chainState struct {
	index  int64
	hash   string
	closed bool
	hashes map[int64]string
}

// Verifier checks batches in log order.
type Verifier struct {
	chains    map[proto.Incarnation]*chainState
	truncated bool
	report    Report
}

// Add checks the next batch.
func (v *Verifier) Add(b Batch) {
	for _, e := range b.Entries {
		v.entry(b.Chain, e)
	}
	if b.Closed {
		v.end(b)
	}
}

// end checks that all entries of a closed chain are there.
func (v *Verifier) end(b Batch) {
	c := v.chains[b.Chain]
	if c == nil && v.truncated {
		// Retention has passed all entries of the chain.
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
		v.fault(b.Chain, b.Last, FaultMissing, fmt.Sprintf("entries %d to %d are missing at the end", c.index+1, b.Last))
	}
}

func (v *Verifier) entry(chain proto.Incarnation, e Entry) {
	if sum, err := e.sum(chain); err != nil || sum != e.Hash {
		v.fault(chain, e.Index, FaultAltered, "the hash does not match the content")
	}
	c := v.chains[chain]
	if c == nil {
		c = v.begin(chain, e)
	}
	if known, ok := c.hashes[e.Index]; ok {
		if known != e.Hash {
			v.fault(chain, e.Index, FaultForked, "two different entries have this index")
		}
		return
	}
	v.follow(c, chain, e)
	v.report.Entries++
	v.report.Dropped += e.Dropped
}

func (v *Verifier) begin(chain proto.Incarnation, e Entry) *chainState {
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

func (v *Verifier) follow(c *chainState, chain proto.Incarnation, e Entry) {
	switch {
	case e.Index <= c.index:
		v.fault(chain, e.Index, FaultReordered, fmt.Sprintf("it comes after entry %d", c.index))
	case e.Index > c.index+1:
		v.fault(chain, e.Index, FaultMissing, fmt.Sprintf("entries %d to %d are missing", c.index+1, e.Index-1))
	case e.Prev != c.hash:
		v.fault(chain, e.Index, FaultAltered, "it does not continue the entry before")
	}
	c.hashes[e.Index] = e.Hash
	if e.Index > c.index {
		c.index, c.hash = e.Index, e.Hash
	}
}

func (v *Verifier) fault(chain proto.Incarnation, index int64, kind FaultKind, detail string) {
	v.report.Faults = append(v.report.Faults, Fault{Chain: chain, Index: index, Kind: kind, Detail: detail})
}
