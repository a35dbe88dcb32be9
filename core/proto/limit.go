package proto

import "time"

// The messages of this file are the greater part of the control traffic
// between routers, so fields with their usual value are left out. Stamps may
// stay zero, because routers tell each other their state by PeerBeat.

// GrantRequest asks the holder of a bucket part for tokens, and returns
// tokens of earlier grants that were not used.
type GrantRequest struct {
	Stamp   Stamp     `json:"stamp,omitzero"`
	Account AccountID `json:"account"`
	Part    int       `json:"part,omitempty"`
	Call    uint64    `json:"call"`
	// Need is the number of tokens that requests are waiting for, Want the
	// number to hold in reserve beyond that. If both are 0 the message only
	// returns tokens and gets no reply.
	Need int64 `json:"need,omitempty"`
	Want int64 `json:"want,omitempty"`
	// Returned lists unspent tokens of earlier grants by call number.
	Returned []ReturnedGrant `json:"returned,omitempty"`
	// Refund gives back tokens that were spent and then not used, once per
	// RefundSeq, to the holder under the lease RefundFence only.
	Refund      int64  `json:"refund,omitempty"`
	RefundSeq   uint64 `json:"refund_seq,omitempty"`
	RefundFence Offset `json:"refund_fence,omitempty"`
}

// ReturnedGrant closes one grant and gives back its unspent tokens; the rest
// was spent.
type ReturnedGrant struct {
	Call   uint64 `json:"call"`
	Tokens int64  `json:"tokens"`
}

// GrantReply answers a GrantRequest. The grant is valid for TTL from the
// moment the request was sent, on the requester's clock; 0 stands for 5 s.
type GrantReply struct {
	Stamp Stamp `json:"stamp,omitzero"`
	// Account may be empty: the call number names the account.
	Account AccountID     `json:"account,omitempty"`
	Part    int           `json:"part,omitempty"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	// Fence is the offset of the holder's lease; 0 with Tokens 0 if the
	// receiver does not hold the part.
	Fence Offset `json:"fence"`
	// Remaining is the balance that the holder has left.
	Remaining int64 `json:"remaining"`
}

// TokenRequest asks a peer for spare tokens of its static share.
type TokenRequest struct {
	Stamp   Stamp     `json:"stamp,omitzero"`
	Account AccountID `json:"account"`
	Call    uint64    `json:"call"`
	Want    int64     `json:"want"`
	// Returned lists unspent tokens of earlier transfers by call number.
	Returned []ReturnedGrant `json:"returned,omitempty"`
}

// TokenReply transfers tokens that the sender has already debited. A lost
// reply loses the tokens. They are valid as those of a GrantReply.
type TokenReply struct {
	Stamp Stamp `json:"stamp,omitzero"`
	// Account may be empty: the call number names the account.
	Account AccountID     `json:"account,omitempty"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	// Remaining is the balance that the sender has left.
	Remaining int64 `json:"remaining"`
}
