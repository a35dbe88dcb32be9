package proto

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("proto")

// Message is implemented by all message types of this package, which are structs
// passed by value.
type Message interface{ Kind() Kind }

// Kind is the name of a message type on the wire: its Go type name.
type Kind string

type wireEnvelope struct {
	Kind Kind            `json:"kind"`
	From Addr            `json:"from"`
	To   Addr            `json:"to"`
	Body json.RawMessage `json:"body"`
}

// wireHead is a wireEnvelope without its body.
type wireHead struct {
	Kind Kind `json:"kind"`
	From Addr `json:"from"`
	To   Addr `json:"to"`
}

// Encode returns the JSON form of an envelope as a single line.
func Encode(e Envelope) ([]byte, error) {
	if e.Msg == nil {
		return nil, Error.New("envelope from %v to %v has no message", e.From, e.To)
	}
	body, err := json.Marshal(e.Msg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := json.Marshal(wireHead{Kind: e.Msg.Kind(), From: e.From, To: e.To})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The body is appended by hand because json.Marshal would parse a
	// json.RawMessage again.
	out = slices.Grow(out, len(`,"body":`)+len(body))
	out = append(out[:len(out)-1], `,"body":`...)
	out = append(out, body...)
	return append(out, '}'), nil
}

// Decode is the inverse of Encode. It returns an error for malformed JSON and
// for unknown message kinds.
func Decode(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := json.Unmarshal(data, &w); err != nil {
		return Envelope{}, Error.Wrap(err)
	}
	typ, ok := messageTypes[w.Kind]
	if !ok {
		return Envelope{}, Error.New("unknown message kind %q", w.Kind)
	}
	ptr := reflect.New(typ)
	if err := json.Unmarshal(w.Body, ptr.Interface()); err != nil {
		return Envelope{}, Error.New("message %s: %v", w.Kind, err)
	}
	msg, ok := ptr.Elem().Interface().(Message)
	if !ok {
		return Envelope{}, Error.New("type %s is not a message", typ)
	}
	return Envelope{From: w.From, To: w.To, Msg: msg}, nil
}

func typesByKind(messages ...Message) map[Kind]reflect.Type {
	index := make(map[Kind]reflect.Type, len(messages))
	for _, m := range messages {
		index[m.Kind()] = reflect.TypeOf(m)
	}
	return index
}
