package proto

// messageTypes maps the kind of every message type to its Go type. Decode
// rejects a type that is not listed here.
var messageTypes = typesByKind(
	CallerRequest{},
	CallerGone{},
	CallerChunk{},
	CallerFinish{},
	CallerRefusal{},
	Dispatch{},
	Cancel{},
	EndpointLeaving{},
	Probe{},
	ProbeReply{},
	Accepted{},
	Chunk{},
	Heartbeat{},
	Finish{},
	AttemptRefused{},
	ConnLost{},
	Order{},
	OrderDone{},
	EngineRun{},
	EngineCall{},
	EngineCancel{},
	EngineToken{},
	EngineDone{},
	EngineFailed{},
	EngineUp{},
	EngineDown{},
	CacheEvents{},
	CacheListRequest{},
	CacheList{},
	LoadReport{},
	EngineOrder{},
	EngineOrdered{},
	LogAppend{},
	LogAppended{},
	LogRead{},
	LogRecords{},
	LogFailed{},
	PeerBeat{},
	PeerBeatReply{},
	StateRequest{},
	StateReply{},
	PromiseRequest{},
	PromiseReply{},
	IntentForward{},
	HostList{},
	GrantRequest{},
	GrantReply{},
	TokenRequest{},
	TokenReply{},
	IntentWanted{},
	IntentDropped{},
	IntentDecided{},
	OutcomeKnown{},
	CrashSeen{},
	TrialWanted{},
	TrialDecided{},
	TrialEnded{},
	RequestEnded{},
	NoteSubmit{},
	NoteOutcome{},
	HistoryQuery{},
	HistoryReply{},
	ConfigQuery{},
	ConfigReply{},
	StatusQuery{},
	StatusReply{},
	ExplainQuery{},
	ExplainReply{},
	QuarantineLift{},
	QuarantineLifted{},
)

// Kind implements Message.
func (CallerRequest) Kind() Kind { return "CallerRequest" }

// Kind implements Message.
func (CallerGone) Kind() Kind { return "CallerGone" }

// Kind implements Message.
func (CallerChunk) Kind() Kind { return "CallerChunk" }

// Kind implements Message.
func (CallerFinish) Kind() Kind { return "CallerFinish" }

// Kind implements Message.
func (CallerRefusal) Kind() Kind { return "CallerRefusal" }

// Kind implements Message.
func (Dispatch) Kind() Kind { return "Dispatch" }

// Kind implements Message.
func (Cancel) Kind() Kind { return "Cancel" }

// Kind implements Message.
func (EndpointLeaving) Kind() Kind { return "EndpointLeaving" }

// Kind implements Message.
func (Probe) Kind() Kind { return "Probe" }

// Kind implements Message.
func (ProbeReply) Kind() Kind { return "ProbeReply" }

// Kind implements Message.
func (Accepted) Kind() Kind { return "Accepted" }

// Kind implements Message.
func (Chunk) Kind() Kind { return "Chunk" }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return "Heartbeat" }

// Kind implements Message.
func (Finish) Kind() Kind { return "Finish" }

// Kind implements Message.
func (AttemptRefused) Kind() Kind { return "AttemptRefused" }

// Kind implements Message.
func (ConnLost) Kind() Kind { return "ConnLost" }

// Kind implements Message.
func (Order) Kind() Kind { return "Order" }

// Kind implements Message.
func (OrderDone) Kind() Kind { return "OrderDone" }

// Kind implements Message.
func (EngineRun) Kind() Kind { return "EngineRun" }

// Kind implements Message.
func (EngineCall) Kind() Kind { return "EngineCall" }

// Kind implements Message.
func (EngineCancel) Kind() Kind { return "EngineCancel" }

// Kind implements Message.
func (EngineToken) Kind() Kind { return "EngineToken" }

// Kind implements Message.
func (EngineDone) Kind() Kind { return "EngineDone" }

// Kind implements Message.
func (EngineFailed) Kind() Kind { return "EngineFailed" }

// Kind implements Message.
func (EngineUp) Kind() Kind { return "EngineUp" }

// Kind implements Message.
func (EngineDown) Kind() Kind { return "EngineDown" }

// Kind implements Message.
func (CacheEvents) Kind() Kind { return "CacheEvents" }

// Kind implements Message.
func (CacheListRequest) Kind() Kind { return "CacheListRequest" }

// Kind implements Message.
func (CacheList) Kind() Kind { return "CacheList" }

// Kind implements Message.
func (LoadReport) Kind() Kind { return "LoadReport" }

// Kind implements Message.
func (EngineOrder) Kind() Kind { return "EngineOrder" }

// Kind implements Message.
func (EngineOrdered) Kind() Kind { return "EngineOrdered" }

// Kind implements Message.
func (LogAppend) Kind() Kind { return "LogAppend" }

// Kind implements Message.
func (LogAppended) Kind() Kind { return "LogAppended" }

// Kind implements Message.
func (LogRead) Kind() Kind { return "LogRead" }

// Kind implements Message.
func (LogRecords) Kind() Kind { return "LogRecords" }

// Kind implements Message.
func (LogFailed) Kind() Kind { return "LogFailed" }

// Kind implements Message.
func (PeerBeat) Kind() Kind { return "PeerBeat" }

// Kind implements Message.
func (PeerBeatReply) Kind() Kind { return "PeerBeatReply" }

// Kind implements Message.
func (StateRequest) Kind() Kind { return "StateRequest" }

// Kind implements Message.
func (StateReply) Kind() Kind { return "StateReply" }

// Kind implements Message.
func (PromiseRequest) Kind() Kind { return "PromiseRequest" }

// Kind implements Message.
func (PromiseReply) Kind() Kind { return "PromiseReply" }

// Kind implements Message.
func (IntentForward) Kind() Kind { return "IntentForward" }

// Kind implements Message.
func (HostList) Kind() Kind { return "HostList" }

// Kind implements Message.
func (GrantRequest) Kind() Kind { return "GrantRequest" }

// Kind implements Message.
func (GrantReply) Kind() Kind { return "GrantReply" }

// Kind implements Message.
func (TokenRequest) Kind() Kind { return "TokenRequest" }

// Kind implements Message.
func (TokenReply) Kind() Kind { return "TokenReply" }

// Kind implements Message.
func (IntentWanted) Kind() Kind { return "IntentWanted" }

// Kind implements Message.
func (IntentDropped) Kind() Kind { return "IntentDropped" }

// Kind implements Message.
func (IntentDecided) Kind() Kind { return "IntentDecided" }

// Kind implements Message.
func (OutcomeKnown) Kind() Kind { return "OutcomeKnown" }

// Kind implements Message.
func (CrashSeen) Kind() Kind { return "CrashSeen" }

// Kind implements Message.
func (TrialWanted) Kind() Kind { return "TrialWanted" }

// Kind implements Message.
func (TrialDecided) Kind() Kind { return "TrialDecided" }

// Kind implements Message.
func (TrialEnded) Kind() Kind { return "TrialEnded" }

// Kind implements Message.
func (RequestEnded) Kind() Kind { return "RequestEnded" }

// Kind implements Message.
func (NoteSubmit) Kind() Kind { return "NoteSubmit" }

// Kind implements Message.
func (NoteOutcome) Kind() Kind { return "NoteOutcome" }

// Kind implements Message.
func (HistoryQuery) Kind() Kind { return "HistoryQuery" }

// Kind implements Message.
func (HistoryReply) Kind() Kind { return "HistoryReply" }

// Kind implements Message.
func (ConfigQuery) Kind() Kind { return "ConfigQuery" }

// Kind implements Message.
func (ConfigReply) Kind() Kind { return "ConfigReply" }

// Kind implements Message.
func (StatusQuery) Kind() Kind { return "StatusQuery" }

// Kind implements Message.
func (StatusReply) Kind() Kind { return "StatusReply" }

// Kind implements Message.
func (ExplainQuery) Kind() Kind { return "ExplainQuery" }

// Kind implements Message.
func (ExplainReply) Kind() Kind { return "ExplainReply" }

// Kind implements Message.
func (QuarantineLift) Kind() Kind { return "QuarantineLift" }

// Kind implements Message.
func (QuarantineLifted) Kind() Kind { return "QuarantineLifted" }
