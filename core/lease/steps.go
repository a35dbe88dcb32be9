package lease

import (
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Step is a stage in the life of a lease, as one node sees it.
type Step uint8

// Steps of a lease, in order.
const (
	// StepUnheld is before the first claim.
	StepUnheld Step = iota
	// StepClaimed waits for the log to decide the node's own claim.
	StepClaimed
	// StepHeld is between two renewals, by this node or another.
	StepHeld
	// StepRenewed waits for the log to take the node's own renewal.
	StepRenewed
	// StepExpired follows a time to live without a renewal.
	StepExpired
	// StepReleased follows a release by the holder.
	StepReleased
)

var stepNames = [...]string{"unheld", "claimed", "held", "renewed", "expired", "released"}

// Steps lists every step of a lease.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }

// Step returns the step that the lease is in for this node.
func (l *Lease) Step(now proto.Instant) Step {
	if p := l.pending; p != nil && p.action == configlog.LeaseClaim {
		return StepClaimed
	}
	if _, held := l.Held(now); held {
		if l.pending != nil {
			return StepRenewed
		}
		return StepHeld
	}
	switch {
	case !l.exists:
		return StepUnheld
	case l.state.Released:
		return StepReleased
	case now >= l.changeReadAt.Add(l.state.TTL):
		return StepExpired
	}
	return StepHeld
}
