package proto

import "time"

// Stamp rides on every message between routers and agents, so that a node
// that is behind finds out.
type Stamp struct {
	Revision     Revision `json:"revision"`
	ConfigOffset Offset   `json:"config_offset"`
}

// Report is what an agent tells about its endpoint on each answer.
type Report struct {
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	// Life is the incarnation of the agent itself.
	Life Incarnation `json:"life"`
	// QueuedTokens is the prompt work that waits or is being prefilled.
	QueuedTokens int64 `json:"queued_tokens"`
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	// MatchedBlocks is the number of leading blocks of the request in question
	// that the engine holds.
	MatchedBlocks int  `json:"matched"`
	Leaving       bool `json:"leaving,omitempty"`
	// Down is set while the agent knows that its engine does not answer.
	Down bool `json:"down,omitempty"`
	// Versions maps each loaded model to its version.
	Versions map[string]string `json:"versions,omitempty"`
}

// Intent ties a dispatch to the log record that allows it to run once.
type Intent struct {
	Stream string `json:"stream"`
	Offset Offset `json:"offset"`
	// Key is the hash of the account's idempotency key.
	Key string `json:"key"`
}

// KVSource says where an engine can import cached blocks from.
type KVSource struct {
	// Endpoint is the peer to import from; empty means the KV cache store.
	Endpoint EndpointID `json:"endpoint,omitempty"`
	Blocks   int        `json:"blocks"`
}

// Dispatch asks an agent to run one attempt. It never carries a caller's key.
type Dispatch struct {
	Stamp        Stamp         `json:"stamp"`
	Attempt      AttemptID     `json:"attempt"`
	Request      RequestID     `json:"request"`
	Account      AccountID     `json:"account"`
	Class        Class         `json:"class"`
	Endpoint     EndpointID    `json:"endpoint"`
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
	// Alone asks the agent to run the attempt with no other beside it.
	Alone bool `json:"alone,omitempty"`
	// Life is the agent incarnation that the router knows. An agent refuses a
	// call that may not be repeated unless this is its own, so that a dispatch
	// that was delayed across a restart cannot run a second time.
	Life   Incarnation `json:"life,omitempty"`
	Intent *Intent     `json:"intent,omitempty"`
	Import *KVSource   `json:"import,omitempty"`
}

// Cancel ends an attempt that is no longer wanted.
type Cancel struct {
	Stamp   Stamp     `json:"stamp"`
	Attempt AttemptID `json:"attempt"`
}

// EndpointLeaving tells an agent whether the release note in force lets its
// endpoint leave. The agent then refuses new work, also from routers that
// have not read the note yet.
type EndpointLeaving struct {
	Stamp   Stamp `json:"stamp"`
	Leaving bool  `json:"leaving"`
}

// Probe asks an agent how many leading blocks it holds and how busy it is.
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

// Accepted tells that an attempt is queued or running.
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

// Heartbeat shows that an attempt's connection and engine are alive.
type Heartbeat struct {
	Stamp   Stamp     `json:"stamp"`
	Attempt AttemptID `json:"attempt"`
	LastSeq Seq       `json:"last_seq"`
	Report  Report    `json:"report"`
}

// Finish ends an attempt that ran to its end.
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

// AttemptRefused ends an attempt that did not run to its end.
type AttemptRefused struct {
	Stamp      Stamp         `json:"stamp"`
	Attempt    AttemptID     `json:"attempt"`
	Cause      Cause         `json:"cause"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Crashed is set when the engine died while the attempt ran on it. The
	// report's Incarnation is then that of the life that died, so that all
	// reports of one crash name it alike.
	Crashed bool   `json:"crashed,omitempty"`
	Report  Report `json:"report"`
}

// ConnLost tells a node that the connection that carried an attempt broke.
// The transport produces it; it never crosses the network.
type ConnLost struct {
	Attempt AttemptID `json:"attempt"`
	// Unsent is set when no byte of the dispatch left this host, as after a
	// refused connection, so that the attempt cannot have run.
	Unsent bool `json:"unsent,omitempty"`
}

// OrderAction says what an Order changes at an engine.
type OrderAction string

// Actions of orders.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
	OrderRole   OrderAction = "role"
)

// Order asks an engine to load or unload weights or adapters or to change role.
type Order struct {
	Stamp Stamp  `json:"stamp"`
	ID    string `json:"id"`
	// Fence is the offset of the lease under which the order is given.
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
	// Fence is the highest fencing number that the agent has seen.
	Fence  Offset `json:"fence"`
	Report Report `json:"report"`
}
