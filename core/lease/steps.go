package lease

import (
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Step is a state in the life cycle of a lease, as seen by one node.
type Step uint8

// Steps of a lease, in the order of its life cycle.
const (
	// StepUnheld is before the first claim.
	StepUnheld Step = iota
	// StepClaimed is while this node's own claim is undecided.
	StepClaimed
	// StepHeld is while this node or another holds the lease.
	StepHeld
	// StepRenewed is while this node's own renewal is unconfirmed.
	StepRenewed
	// StepExpired is after the time to live has passed without a renewal.
	StepExpired
	// StepReleased is after the holder has released the lease.
	StepReleased
)

var stepNames = [...]string{"unheld", "claimed", "held", "renewed", "expired", "released"}

// Steps returns all steps of a lease.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }

// Step returns the current step of the lease, as seen by this node.
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
