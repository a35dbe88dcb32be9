package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Prompt returns the part of a request body that determines the output: its
// "prompt" and "messages" fields, or the whole body if it is not JSON.
func Prompt(body []byte) []byte {
	var fields struct {
		Prompt   json.RawMessage `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	return bytes.Join([][]byte{fields.Prompt, fields.Messages}, []byte{0})
}

// Token returns the text at one output position. It is a pure function of its
// arguments, so that any engine can resume a stream.
func Token(prompt []byte, version, adapter string, s proto.Sampling, seq proto.Seq) string {
	var seed int64
	if s.Seed != nil && s.Temperature != 0 {
		seed = *s.Seed
	}
	d := xxhash.New()
	for _, part := range [][]byte{prompt, []byte(version), []byte(adapter)} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(seed)))
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(seq)))
	return word(d.Sum64())
}

// word formats the low 16 bits of n as the text of a token.
func word(n uint64) string { return fmt.Sprintf(" w%04x", uint16(n)) }

func itoa(n int) string { return strconv.Itoa(n) }

func containsText(body []byte, text string) bool { return bytes.Contains(body, []byte(text)) }
