package suspect

// Faults disables single rules of a Table.
type Faults struct{ SkipTrial, SkipIncarnationCheck, SkipPropagation bool }

// InjectFaults makes a Table run without the given rules.
func (t *Table) InjectFaults(f Faults) {
	t.faults = faults{skipTrial: f.SkipTrial, skipIncarnationCheck: f.SkipIncarnationCheck, skipPropagation: f.SkipPropagation}
}
