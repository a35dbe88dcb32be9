// Package audit implements the audit trail, which records the requests of each
// client account with the routing decisions and the configuration revision that
// applied. Each router links its entries in a hash chain, so that verification
// detects missing, reordered or altered entries. Entries never contain request
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

// Entry is one entry of a router's hash chain: a request that ended, or a gap.
type Entry struct {
	// Index is the position in the chain, starting at 1.
	Index int64 `json:"index"`
	// Prev is the hash of the previous entry, or empty for the first entry.
	Prev string `json:"prev,omitempty"`
	// Request is nil for a gap.
	Request *proto.RequestEnded `json:"request,omitempty"`
	// Dropped is the number of unrecorded requests that a gap stands for.
	Dropped int64  `json:"dropped,omitempty"`
	Hash    string `json:"hash"`
}

// Batch contains consecutive entries of one chain.
type Batch struct {
	// Chain is the incarnation of the router that wrote the entries.
	Chain   proto.Incarnation `json:"chain"`
	Router  proto.RouterID    `json:"router"`
	Entries []Entry           `json:"entries"`
	// Closed is set on the last batch of a chain whose router shut down
	// gracefully.
	Closed bool `json:"closed,omitempty"`
	// Last is the index of the chain's last entry. It is set only if Closed is.
	Last int64 `json:"last,omitempty"`
}

// sum returns the hash of an entry. It covers the chain and all fields except
// Hash.
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
