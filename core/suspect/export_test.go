package suspect

// Faults switch off single rules of a Table.
type Faults struct{ SkipTrial, VoidByTime, SkipHold bool }

// Break applies faults.
func (t *Table) Break(f Faults) {
	t.faults = faults{skipTrial: f.SkipTrial, voidByTime: f.VoidByTime, skipHold: f.SkipHold}
}
