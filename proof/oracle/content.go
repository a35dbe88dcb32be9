package oracle

import (
	"bytes"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

// expectedText returns the token that the stand-in engine generates for this
// chunk of the request.
func expectedText(req proto.CallerRequest, c proto.CallerChunk) string {
	return engine.Token(engine.Prompt(req.Body), c.Version, req.Adapter, req.Sampling, c.Seq)
}

// sameBlocks reports whether an engine run carries exactly the block hashes of
// its request, salted with the account and with the model version of the run.
func sameBlocks(m proto.EngineRun, req proto.CallerRequest, account proto.AccountID) bool {
	salt := route.Salt{Account: account, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
	return slices.Equal(m.Blocks, route.ChainHashes(salt, req.Pieces))
}

// checkSecrecy checks that a message to an agent or an endpoint contains no
// hash of a caller's key.
func (o *Oracle) checkSecrecy(e proto.Envelope) {
	if e.To.Role != proto.RoleAgent && e.To.Role != proto.RoleEngine {
		return
	}
	data, err := proto.Encode(e)
	if err != nil {
		o.assert(check.KeySecrecy, false, "message to %v does not encode: %v", e.To, err)
		return
	}
	body := bodyOf(e.Msg)
	for key := range o.keys {
		clean := !bytes.Contains(data, []byte(key)) && !bytes.Contains(body, []byte(key))
		o.assert(check.KeySecrecy, clean, "a %s to %v carries a caller's key", e.Msg.Kind(), e.To)
	}
}

// bodyOf returns the body that a message carries. The encoded message contains
// it only as base64.
func bodyOf(m proto.Message) []byte {
	switch m := m.(type) {
	case proto.Dispatch:
		return m.Body
	case proto.EngineRun:
		return m.Body
	case proto.EngineCall:
		return m.Body
	}
	return nil
}
