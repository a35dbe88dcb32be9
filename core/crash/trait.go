package crash

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Trait is something that several requests can have in common and that may make
// the endpoints crash which run them.
type Trait string

// ContentTrait returns the trait of requests with the same content, by their
// fingerprint.
func ContentTrait(f proto.Fingerprint) Trait {
	return Trait("c" + strconv.FormatUint(xxhash.Sum64String(string(f)), 36))
}

// PartTrait returns the trait of requests for a model whose prompts have a part in
// common.
func PartTrait(model, part string) Trait {
	return Trait("p" + strconv.FormatUint(xxhash.Sum64String(model+"\x00"+part), 36))
}
