package logsvc_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

func appendOne(s *logsvc.Service, now proto.Instant, call uint64) []proto.Envelope {
	s.Step(now, proto.Envelope{From: proto.RouterAddr("r1"), To: proto.Log, Msg: proto.LogAppend{
		Call: call, Stream: "config", Records: []proto.Record{{ID: "x", Kind: "k"}},
	}})
	return s.Take()
}

// Guards against losing an append together with its response: with NoResponse, the
// append must still take effect.
func TestEffectWithoutResponse(t *testing.T) {
	s := logsvc.New(logsvc.Config{Faults: faultqueue.Faults{NoResponse: 1}})
	if out := appendOne(s, 1, 1); len(out) != 0 {
		t.Errorf("got response %v, want none", out)
	}
	if n := len(s.Records("config")); n != 1 {
		t.Errorf("%d records, want 1", n)
	}
}

// Guards against offsets that change when old records expire.
func TestRetentionKeepsOffsets(t *testing.T) {
	s := logsvc.New(logsvc.Config{Retention: time.Second})
	appendOne(s, 0, 1)
	out := appendOne(s, proto.Instant(2*time.Second), 2)
	if got := out[0].Msg.(proto.LogAppended).First; got != 1 {
		t.Errorf("first offset %d, want 1", got)
	}
	s.Step(proto.Instant(2*time.Second), proto.Envelope{From: proto.RouterAddr("r1"), Msg: proto.LogRead{Call: 3, Stream: "config"}})
	read := s.Take()[0].Msg.(proto.LogRecords)
	if read.First != 1 || read.Head != 2 || len(read.Records) != 1 {
		t.Errorf("got %+v", read)
	}
}

// Guards against an append rate limit that is not enforced.
func TestAppendRateLimit(t *testing.T) {
	s := logsvc.New(logsvc.Config{AppendsPerSecond: 1})
	appendOne(s, 1, 1)
	failed, ok := appendOne(s, 2, 2)[0].Msg.(proto.LogFailed)
	if !ok || !failed.Rejected {
		t.Errorf("second append got %+v, want a rejection", failed)
	}
}
