package exchange

import "time"

// Step is a stage in the processing of a request.
type Step uint8

// Steps of a request, in order. A retry returns to StepBackoff.
const (
	// StepAdmit validates the route, the key and the request itself.
	StepAdmit Step = iota
	// StepTokens waits for tokens from the account's bucket.
	StepTokens
	// StepIntent waits for the decision on an intent, which requires the log.
	StepIntent
	// StepForward waits for the response of the router that the call was forwarded
	// to.
	StepForward
	// StepProbe waits for agents to report the prefix blocks that they have cached.
	StepProbe
	// StepTrial waits for permission to run a suspect.
	StepTrial
	// StepBackoff waits before the next attempt.
	StepBackoff
	// StepDispatch waits for the agent to accept an attempt.
	StepDispatch
	// StepQueue waits for the first chunk.
	StepQueue
	// StepStream receives chunks.
	StepStream
	// StepDone means that the request has ended.
	StepDone
)

var stepNames = [...]string{"admit", "tokens", "intent", "forward", "probe", "trial", "backoff", "dispatch", "queue", "stream", "done"}

// Steps returns all steps of a request.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }

const (
	defaultTimeout = 2 * time.Minute
	maxTimeout     = 10 * time.Minute
	// silenceTimeout is the maximum time between messages of an attempt. Agents
	// send a heartbeat every second.
	silenceTimeout = 3 * time.Second
	// recheckInterval is the maximum time that an open stream continues after the
	// router has learned that its key was withdrawn.
	recheckInterval = 500 * time.Millisecond
	probeTimeout    = 15 * time.Millisecond
	intentTimeout   = 4 * time.Second
	// trialTimeout exceeds the maximum time that the control machine needs to log a
	// crash and a trial and have every router read both.
	trialTimeout = 12 * time.Second
	backoffBase  = 20 * time.Millisecond
	backoffMax   = time.Second
	// minTokensRetryDelay and maxTokensRetryDelay bound the time between two
	// attempts to reserve tokens. A grant takes one round trip to the holder.
	minTokensRetryDelay = time.Millisecond
	maxTokensRetryDelay = 20 * time.Millisecond
	// maxUnknownOutcomes is the number of attempts that may lose contact without
	// output. Each may be a crash of its endpoint that has not been reported yet,
	// and no request may crash more than two endpoints.
	maxUnknownOutcomes = 2
	maxAttempts        = 5
	// maxIncarnationRetries is the number of times that a call may be repeated
	// because its agent has restarted.
	maxIncarnationRetries = 2
	// overloadRetryAfter and staleRetryAfter are sent to refused callers as
	// Retry-After.
	overloadRetryAfter = time.Second
	staleRetryAfter    = 2 * time.Second
	// minCallTokens is the minimum cost of a call, in tokens.
	minCallTokens = 1
	// bytesPerToken converts the body size of a call into tokens.
	bytesPerToken = 4
)
