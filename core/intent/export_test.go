package intent

// Faults switch off single rules of a Table.
type Faults struct{ SkipIntent, DecideEarly, TrustLate bool }

// SetFaults applies faults.
func (t *Table) SetFaults(f Faults) {
	t.faults = faults{skipIntent: f.SkipIntent, decideEarly: f.DecideEarly, trustLate: f.TrustLate}
}
