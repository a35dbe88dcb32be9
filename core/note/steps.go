package note

// Step is a stage of the distribution of a release note.
type Step uint8

// Steps of a release note, in order.
const (
	// StepSubmitted is before a router receives the note.
	StepSubmitted Step = iota
	// StepLogged is after the note is appended to the log, before any router
	// applies it.
	StepLogged
	// StepPropagating is while only some of the routers have applied the note.
	StepPropagating
	// StepInForce is after all routers have applied the note.
	StepInForce
)

var stepNames = [...]string{"submitted", "logged", "folded", "in-force"}

// Steps returns all steps in order.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }
