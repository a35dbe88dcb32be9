package crash

// Rounds returns the crashes one after the other under a trait.
func (r *Register) Rounds(t Trait) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[t]; e != nil {
		return e.rounds()
	}
	return 0
}
