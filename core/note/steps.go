package note

// Step is a stage in the life of a release note.
type Step uint8

// Steps of a note, in order.
const (
	// StepSubmitted is before a router has received the note.
	StepSubmitted Step = iota
	// StepLogged is between the append and the first fold.
	StepLogged
	// StepPropagating is while some routers have folded the note and others not.
	StepPropagating
	// StepInForce is once every router has folded the note.
	StepInForce
)

var stepNames = [...]string{"submitted", "logged", "folded", "in-force"}

// Steps lists every step of a note.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }
