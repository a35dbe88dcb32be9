package proto

import "testing"

// Measures the encoder, because each token of a stream is encoded and decoded at
// every hop.
func BenchmarkEncode(b *testing.B) {
	e := Envelope{From: AgentAddr("e1"), To: RouterAddr("r1"), Msg: Chunk{Attempt: "q#1", Seq: 7, Text: "some text"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(e); err != nil {
			b.Fatal(err)
		}
	}
}
