package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// PieceTokens is the length in tokens of a prompt piece, the unit of hashing.
const PieceTokens = 2048

// Salt makes the block hashes of different client accounts and weights differ, so that
// they never match.
type Salt struct {
	Account proto.AccountID
	Model   string
	Version string
	Adapter string
}

// seed hashes the fields with their lengths, so that no two different salts hash the
// same bytes.
func (s Salt) seed() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{string(s.Account), s.Model, s.Version, s.Adapter} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		d.Write(length[:])
		d.WriteString(field)
	}
	return d.Sum64()
}

// ChainHashes returns the salted chain hash of each prefix of pieces: element i covers
// pieces 0 to i. The pieces are those of a proto.CallerRequest.
func ChainHashes(salt Salt, pieces []uint64) []proto.BlockHash {
	if len(pieces) == 0 {
		return nil
	}
	blocks := make([]proto.BlockHash, len(pieces))
	hash := salt.seed()
	var link [16]byte
	for i, piece := range pieces {
		binary.LittleEndian.PutUint64(link[:8], hash)
		binary.LittleEndian.PutUint64(link[8:], piece)
		hash = xxhash.Sum64(link[:])
		blocks[i] = proto.BlockHash(hash)
	}
	return blocks
}

// mix is the finalizer of SplitMix64. Every input bit affects the whole output, and it
// is much cheaper than a byte hash in the inner loop that ranks the homes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
