package proto

import (
	"encoding/json"
	"time"
)

// Names of the log streams.
const (
	StreamConfig = "config"
	StreamAudit  = "audit"
	// StreamIntentPrefix is followed by the number of the intent shard.
	StreamIntentPrefix = "intent-"
)

// RecordKind identifies the type of a record's body.
type RecordKind string

// Record is one entry of a log stream. The log service sets Offset.
type Record struct {
	ID     RecordID        `json:"id"`
	Kind   RecordKind      `json:"kind"`
	Offset Offset          `json:"offset"`
	Body   json.RawMessage `json:"body"`
}

// LogAppend asks the log service to append records to one stream, atomically and
// in order.
type LogAppend struct {
	Call    uint64   `json:"call"`
	Stream  string   `json:"stream"`
	Records []Record `json:"records"`
}

// LogAppended answers a LogAppend with the offset of the first record.
type LogAppended struct {
	Call   uint64 `json:"call"`
	Stream string `json:"stream"`
	First  Offset `json:"first"`
}

// LogRead asks for the records of a stream, starting at offset From.
type LogRead struct {
	Call   uint64 `json:"call"`
	Stream string `json:"stream"`
	From   Offset `json:"from"`
	// Max is the maximum number of records in the reply.
	Max int `json:"max"`
	// Wait is how long the service may delay the reply while there are no new
	// records.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

// LogRecords answers a LogRead.
type LogRecords struct {
	Call   uint64 `json:"call"`
	Stream string `json:"stream"`
	// First is the oldest retained offset. Head is the offset of the next
	// append.
	First   Offset   `json:"first"`
	Head    Offset   `json:"head"`
	Records []Record `json:"records"`
}

// LogFailed reports that a LogAppend or LogRead failed. An append may have taken
// effect unless Rejected is set.
type LogFailed struct {
	Call     uint64 `json:"call"`
	Stream   string `json:"stream"`
	Rejected bool   `json:"rejected,omitempty"`
	// Permanent is set if retrying cannot succeed, for example because a record
	// is too large.
	Permanent bool   `json:"permanent,omitempty"`
	Detail    string `json:"detail,omitempty"`
}
