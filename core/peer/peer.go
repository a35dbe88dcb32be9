// Package peer defines the message that routers send each other at short intervals.
// Messages may be lost, duplicated and reordered, so each one can be handled without
// the others.
package peer

import (
	"encoding/json"

	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/leader"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// MaxBytes is the maximum size of an encoded message, so that it fits in one UDP
// datagram.
const MaxBytes = 60_000

// Load announces an engine that was ordered to load a version.
type Load struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// RemainingMillis is how much longer the engine is expected to accept no work, in
	// milliseconds.
	RemainingMillis int64 `json:"for_ms"`
}

// VersionLoaded announces an engine that has reported a new version of a model.
type VersionLoaded struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	Model    string           `json:"model"`
	Version  int64            `json:"version"`
}

// CacheEvents passes on events that the sender has read from an engine.
type CacheEvents struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	// Started identifies the incarnation of the engine.
	Started int64 `json:"started"`
	// Restarted is set if the engine lost its whole cache before these events.
	Restarted bool              `json:"restarted,omitempty"`
	Events    []place.PartEvent `json:"events"`
}

// StorePage passes on events that the sender has read from a cache store.
type StorePage struct {
	Addr string          `json:"addr"`
	Page place.StorePage `json:"page"`
}

// Member is a router that another one knows.
type Member struct {
	Router proto.RouterID `json:"router"`
	Addr   string         `json:"addr"`
	Domain proto.Domain   `json:"domain"`
}

// Message is the state that one router sends to its peers.
type Message struct {
	Counts quota.Counts `json:"counts"`
	// SentAt is when the message was written, by the sender's clock; see Clock.
	SentAt proto.Instant `json:"sent_at,omitempty"`
	// Addr is the address at which the sender receives messages, Domain its failure
	// domain. Both are set only in messages with full counts.
	Addr   string       `json:"addr,omitempty"`
	Domain proto.Domain `json:"domain,omitempty"`
	// Routers lists the routers that the sender knows, for one that has just started.
	Routers []Member `json:"routers,omitempty"`
	// Leaving is set in the last messages of a router that shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Facts is what the sender has observed of requests that crash endpoints. It is set in
	// messages of its own.
	Facts *crash.Page `json:"facts,omitempty"`
	// Confirmed tells how far the sender has read the facts of others.
	Confirmed []Confirmation `json:"confirmed,omitempty"`
	// Limits lists the limits that endpoints have named to the sender.
	Limits []endpointstate.LimitNotice `json:"limits,omitempty"`
	// LeavingEndpoints lists the endpoints that have said to the sender that they leave.
	LeavingEndpoints []endpointstate.LeavingNotice `json:"endpoints_leaving,omitempty"`

	Loads         []Load          `json:"loads,omitempty"`
	VersionLoaded []VersionLoaded `json:"reached,omitempty"`
	// Attempts lists the attempts that were started since the last message.
	Attempts []place.AttemptNotice `json:"attempts,omitempty"`
	// Domains lists the loads of the sender's failure domain by service.
	Domains []locality.Summary `json:"domains,omitempty"`
	// AnnouncedVersions lists the versions that the operator has announced.
	AnnouncedVersions []proto.VersionAge `json:"named,omitempty"`
	// LeaseDisclaimer is set while the sender disclaims its claims of the lease.
	LeaseDisclaimer *leader.Disclaimer `json:"lease,omitempty"`
	// Seen lists endpoints that have recently responded to the sender.
	Seen []place.Seen `json:"seen,omitempty"`
	// CacheEvents and StorePage are set in messages of their own.
	CacheEvents *CacheEvents `json:"cache,omitempty"`
	StorePage   *StorePage   `json:"store,omitempty"`
	// Releases lists the rollouts that the sender takes part in.
	Releases []canary.Report `json:"releases,omitempty"`
	// Incidents lists endpoints that were replaced, unreachable or full at an attempt.
	Incidents []place.IncidentNotice `json:"incidents,omitempty"`
	// Outcomes lists the outcomes of the sender's requests by service and rank.
	Outcomes []admission.Report `json:"outcomes,omitempty"`
	// Silent lists endpoints that have stopped responding to the sender.
	Silent []proto.EndpointID `json:"silent,omitempty"`
}

// SetNotices sets what the sender tells of the states of endpoints.
func (m *Message) SetNotices(n endpointstate.Notices) {
	m.Limits, m.LeavingEndpoints = n.Limits, n.Leaving
}

// Notices returns what the sender tells of the states of endpoints.
func (m *Message) Notices() endpointstate.Notices {
	return endpointstate.Notices{Limits: m.Limits, Leaving: m.LeavingEndpoints}
}

// Encode returns the JSON form of a message. It fails if that exceeds MaxBytes.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxBytes {
		return nil, Error.New("message of %d bytes exceeds the maximum of %d bytes", len(data), MaxBytes)
	}
	return data, nil
}

// Decode is the inverse of Encode. It fails if the data is not a message or has no
// sender.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Error.Wrap(err)
	}
	if m.Counts.Router == "" {
		return m, Error.New("message has no sender")
	}
	return m, nil
}
