// Package audit keeps the record of who was served, in what order and under
// which rules. Each router chains its records by hash, so that a missing,
// reordered or altered record shows on verification. Records never hold
// content or keys.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("audit")

// KindBatch is the record kind of a Batch in the audit stream.
const KindBatch proto.RecordKind = "audit_batch"

// Entry is one link of a router's chain: a request that ended, or a gap.
type Entry struct {
	// Index counts the entries of a chain from 1.
	Index int64 `json:"index"`
	// Prev is the hash of the entry before, empty for the first.
	Prev string `json:"prev,omitempty"`
	// Request is nil for a gap.
	Request *proto.RequestEnded `json:"request,omitempty"`
	// Dropped is the number of requests that a gap stands for.
	Dropped int64  `json:"dropped,omitempty"`
	Hash    string `json:"hash"`
}

// Batch is a run of consecutive entries of one chain.
type Batch struct {
	// Chain names the router's life that wrote the entries.
	Chain   proto.Incarnation `json:"chain"`
	Router  proto.RouterID    `json:"router"`
	Entries []Entry           `json:"entries"`
	// Closed is set on the last batch of a router that shut down gracefully.
	Closed bool `json:"closed,omitempty"`
	// Last is the index of the chain's last entry, if Closed is set.
	Last int64 `json:"last,omitempty"`
}

// sum returns the hash of an entry, which covers everything but the hash itself.
func (e Entry) sum(chain proto.Incarnation) (string, error) {
	e.Hash = ""
	data, err := json.Marshal(struct {
		Chain proto.Incarnation `json:"chain"`
		Entry Entry             `json:"entry"`
	}{chain, e})
	if err != nil {
		return "", Error.Wrap(err)
	}
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:]), nil
}
