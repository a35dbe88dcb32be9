package exchange

import "time"

// Step is a stage in the life of a request.
type Step uint8

// Steps of a request, in order. A retry goes back to StepBackoff.
const (
	// StepAdmit checks the route, the key and the request itself.
	StepAdmit Step = iota
	// StepTokens waits for tokens of the account's bucket.
	StepTokens
	// StepIntent waits for the log to decide an intent.
	StepIntent
	// StepForward waits for the answer of a router that follows the key's stream.
	StepForward
	// StepProbe waits for agents to say what they hold.
	StepProbe
	// StepTrial waits for the right to run a suspect.
	StepTrial
	// StepBackoff waits before another attempt.
	StepBackoff
	// StepDispatch waits for the agent to accept an attempt.
	StepDispatch
	// StepQueue waits for the first chunk.
	StepQueue
	// StepStream delivers chunks.
	StepStream
	// StepDone is the end.
	StepDone
)

var stepNames = [...]string{"admit", "tokens", "intent", "forward", "probe", "trial", "backoff", "dispatch", "queue", "stream", "done"}

// Steps lists every step of a request.
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
	// silenceTimeout is how long an attempt may go without a message;
	// agents send a heartbeat every second.
	silenceTimeout = 3 * time.Second
	// recheckInterval bounds how long a withdrawn key goes unnoticed on an open stream.
	recheckInterval = 500 * time.Millisecond
	probeTimeout    = 15 * time.Millisecond
	intentTimeout   = 4 * time.Second
	// trialTimeout is above the longest time that the control machine takes:
	// a crash and a trial to be logged and read by every router.
	trialTimeout = 12 * time.Second
	backoffBase  = 20 * time.Millisecond
	backoffMax   = time.Second
	// tokensPollMin and tokensPollMax bound the time between two tries to get
	// tokens; a grant takes one round trip to its holder.
	tokensPollMin = time.Millisecond
	tokensPollMax = 20 * time.Millisecond
	// maxUnknownFates is the number of attempts that may fall silent without
	// output. Each may have crashed its endpoint before anybody reports it, and
	// no request may take down more than two.
	maxUnknownFates = 2
	maxAttempts     = 5
	// maxLifeRetries bounds attempts that repeat a call with the agent's new life.
	maxLifeRetries = 2
	// overloadRetryAfter and staleRetryAfter are what refused callers are told to wait.
	overloadRetryAfter = time.Second
	staleRetryAfter    = 2 * time.Second
	// callTokens is the least that a plain call costs, in tokens.
	callTokens = 1
	// bytesPerToken turns body sizes into tokens.
	bytesPerToken = 4
)
