package workload

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// Levels of a prompt, from the widest shared prefix to the narrowest.
const (
	levelSystem uint64 = iota + 1
	levelCatalogue
	levelSession
)

// piece returns the identity of block i of a text at a level. It includes the
// account, so that accounts never share a block.
func piece(account proto.AccountID, level, text uint64, i int) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(account))
	var fields [24]byte
	binary.LittleEndian.PutUint64(fields[0:], level)
	binary.LittleEndian.PutUint64(fields[8:], text)
	binary.LittleEndian.PutUint64(fields[16:], uint64(i))
	d.Write(fields[:])
	return d.Sum64()
}

// Prompt returns a prompt text for HTTP callers. Requests that share leading
// pieces share the corresponding prefix of the text, which has bytesPerToken
// bytes per token.
func (a Arrival) Prompt() string {
	var b strings.Builder
	for _, p := range a.Request.Pieces {
		writeText(&b, p, route.PieceTokens*bytesPerToken)
	}
	tail := a.Request.PromptTokens - int64(len(a.Request.Pieces))*route.PieceTokens
	writeText(&b, xxhash.Sum64String(string(a.Request.ID)), int(tail)*bytesPerToken)
	return b.String()
}

// writeText writes size bytes that are derived from the piece.
func writeText(b *strings.Builder, piece uint64, size int) {
	const digits = "abcdefghijklmnop"
	for i := range size {
		shift := i % 16 * 4
		b.WriteByte(digits[piece>>shift&15])
	}
}
