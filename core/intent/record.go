package intent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Kinds of the records of the intent streams.
const (
	KindIntent  proto.RecordKind = "intent"
	KindOutcome proto.RecordKind = "outcome"
)

// MaxBody is the maximum size in bytes of a response body that an outcome keeps.
const MaxBody = 4 << 10

// Record is the body of a KindIntent record.
type Record struct {
	Key         string            `json:"k"`
	Fingerprint proto.Fingerprint `json:"f"`
	Router      proto.RouterID    `json:"r"`
	// Seq is the sequence number of a router's records on a stream, from 1.
	Seq uint64 `json:"n"`
}

// Outcome is the body of a KindOutcome record.
type Outcome struct {
	Key string `json:"k"`
	// Intent is the offset of the intent that ended.
	Intent  proto.Offset   `json:"o"`
	Router  proto.RouterID `json:"r"`
	Seq     uint64         `json:"n"`
	Verdict proto.Verdict  `json:"v"`
	// Response is absent if the body exceeds MaxBody or the call did not run.
	Response *Response `json:"a,omitempty"`
}

// Response is the recorded response of a call that ran.
type Response struct {
	Status      int         `json:"s,omitempty"`
	ContentType string      `json:"t,omitempty"`
	Body        []byte      `json:"b,omitempty"`
	Usage       proto.Usage `json:"u"`
}

// StreamOf returns the stream that holds the intents of a key.
func StreamOf(key string, shards int) string {
	n := xxhash.Sum64String(key) % uint64(max(shards, 1))
	return proto.StreamIntentPrefix + strconv.FormatUint(n, 10)
}

// recordedResponse returns the response to record, or nil if there is none or its
// body exceeds MaxBody.
func recordedResponse(f *proto.CallerFinish) *Response {
	if f == nil || len(f.Body) > MaxBody {
		return nil
	}
	return &Response{Status: f.Status, ContentType: f.ContentType, Body: f.Body, Usage: f.Usage}
}
