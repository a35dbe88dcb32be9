package proto

import (
	"strconv"
	"strings"
)

// Identifiers are strings that are unique in the fleet.
type (
	// AccountID identifies a client account of the configuration.
	AccountID string
	// EndpointID identifies an endpoint. It comes from the configuration or from the
	// endpoint's registration.
	EndpointID string
	// RouterID identifies one incarnation of a router.
	RouterID string
	// RequestID identifies a caller's request and is visible to the caller. It
	// contains a UUID.
	RequestID string
	// AttemptID identifies one dispatch of a request to one endpoint.
	AttemptID string
	// RecordID identifies one record of the log. It consists of the writer's
	// incarnation and a counter, or is chosen by the operator's tool.
	RecordID string
	// KeyHash is the hex-encoded SHA-256 hash of a caller's key.
	KeyHash string
	// Fingerprint identifies the content of a request of one client account.
	Fingerprint string
	// Incarnation identifies one run of a process, from its start to its end.
	Incarnation string
	// Domain identifies a failure domain.
	Domain string
)

// Offset is a position in a log stream, from 0. Offsets in the config stream
// are also used as fencing tokens.
type Offset int64

// LogPosition is a position in a topic of a store that may be restored from an older
// copy. The store then assigns offsets again, so that an offset identifies a record only
// within its era.
type LogPosition struct {
	// Era rises with each restore; 0 means that it is not known.
	Era    int64
	Offset int64
}

// Before reports whether p precedes q.
func (p LogPosition) Before(q LogPosition) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// Add returns the position n records after p.
func (p LogPosition) Add(n int) LogPosition {
	return LogPosition{Era: p.Era, Offset: p.Offset + int64(n)}
}

// Revision is a revision of the configuration. It counts the accepted release
// notes, which are the operator's changes to the configuration; 0 means none.
type Revision int64

// BlockHash is the salted chain hash of a prompt prefix that ends on a piece boundary.
type BlockHash uint64

// Role is the kind of participant that an address identifies.
type Role string

// Roles.
const (
	RoleCaller Role = "caller"
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
	RoleEngine Role = "engine"
	RoleLog    Role = "log"
	// RoleHosts is the platform's service that sends the HostList.
	RoleHosts Role = "hosts"
	// RoleKV is the store of KV cache blocks.
	RoleKV Role = "kv"
)

// Addr is the address of a participant. Agents and engines are identified by
// their endpoint.
type Addr struct {
	Role Role   `json:"role"`
	ID   string `json:"id,omitempty"`
}

// String returns "role/id", or "role" for an address without an id.
func (a Addr) String() string {
	if a.ID == "" {
		return string(a.Role)
	}
	return string(a.Role) + "/" + a.ID
}

// ParseAddr is the inverse of Addr.String. It returns an error if the role is
// empty.
func ParseAddr(s string) (Addr, error) {
	role, id, _ := strings.Cut(s, "/")
	if role == "" {
		return Addr{}, Error.New("address %q has no role", s)
	}
	return Addr{Role: Role(role), ID: id}, nil
}

// MarshalText implements encoding.TextMarshaler.
func (a Addr) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Addr) UnmarshalText(text []byte) error {
	parsed, err := ParseAddr(string(text))
	if err != nil {
		return err
	}
	*a = parsed
	return nil
}

// Log is the address of the log service.
var Log = Addr{Role: RoleLog}

// AgentAddr returns the address of the agent of an endpoint.
func AgentAddr(id EndpointID) Addr { return Addr{Role: RoleAgent, ID: string(id)} }

// EngineAddr returns the address of the engine or plain service of an endpoint.
func EngineAddr(id EndpointID) Addr { return Addr{Role: RoleEngine, ID: string(id)} }

// RouterAddr returns the address of a router.
func RouterAddr(id RouterID) Addr { return Addr{Role: RoleRouter, ID: string(id)} }

// CallerAddr returns the address of the caller of a request.
func CallerAddr(id RequestID) Addr { return Addr{Role: RoleCaller, ID: string(id)} }

// NewAttemptID returns the identifier of the n-th attempt of a request.
func NewAttemptID(request RequestID, n int) AttemptID {
	return AttemptID(string(request) + "#" + strconv.Itoa(n))
}

// Request returns the request that an attempt belongs to.
func (a AttemptID) Request() RequestID {
	request, _, _ := strings.Cut(string(a), "#")
	return RequestID(request)
}
