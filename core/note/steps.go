package note

// Stage is a stage in the life of a release note.
type Stage uint8

// Steps of a note, in order.
const (
	// StageSubmitted is before a router has received the note.
	StageSubmitted Stage = iota
	// StageLogged is between the append and the first fold.
	StageLogged
	// StageFolded is while some routers have folded the note and others not.
	StageFolded
	// StageInForce is once every router has folded the note.
	StageInForce
)

var stepNames = [...]string{"submitted", "logged", "folded", "in-force"}

// Stages lists every step of a note.
func Stages() []Stage {
	steps := make([]Stage, len(stepNames))
	for i := range steps {
		steps[i] = Stage(i)
	}
	return steps
}

// String returns the step's name.
func (s Stage) String() string { return stepNames[s] }
