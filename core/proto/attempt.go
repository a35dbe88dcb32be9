package proto

import "time"

// Stamp is the sender's configuration version. Messages between routers and
// agents carry it so that a node with an older configuration detects that it
// is behind.
type Stamp struct {
	Revision     Revision `json:"revision"`
	ConfigOffset Offset   `json:"config_offset"`
}

// Report is the state of an endpoint. Its agent attaches one to each reply.
type Report struct {
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	// AgentInstance is the incarnation of the agent process; Incarnation is that
	// of the engine.
	AgentInstance Incarnation `json:"life"`
	// QueuedTokens counts the prompt tokens that are queued or being prefilled.
	QueuedTokens int64 `json:"queued_tokens"`
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	// MatchedBlocks is the number of leading blocks of the current request that
	// are in the engine's cache.
	MatchedBlocks int  `json:"matched"`
	Leaving       bool `json:"leaving,omitempty"`
	// Down is set while the engine does not respond to the agent.
	Down bool `json:"down,omitempty"`
	// Versions maps each loaded model to its version.
	Versions map[string]string `json:"versions,omitempty"`
}

// Intent refers to the log record that authorizes a dispatch of a
// non-idempotent call to run once.
type Intent struct {
	Stream string `json:"stream"`
	Offset Offset `json:"offset"`
	// Key is the hash of the account's idempotency key.
	Key string `json:"key"`
}

// KVSource is a place from which an engine can import cached blocks.
type KVSource struct {
	// Endpoint is the peer to import from; empty means the KV cache store.
	Endpoint EndpointID `json:"endpoint,omitempty"`
	Blocks   int        `json:"blocks"`
}

// Dispatch asks an agent to run one attempt. It never contains a caller's key.
type Dispatch struct {
	Stamp    Stamp      `json:"stamp"`
	Attempt  AttemptID  `json:"attempt"`
	Request  RequestID  `json:"request"`
	Account  AccountID  `json:"account"`
	Class    Class      `json:"class"`
	Endpoint EndpointID `json:"endpoint"`
	// Priority and Weight are those of the account in the endpoint's queue. Higher
	// priorities go first; Weight is the relative share within a priority.
	Priority     int           `json:"priority,omitempty"`
	Weight       int64         `json:"weight,omitempty"`
	Method       string        `json:"method,omitempty"`
	Path         string        `json:"path,omitempty"`
	Query        string        `json:"query,omitempty"`
	Body         []byte        `json:"body,omitempty"`
	ContentType  string        `json:"content_type,omitempty"`
	Model        string        `json:"model,omitempty"`
	Version      string        `json:"version,omitempty"`
	Adapter      string        `json:"adapter,omitempty"`
	Sampling     Sampling      `json:"sampling"`
	MaxTokens    int64         `json:"max_tokens,omitempty"`
	PromptTokens int64         `json:"prompt_tokens,omitempty"`
	Blocks       []BlockHash   `json:"blocks,omitempty"`
	ResumeAfter  Seq           `json:"resume_after,omitempty"`
	Timeout      time.Duration `json:"timeout_ns"`
	Fingerprint  Fingerprint   `json:"fingerprint,omitempty"`
	// Alone asks the agent to run no other attempt at the same time.
	Alone bool `json:"alone,omitempty"`
	// AgentInstance is the agent incarnation that the router last saw. An agent
	// refuses a non-idempotent call unless AgentInstance is its own incarnation, so
	// a dispatch that is delayed across an agent restart cannot run a second time.
	AgentInstance Incarnation `json:"life,omitempty"`
	Intent        *Intent     `json:"intent,omitempty"`
	Import        *KVSource   `json:"import,omitempty"`
}

// Cancel aborts an attempt.
type Cancel struct {
	Stamp   Stamp     `json:"stamp"`
	Attempt AttemptID `json:"attempt"`
}

// EndpointLeaving tells an agent whether the configuration in force marks its
// endpoint as leaving. If so, the agent refuses new work, including work from
// routers that still have an older configuration.
type EndpointLeaving struct {
	Stamp   Stamp `json:"stamp"`
	Leaving bool  `json:"leaving"`
}

// Probe asks an agent how many of the leading blocks are cached and how loaded
// the endpoint is.
type Probe struct {
	Stamp   Stamp       `json:"stamp"`
	Request RequestID   `json:"request"`
	Blocks  []BlockHash `json:"blocks"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Stamp   Stamp     `json:"stamp"`
	Request RequestID `json:"request"`
	Report  Report    `json:"report"`
}

// Accepted reports that an attempt is queued or running.
type Accepted struct {
	Stamp   Stamp     `json:"stamp"`
	Attempt AttemptID `json:"attempt"`
	Report  Report    `json:"report"`
}

// Chunk is one part of an attempt's stream.
type Chunk struct {
	Attempt AttemptID `json:"attempt"`
	Seq     Seq       `json:"seq"`
	Text    string    `json:"text"`
}

// Heartbeat is sent periodically while an attempt's connection and engine are
// alive.
type Heartbeat struct {
	Stamp   Stamp     `json:"stamp"`
	Attempt AttemptID `json:"attempt"`
	LastSeq Seq       `json:"last_seq"`
	Report  Report    `json:"report"`
}

// Finish ends an attempt that ran to completion.
type Finish struct {
	Stamp       Stamp     `json:"stamp"`
	Attempt     AttemptID `json:"attempt"`
	LastSeq     Seq       `json:"last_seq"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	Usage       Usage     `json:"usage"`
	Report      Report    `json:"report"`
}

// AttemptRefused ends an attempt that did not run to completion.
type AttemptRefused struct {
	Stamp      Stamp         `json:"stamp"`
	Attempt    AttemptID     `json:"attempt"`
	Cause      Cause         `json:"cause"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Crashed is set when the engine crashed while the attempt ran on it. The
	// report then contains the incarnation that crashed, so that all reports of
	// one crash identify the same incarnation.
	Crashed bool   `json:"crashed,omitempty"`
	Report  Report `json:"report"`
}

// ConnLost reports that the connection that carried an attempt was lost. The
// local transport generates it; it is never sent over the network.
type ConnLost struct {
	Attempt AttemptID `json:"attempt"`
	// Unsent is set when no byte of the dispatch left this host, for example
	// because the connection was refused. The attempt then cannot have run.
	Unsent bool `json:"unsent,omitempty"`
}

// OrderAction is the change that an Order makes to an engine.
type OrderAction string

// Order actions.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
	OrderRole   OrderAction = "role"
)

// Order asks an engine to load or unload weights or adapters, or to change its
// role.
type Order struct {
	Stamp Stamp  `json:"stamp"`
	ID    string `json:"id"`
	// Fence is the fencing token of the lease under which the order is given:
	// the offset of the lease record.
	Fence    Offset      `json:"fence"`
	Action   OrderAction `json:"action"`
	Endpoint EndpointID  `json:"endpoint"`
	Model    string      `json:"model,omitempty"`
	Version  string      `json:"version,omitempty"`
	Adapter  string      `json:"adapter,omitempty"`
	Role     string      `json:"role,omitempty"`
}

// OrderDone answers an Order.
type OrderDone struct {
	Stamp  Stamp  `json:"stamp"`
	ID     string `json:"id"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
	// Fence is the highest fencing token that the agent has seen.
	Fence  Offset `json:"fence"`
	Report Report `json:"report"`
}
