package proto

import "time"

// The messages in this file make up most of the control traffic between routers,
// so fields with their usual value are omitted. Stamps may be zero, because
// routers exchange their configuration version in PeerBeat.
//
// The token bucket of an account is split into parts and a static share. The
// router that holds the lease of a part grants tokens from it to the others. The
// static share is divided into slots, each owned by one router.

// GrantRequest asks the holder of a bucket part for tokens and returns the
// unused tokens of earlier grants.
type GrantRequest struct {
	Stamp   Stamp     `json:"stamp,omitzero"`
	Account AccountID `json:"account"`
	Part    int       `json:"part,omitempty"`
	Call    uint64    `json:"call"`
	// Need is the number of tokens that requests are waiting for. Want is the
	// number of additional tokens to hold in reserve. If both are 0, the
	// message only returns tokens and gets no reply.
	Need int64 `json:"need,omitempty"`
	Want int64 `json:"want,omitempty"`
	// Returned lists unspent tokens of earlier grants by call number.
	Returned []ReturnedGrant `json:"returned,omitempty"`
	// Refund is the number of tokens that were spent but turned out not to be
	// used. It is credited once per RefundSeq, and only by the holder whose
	// lease has the fencing token RefundFence.
	Refund      int64  `json:"refund,omitempty"`
	RefundSeq   uint64 `json:"refund_seq,omitempty"`
	RefundFence Offset `json:"refund_fence,omitempty"`
}

// ReturnedGrant closes one grant and returns its unspent tokens; the rest was
// spent.
type ReturnedGrant struct {
	Call   uint64 `json:"call"`
	Tokens int64  `json:"tokens"`
}

// GrantReply answers a GrantRequest. The grant is valid for TTL from the time
// the request was sent, measured on the requester's clock. A TTL of 0 means 5 s.
type GrantReply struct {
	Stamp Stamp `json:"stamp,omitzero"`
	// Account may be empty, because Call determines the account.
	Account AccountID     `json:"account,omitempty"`
	Part    int           `json:"part,omitempty"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	// Fence is the fencing token of the holder's lease. Fence and Tokens are 0
	// if the receiver of the request does not hold the part.
	Fence Offset `json:"fence"`
	// Remaining is the balance left at the holder.
	Remaining int64 `json:"remaining"`
}

// TokenRequest asks a peer for unused tokens of its slot of the static share.
type TokenRequest struct {
	Stamp   Stamp     `json:"stamp,omitzero"`
	Account AccountID `json:"account"`
	Call    uint64    `json:"call"`
	Want    int64     `json:"want"`
	// Returned lists unspent tokens of earlier transfers by call number.
	Returned []ReturnedGrant `json:"returned,omitempty"`
}

// TokenReply transfers tokens that the sender has already debited; if the reply
// is lost, so are the tokens. TTL has the same meaning as in GrantReply.
type TokenReply struct {
	Stamp Stamp `json:"stamp,omitzero"`
	// Account may be empty, because Call determines the account.
	Account AccountID     `json:"account,omitempty"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	// Remaining is the balance left at the sender.
	Remaining int64 `json:"remaining"`
}
