package proto

import (
	"encoding/json"
	"time"
)

// Stream names of the log.
const (
	StreamConfig = "config"
	StreamAudit  = "audit"
	// StreamIntentPrefix is followed by the shard number.
	StreamIntentPrefix = "intent-"
)

// RecordKind is the type name of a record's body.
type RecordKind string

// Record is one entry of a log stream. Offset is set by the log service.
type Record struct {
	ID     RecordID        `json:"id"`
	Kind   RecordKind      `json:"kind"`
	Offset Offset          `json:"offset"`
	Body   json.RawMessage `json:"body"`
}

// LogAppend asks the log service to append records to one stream, in order
// and all or none.
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

// LogRead asks for the records of a stream from an offset on.
type LogRead struct {
	Call   uint64 `json:"call"`
	Stream string `json:"stream"`
	From   Offset `json:"from"`
	// Max is the greatest number of records wanted.
	Max int `json:"max"`
	// Wait is how long the service may hold the answer while there is nothing new.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

// LogRecords answers a LogRead.
type LogRecords struct {
	Call   uint64 `json:"call"`
	Stream string `json:"stream"`
	// First is the oldest retained offset, Head the offset of the next append.
	First   Offset   `json:"first"`
	Head    Offset   `json:"head"`
	Records []Record `json:"records"`
}

// LogFailed answers a LogAppend or LogRead that got no answer. An append may
// have taken effect unless Rejected is set.
type LogFailed struct {
	Call     uint64 `json:"call"`
	Stream   string `json:"stream"`
	Rejected bool   `json:"rejected,omitempty"`
	// Permanent is set on a rejection that a repetition cannot cure, such as
	// a record that is too large.
	Permanent bool   `json:"permanent,omitempty"`
	Detail    string `json:"detail,omitempty"`
}
