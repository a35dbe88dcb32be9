package intent

// Faults switch off single rules of a Table.
type Faults struct{ SkipIntent, DecideEarly, TrustLate bool }

// Break applies faults.
func (t *Table) Break(f Faults) {
	t.faults = faults{skipIntent: f.SkipIntent, decideEarly: f.DecideEarly, trustLate: f.TrustLate}
}
