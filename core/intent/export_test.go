package intent

// Faults disable single rules of a Table.
type Faults struct{ SkipIntent, DecideEarly, TrustLate bool }

// SetFaults sets the rules that the table ignores.
func (t *Table) SetFaults(f Faults) {
	t.faults = faults{skipIntent: f.SkipIntent, decideEarly: f.DecideEarly, trustLate: f.TrustLate}
}
