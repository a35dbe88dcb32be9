package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fingerprint returns a hash of an account and the content of its request, by which
// a repeated request is recognized.
func fingerprint(account proto.AccountID, req *proto.CallerRequest) proto.Fingerprint {
	h := sha256.New()
	writeField(h, string(account))
	writeField(h, req.Method)
	writeField(h, req.Path)
	writeField(h, req.Query)
	writeField(h, req.Model)
	writeField(h, req.Adapter)
	writeField(h, string(req.Body))
	for _, piece := range req.Pieces {
		_ = binary.Write(h, binary.LittleEndian, piece)
	}
	return proto.Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// intentKey hashes an idempotency key together with its account, so that accounts
// can neither see nor collide with each other's keys.
func intentKey(account proto.AccountID, key string) string {
	h := sha256.New()
	writeField(h, string(account))
	writeField(h, key)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// keyAge returns the age of an idempotency key at arrival if the key is a UUIDv7,
// which starts with its creation time in milliseconds. Otherwise it returns 0.
func keyAge(key string, arrived time.Time) time.Duration {
	digits := strings.ReplaceAll(key, "-", "")
	if len(key) != 36 || len(digits) != 32 || digits[12] != '7' || arrived.IsZero() {
		return 0
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || raw[8]>>6 != 2 {
		return 0
	}
	created := time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:8]) >> 16))
	return max(0, arrived.Sub(created))
}

// writeField writes the length of a field before its content, so that different
// lists of fields never yield the same bytes. Writes to a hash never fail.
func writeField(w io.Writer, field string) {
	_ = binary.Write(w, binary.LittleEndian, uint64(len(field)))
	_, _ = io.WriteString(w, field)
}
