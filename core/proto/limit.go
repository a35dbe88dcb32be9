package proto

import "time"

// GrantRequest asks the holder of a bucket part for tokens, and returns
// tokens of earlier grants that were not used.
type GrantRequest struct {
	Stamp   Stamp     `json:"stamp"`
	Account AccountID `json:"account"`
	Part    int       `json:"part"`
	Call    uint64    `json:"call"`
	Want    int64     `json:"want"`
	// Returned lists unspent tokens of earlier grants by call number.
	Returned []ReturnedGrant `json:"returned,omitempty"`
}

// ReturnedGrant gives back the unspent tokens of one grant.
type ReturnedGrant struct {
	Call   uint64 `json:"call"`
	Tokens int64  `json:"tokens"`
}

// GrantReply answers a GrantRequest. The grant is valid for TTL from the
// moment the request was sent, on the requester's clock.
type GrantReply struct {
	Stamp   Stamp         `json:"stamp"`
	Account AccountID     `json:"account"`
	Part    int           `json:"part"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns"`
	// Fence is the offset of the holder's lease; 0 with Tokens 0 if the
	// receiver does not hold the part.
	Fence Offset `json:"fence"`
	// Remaining is the balance that the holder has left.
	Remaining int64 `json:"remaining"`
}

// TokenRequest asks a peer for spare tokens of its static share.
type TokenRequest struct {
	Stamp   Stamp     `json:"stamp"`
	Account AccountID `json:"account"`
	Call    uint64    `json:"call"`
	Want    int64     `json:"want"`
}

// TokenReply transfers tokens that the sender has already debited. A lost
// reply loses the tokens.
type TokenReply struct {
	Stamp   Stamp         `json:"stamp"`
	Account AccountID     `json:"account"`
	Call    uint64        `json:"call"`
	Tokens  int64         `json:"tokens"`
	TTL     time.Duration `json:"ttl_ns"`
}
