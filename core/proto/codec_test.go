package proto_test

import (
	"reflect"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a message that changes when it is encoded and decoded.
func TestCodecRoundTrip(t *testing.T) {
	want := proto.Envelope{
		From: proto.RouterAddr("r1"),
		To:   proto.AgentAddr("e1"),
		Msg:  proto.Cancel{Stamp: proto.Stamp{Revision: 3, ConfigOffset: 9}, Attempt: "a#1"},
	}
	data, err := proto.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := proto.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a decoder that accepts unknown or malformed messages.
func TestDecodeRejectsBadInput(t *testing.T) {
	for _, in := range []string{"", "{}", `{"kind":"Nope","from":"a","to":"b","body":{}}`, `{"kind":"Cancel","from":"router/r","to":"b","body":[]}`} {
		if _, err := proto.Decode([]byte(in)); err == nil {
			t.Errorf("Decode(%q) succeeded", in)
		}
	}
}
