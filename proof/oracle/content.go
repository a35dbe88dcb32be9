package oracle

import (
	"bytes"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
	"github.com/kumquatsill/kumquatsill/standin/engine"
)

// expectedText is what the stand-in engine says at this place of this request.
func expectedText(req proto.CallerRequest, c proto.CallerChunk) string {
	return engine.Token(engine.Prompt(req.Body), c.Version, req.Adapter, req.Sampling, c.Seq)
}

// sameBlocks reports whether a run carries exactly the blocks of its request,
// salted for its account and the version that it runs with.
func sameBlocks(m proto.EngineRun, req proto.CallerRequest, account proto.AccountID) bool {
	salt := route.Salt{Account: account, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
	return slices.Equal(m.Blocks, route.ChainHashes(salt, req.Pieces))
}

// checkSecrecy looks for a caller's key, or its hash, in what goes to agents
// and endpoints.
func (o *Oracle) checkSecrecy(e proto.Envelope) {
	if e.To.Role != proto.RoleAgent && e.To.Role != proto.RoleEngine {
		return
	}
	data, err := proto.Encode(e)
	if err != nil {
		o.fail(check.KeySecrecy, false, "message to %v does not encode: %v", e.To, err)
		return
	}
	body := bodyOf(e.Msg)
	for key := range o.keys {
		clean := !bytes.Contains(data, []byte(key)) && !bytes.Contains(body, []byte(key))
		o.fail(check.KeySecrecy, clean, "a %s to %v carries a caller's key", e.Msg.Kind(), e.To)
	}
}

// bodyOf returns the body of a message, which its encoding hides as base64.
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
